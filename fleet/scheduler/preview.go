package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// maxPreviewTasks bounds the tasks of a preview, maxAlternatives the other servers that it names for each of them.
	maxPreviewTasks = 32
	maxAlternatives = 3
)

// Preview decides what Submit would answer now and where the tasks of the job's first steps would be placed, without
// changing anything. A malformed job is Invalid.
func (s *Scheduler) Preview(m *schema.JobRecord, now time.Time) Reply {
	if j := s.jobs[m.Id]; j != nil {
		if w := j.job.Workspace; w != "" && m.Workspace != "" && w != m.Workspace {
			return previewReply(&schema.JobPreview{Reason: "the job belongs to another workspace"})
		}
		return previewReply(&schema.JobPreview{Accepted: true, Reason: "the job was accepted before and is " + j.reportedPhase.String()})
	}
	pool := ""
	if q := s.table.ByName(m.Queue); q != nil {
		pool = q.Pool
	}
	p := &preview{scheduler: s.scratch(m.Queue, pool, now), pool: pool, now: now, result: &schema.JobPreview{Accepted: true}}
	var answer *Reply
	p.scheduler.Submit(m, now, func(x Reply) { answer = &x })
	if answer != nil && answer.Result == Invalid {
		return *answer
	}
	if answer != nil {
		return previewReply(&schema.JobPreview{Reason: answer.Reason, RetryAfterMs: answer.RetryAfter.Milliseconds()})
	}
	for _, d := range p.scheduler.orders.Decisions {
		p.result.Reason = d.Reason
	}
	p.place(p.scheduler.jobs[m.Id])
	return previewReply(p.result)
}

func previewReply(p *schema.JobPreview) Reply {
	return Reply{Result: Done, Preview: p}
}

// preview places the tasks of a job on a scratch copy of the scheduler.
type preview struct {
	scheduler *Scheduler
	pool      string
	now       time.Time
	// room and waitsAhead are what the steps that are placed before the job's leave: the room, and whether any of them waits.
	room       *room
	waitsAhead bool
	result     *schema.JobPreview
}

// place goes through the steps that wait in the pool as a placement pass does, until the job's own are placed.
func (p *preview) place(j *jobState) {
	if len(j.occurrences) == 0 {
		p.previewSchedule(j)
		return
	}
	p.room = p.scheduler.newRoom(p.pool, p.now)
	l, ordered := p.scheduler.pendingSteps(0, p.now)
	for _, w := range p.scheduler.order(l, ordered) {
		switch {
		case len(p.result.Tasks) >= maxPreviewTasks:
			return
		case w.state == j:
			p.previewStep(w)
		case w.pool == p.pool:
			p.occupy(w)
		}
	}
}

// previewSchedule lists the first steps of a job that waits for its time.
func (p *preview) previewSchedule(j *jobState) {
	p.scheduler.openNextOccurrence(j, p.now)
	o := j.occurrences[0]
	for _, x := range o.steps {
		if !x.isOpen() {
			continue
		}
		for _, t := range x.tasks[:min(len(x.tasks), maxPreviewTasks-len(p.result.Tasks))] {
			p.result.Tasks = append(p.result.Tasks, &schema.TaskPreview{
				Task: t.key.String(), WaitsFor: p.scheduler.waitsFor(t, o, p.now), ExpectedStartMs: j.job.Due(0).UnixMilli(),
			})
		}
	}
}

// occupy gives another job's waiting step the room that it gets before the previewed job. It places copies of the tasks.
func (p *preview) occupy(w pendingStep) {
	if p.room.rulesOut(w.step.step.Demand()) {
		p.waitsAhead = true
		return
	}
	x := *w.step
	x.tasks = nil
	for _, t := range w.step.tasks {
		k := *t
		k.step, k.state = &x, w.state
		x.tasks = append(x.tasks, &k)
	}
	w.step = &x
	p.scheduler.place(w, p.room, p.now)
	p.waitsAhead = p.waitsAhead || x.pendingTasks > 0
}

// previewStep places the step's tasks, all of a gang or each by itself, and lists them.
func (p *preview) previewStep(w pendingStep) {
	if w.step.step.Gang {
		p.previewTasks(w)
		return
	}
	for _, t := range w.step.tasks {
		x := *w.step
		x.tasks = []*task{t}
		w.step = &x
		p.previewTasks(w)
		if len(p.result.Tasks) >= maxPreviewTasks {
			return
		}
	}
}

// previewTasks places the step's tasks at once, and lists them.
func (p *preview) previewTasks(w pendingStep) {
	if p.sameWait(w.step.tasks[0]) {
		return
	}
	first := w.step.tasks[0]
	allowed := p.scheduler.advisedServers(first, p.room.servers, p.now)
	costs, excluded := p.costs(first, allowed), p.excluded(first, allowed)
	p.scheduler.place(w, p.room, p.now)
	for _, t := range w.step.tasks[:min(len(w.step.tasks), maxPreviewTasks-len(p.result.Tasks))] {
		m := &schema.TaskPreview{Task: t.key.String(), Excluded: excluded}
		if t.run == nil {
			p.explainWait(w, t, allowed, m)
		} else {
			m.Server, m.ExpectedStartMs = t.run.server.info.ID, p.now.UnixMilli()
		}
		if !w.step.step.Gang {
			setCosts(m, costs)
		}
		p.result.Tasks = append(p.result.Tasks, m)
	}
}

// sameWait lists a task like the one before it if that is of the same step and waits: the tasks of a new step are equal.
func (p *preview) sameWait(t *task) bool {
	if len(p.result.Tasks) == 0 || t.key.Index == 0 {
		return false
	}
	last := p.result.Tasks[len(p.result.Tasks)-1]
	if last.Server != "" {
		return false
	}
	p.result.Tasks = append(p.result.Tasks, &schema.TaskPreview{
		Task: t.key.String(), Excluded: last.Excluded, WaitsFor: last.WaitsFor, ExpectedStartMs: last.ExpectedStartMs,
	})
	return true
}

// explainWait sets what a task waits for that was not placed, and its expected start if no other step waits before it.
func (p *preview) explainWait(w pendingStep, t *task, allowed []*serverState, m *schema.TaskPreview) {
	m.WaitsFor = p.waitsFor(w, t)
	if p.waitsAhead || w.step.step.Gang {
		return
	}
	if at := p.expectedStart(t, allowed); !at.IsZero() {
		m.ExpectedStartMs = at.UnixMilli()
	}
}

// waitsFor returns what a task waits for that was not placed. Room for single members does not place a gang.
func (p *preview) waitsFor(w pendingStep, t *task) string {
	if w.step.step.Gang && bestServer(t, p.scheduler.usableServers(p.pool, p.now), p.now) != nil {
		return "room for all tasks of the gang at once"
	}
	return p.scheduler.waitsFor(t, w.state.occurrences[t.key.Occurrence], p.now)
}

// costs returns the placement costs of the servers that are eligible for the task, the lowest first.
func (p *preview) costs(t *task, l []*serverState) []*schema.ServerCost {
	c := []*schema.ServerCost{}
	for _, v := range l {
		if eligible(t, v, p.now) {
			c = append(c, &schema.ServerCost{Server: v.info.ID, Cost: placementCost(t, v, p.now)})
		}
	}
	slices.SortStableFunc(c, func(a, b *schema.ServerCost) int { return cmp.Compare(a.Cost, b.Cost) })
	return c
}

// setCosts sets the cost of the task's server, and the next best servers.
func setCosts(m *schema.TaskPreview, costs []*schema.ServerCost) {
	for _, x := range costs {
		switch {
		case x.Server == m.Server:
			m.Cost = x.Cost
		case len(m.Alternatives) < maxAlternatives:
			m.Alternatives = append(m.Alternatives, x)
		}
	}
}

// excluded counts the servers of the pool that cannot take the task, by reason.
func (p *preview) excluded(t *task, allowed []*serverState) map[string]int32 {
	m := map[string]int32{}
	advised := make(map[*serverState]bool, len(allowed))
	for _, v := range allowed {
		advised[v] = true
	}
	for _, v := range p.scheduler.servers {
		switch {
		case v.info.Pool != p.pool || !v.exists():
		case !v.usable(p.now) || p.scheduler.cordonedVMs[v.info.VM]:
			m[v.unusableReason(p.scheduler.cordonedVMs[v.info.VM], p.now)]++
		case !advised[v]:
			m["not allowed by the advice service"]++
		case !eligible(t, v, p.now):
			m[ineligibleReason(t, v, p.now)]++
		}
	}
	return m
}

// ineligibleReason returns why a server that accepts new runs is not eligible for the task.
func ineligibleReason(t *task, v *serverState, now time.Time) string {
	p, free := t.step.step, v.free()
	switch {
	case v.isolates():
		return "running a task alone that may crash it"
	case !v.admitsStep(t.step, now):
		return "suspected to fail all tasks"
	case p.Requires != "" && !v.info.HasLabel(p.Requires):
		return "without the label " + p.Requires
	case p.AntiAffinity > 0 && v.replicas(t) >= p.AntiAffinity:
		return "at the limit of the step's tasks on a server"
	case p.Demand().CPU > free.CPU:
		return "with too few free processors"
	case p.Demand().MemoryMB > free.MemoryMB:
		return "with too little free memory"
	default:
		return "with too few free accelerators"
	}
}

// expectedStart returns when the first server is expected to have room for the task as its runs end, zero if no server will.
func (p *preview) expectedStart(t *task, l []*serverState) time.Time {
	var first time.Time
	for _, v := range l {
		if at := p.expectedRoom(t, v); !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

func (p *preview) expectedRoom(t *task, v *serverState) time.Time {
	ends := map[*run]time.Time{}
	for _, r := range v.runs {
		if !r.task.step.step.LongRunning {
			ends[r] = p.expectedEnd(r)
		}
	}
	x := *v
	x.runs, x.runsOf = maps.Clone(v.runs), maps.Clone(v.runsOf)
	for _, r := range slices.SortedFunc(maps.Keys(ends), func(a, b *run) int { return ends[a].Compare(ends[b]) }) {
		x.discount(r)
		if eligible(t, &x, p.now) {
			return ends[r]
		}
	}
	return time.Time{}
}

// expectedEnd returns when a finite run is expected to end. One that exceeds its expected duration counts as needing a tenth
// of it, as in remainingTaskWork.
func (p *preview) expectedEnd(r *run) time.Time {
	e := p.scheduler.expectedDuration(r.task)
	if r.phase == working {
		e = max(e-p.now.Sub(r.startedAt), e/10)
	}
	return p.now.Add(e)
}
