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
		return previewReply(&schema.JobPreview{Accepted: true, Reason: "the job was accepted before and is " + j.reportedPhase.String()})
	}
	pool := ""
	if q := s.table.ByName(m.Queue); q != nil {
		pool = q.Pool
	}
	p := &preview{scheduler: s.scratch(m.Queue, pool), pool: pool, now: now, result: &schema.JobPreview{Accepted: true}}
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
	// full and waitsAhead are what the steps that are placed before the job's have found: demands without room, and whether
	// there were any.
	full       fullness
	waitsAhead bool
	result     *schema.JobPreview
}

// place goes through the steps that wait in the pool as a placement pass does, until the job's own are placed.
func (p *preview) place(j *jobState) {
	if len(j.occurrences) == 0 {
		p.previewSchedule(j)
		return
	}
	usable := p.scheduler.usableServers(p.now)[p.pool]
	for _, w := range p.scheduler.pendingSteps(p.now) {
		switch {
		case len(p.result.Tasks) >= maxPreviewTasks:
			return
		case w.state == j:
			p.previewStep(w, usable)
		case p.scheduler.poolOf(w.state) == p.pool:
			p.occupy(w, usable)
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

// occupy takes the room that another job's waiting step gets before the previewed job.
func (p *preview) occupy(w pendingStep, l []*serverState) {
	if p.full.rulesOut(w.step.step.Demand()) {
		p.waitsAhead = true
		return
	}
	allowed, ok := p.scheduler.advisedServers(w, l, p.now)
	if !ok {
		return
	}
	if w.step.step.Gang {
		p.occupyGang(w, allowed)
		return
	}
	for _, t := range w.step.tasks {
		if t.done || t.run != nil {
			continue
		}
		v := bestServer(t, allowed, p.now)
		if v == nil {
			p.waitsAhead = true
			if len(allowed) == len(l) && !t.mayCrashServers() {
				p.full.add(w.step.step)
			}
			return
		}
		v.addRun(&run{task: t, number: t.lastRun + 1, server: v})
	}
}

func (p *preview) occupyGang(w pendingStep, l []*serverState) {
	if slices.ContainsFunc(w.step.tasks, func(t *task) bool { return t.run != nil || t.done }) {
		return
	}
	chosen := gangPlacement(w.step, l)
	p.waitsAhead = p.waitsAhead || chosen == nil
	for i, v := range chosen {
		t := w.step.tasks[i]
		v.addRun(&run{task: t, number: t.lastRun + 1, server: v})
	}
}

// previewStep places the step's tasks, all of a gang or each by itself, and lists them.
func (p *preview) previewStep(w pendingStep, l []*serverState) {
	allowed, advised := p.scheduler.advisedServers(w, l, p.now)
	var gang []*serverState
	if w.step.step.Gang && advised {
		gang = gangPlacement(w.step, allowed)
	}
	var waiting *schema.TaskPreview
	for i, t := range w.step.tasks[:min(len(w.step.tasks), maxPreviewTasks-len(p.result.Tasks))] {
		if waiting != nil {
			// The tasks of a new step are equal, so what one waits for the next ones wait for too.
			p.result.Tasks = append(p.result.Tasks, &schema.TaskPreview{
				Task: t.key.String(), Excluded: waiting.Excluded, WaitsFor: waiting.WaitsFor, ExpectedStartMs: waiting.ExpectedStartMs,
			})
			continue
		}
		m := &schema.TaskPreview{Task: t.key.String(), Excluded: p.excluded(t, allowed)}
		p.result.Tasks = append(p.result.Tasks, m)
		var v *serverState
		switch {
		case gang != nil:
			v = gang[i]
		case !w.step.step.Gang:
			v = p.listCosts(t, allowed, m)
		}
		if v == nil {
			p.explainWait(w, t, allowed, m)
			waiting = m
			continue
		}
		m.Server, m.Cost, m.ExpectedStartMs = v.info.ID, placementCost(t, v, p.now), p.now.UnixMilli()
		p.scheduler.assign(t, v, t.lastRun+1)
	}
}

// explainWait lists what a task waits for that was not placed, and its expected start if no other step waits before it.
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
	if w.step.step.Gang && bestServer(t, p.scheduler.usableServers(p.now)[p.pool], p.now) != nil {
		return "room for all tasks of the gang at once"
	}
	return p.scheduler.waitsFor(t, w.state.occurrences[t.key.Occurrence], p.now)
}

// listCosts returns the best server for a task and lists those with the next lowest costs.
func (p *preview) listCosts(t *task, l []*serverState, m *schema.TaskPreview) *serverState {
	best := bestServer(t, l, p.now)
	for _, v := range l {
		if v != best && eligible(t, v, p.now) {
			m.Alternatives = append(m.Alternatives, &schema.ServerCost{Server: v.info.ID, Cost: placementCost(t, v, p.now)})
		}
	}
	slices.SortStableFunc(m.Alternatives, func(a, b *schema.ServerCost) int { return cmp.Compare(a.Cost, b.Cost) })
	m.Alternatives = m.Alternatives[:min(len(m.Alternatives), maxAlternatives)]
	return best
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
			m[ineligibleReason(t, v)]++
		}
	}
	return m
}

// ineligibleReason returns why a server that accepts new runs is not eligible for the task.
func ineligibleReason(t *task, v *serverState) string {
	p, free := t.step.step, v.free()
	switch {
	case v.isolates():
		return "running a task alone that may crash it"
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
	x.runs = maps.Clone(v.runs)
	for _, r := range slices.SortedFunc(maps.Keys(ends), func(a, b *run) int { return ends[a].Compare(ends[b]) }) {
		x.removeRun(r)
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
