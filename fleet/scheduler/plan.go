package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// pass is the state of the passes that place pending tasks.
type pass struct {
	// needsPlan is true if something has changed since the last pass.
	needsPlan bool
	// awaitingTrial is true if a task that may crash servers waited for an empty server in the last pass.
	awaitingTrial bool
	// resumesAt is when the next pass is due though nothing has changed, zero if there is no such time.
	resumesAt time.Time
	// sortedServers caches the servers sorted by ID; nil after the set of servers has changed.
	sortedServers []*serverState
	cordonedVMs   map[string]bool
}

// rank is the class of a pending step. Lower ranks are placed first.
type rank int

const (
	// rankLongRunning comes first, since long-running tasks must run at all times and are few.
	rankLongRunning rank = iota
	rankOnTime
	// rankOverdue comes after on-time work, since late results are worth little whenever they arrive.
	rankOverdue
	// rankExcess is work beyond the allowance of its workspace. It comes after all other finite work.
	rankExcess
	// rankBestEffort takes the remaining capacity.
	rankBestEffort
)

// pendingStep is a step with tasks that wait for a server, and its sort keys.
type pendingStep struct {
	step     *stepState
	state    *jobState
	rank     rank
	priority int
	// aboveShare is 1 for on-time work of a workspace that uses more than its fair share of a busy pool, 0 otherwise.
	aboveShare  int
	latestStart time.Time
}

// plan places pending tasks, the most urgent first, if anything changed since the last pass.
func (s *Scheduler) plan(now time.Time) {
	if !s.needsPlan || s.table == nil {
		return
	}
	s.needsPlan, s.awaitingTrial, s.resumesAt = false, false, time.Time{}
	s.operations.Passes++
	s.beginReservations(now)
	defer s.endReservations(now)
	l := s.pendingSteps(now)
	s.operations.Waiting += int64(len(l))
	if len(l) == 0 {
		return
	}
	s.resumesAt = s.nextResumption(now)
	pools := s.usableServers(now)
	full := map[string]*fullness{}
	for _, w := range l {
		pool := s.poolOf(w.state)
		if full[pool] == nil {
			full[pool] = &fullness{}
		}
		s.place(w, pools[pool], full[pool], now)
	}
}

// fullness holds the demands of tasks without constraints, of steps that have not failed, for which a pass has found no server with capacity in a pool.
// While a turn asks for several times the pool's capacity, hundreds of steps wait, and a search for each of them in each
// pass would scan all of the pool's servers.
type fullness struct {
	demands []job.Size
}

// maxFullDemands is the number of demands that fullness compares.
const maxFullDemands = 8

// rulesOut reports whether a demand surely finds no server, since it is no smaller than one that found none.
func (f *fullness) rulesOut(d job.Size) bool {
	for _, x := range f.demands {
		if x.Fits(d) {
			return true
		}
	}
	return false
}

// add records that a task of the step found no server.
func (f *fullness) add(p *job.Step) {
	if p.Requires == "" && p.AntiAffinity == 0 && len(f.demands) < maxFullDemands {
		f.demands = append(f.demands, p.Demand())
	}
}

// Plan places pending tasks if anything changed since the last pass.
func (s *Scheduler) Plan(now time.Time) {
	s.plan(now)
}

func (s *Scheduler) poolOf(j *jobState) string {
	if q := s.table.ByName(j.job.Queue); q != nil {
		return q.Pool
	}
	return j.job.Pool
}

// usableServers returns the servers of each pool that accept new runs.
func (s *Scheduler) usableServers(now time.Time) map[string][]*serverState {
	m := map[string][]*serverState{}
	s.operations.Servers += int64(len(s.servers))
	for _, v := range s.serversByID() {
		if v.usable(now) && !s.cordonedVMs[v.info.VM] {
			m[v.info.Pool] = append(m[v.info.Pool], v)
		}
	}
	for _, l := range m {
		countTrials(l)
	}
	return m
}

// resumeAt makes a pass due at the time, if it is not zero.
func (p *pass) resumeAt(t time.Time) {
	if !t.IsZero() && (p.resumesAt.IsZero() || t.Before(p.resumesAt)) {
		p.resumesAt = t
	}
}

// nextResumption returns when the next server that gets no new runs may get some again, zero if there is none.
func (s *Scheduler) nextResumption(now time.Time) time.Time {
	var next time.Time
	s.operations.Servers += int64(len(s.servers))
	for _, v := range s.serversByID() {
		t := v.pausedUntil
		if v.fullUntil.After(t) {
			t = v.fullUntil
		}
		if x := v.health.resumesAt(now); x.After(t) {
			t = x
		}
		if !t.IsZero() && v.exists() && t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}

// serversByID returns the servers sorted by ID, so that placement does not depend on map iteration order.
func (s *Scheduler) serversByID() []*serverState {
	if s.sortedServers == nil {
		for _, v := range s.servers {
			s.sortedServers = append(s.sortedServers, v)
		}
		slices.SortFunc(s.sortedServers, func(a, b *serverState) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return s.sortedServers
}

// pendingSteps returns the steps with tasks to place, most urgent first.
func (s *Scheduler) pendingSteps(now time.Time) []pendingStep {
	l := []pendingStep{}
	s.operations.Jobs += int64(len(s.active))
	for _, j := range s.active {
		for _, o := range j.occurrences {
			if o.unfinished == 0 || !s.isDue(j.job, o.number, now) {
				continue
			}
			s.operations.Steps += int64(len(o.steps))
			for _, p := range o.steps {
				if !p.isOpen() {
					continue
				}
				s.operations.Tasks += int64(len(p.tasks))
				if p.hasPendingTask() {
					l = append(l, s.newPendingStep(j, o, p, now))
				}
			}
		}
	}
	slices.SortFunc(l, func(a, b pendingStep) int {
		s.operations.Comparisons++
		return comparePendingSteps(a, b)
	})
	return l
}

func comparePendingSteps(a, b pendingStep) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.aboveShare, b.aboveShare),
		a.latestStart.Compare(b.latestStart),
		cmp.Compare(a.state.job.ID, b.state.job.ID),
		cmp.Compare(a.step.tasks[0].key.Step, b.step.tasks[0].key.Step),
	)
}

// hasPendingTask reports whether a task of the step waits for a server.
func (p *stepState) hasPendingTask() bool {
	return p.firstPending() != nil
}

// firstPending returns the first task of the step that waits for a server, nil if there is none.
func (p *stepState) firstPending() *task {
	for _, t := range p.tasks {
		if t.isPending() {
			return t
		}
	}
	return nil
}

// countPending counts the step's tasks that wait for a server.
func (p *stepState) countPending() int {
	n := 0
	for _, t := range p.tasks {
		if t.isPending() {
			n++
		}
	}
	return n
}

// isPending reports whether the task waits for a server.
func (t *task) isPending() bool {
	return !t.done && t.run == nil
}

func (s *Scheduler) newPendingStep(j *jobState, o *occurrence, p *stepState, now time.Time) pendingStep {
	w := pendingStep{step: p, state: j, rank: rankOnTime}
	if q := s.table.ByName(j.job.Queue); q != nil {
		w.priority = q.Priority
	}
	w.latestStart = s.latestStart(j, o, p)
	switch {
	case p.step.BestEffort:
		w.rank = rankBestEffort
	case p.step.LongRunning:
		w.rank = rankLongRunning
	case j.job.Excess:
		w.rank = rankExcess
	case w.latestStart.Before(now):
		w.rank = rankOverdue
	}
	if w.rank == rankOnTime && s.isAboveShare(j.job, s.poolOf(j), now) {
		w.aboveShare = 1
	}
	return w
}

// latestStart returns the time by which a step must start for its job to finish within its target duration.
func (s *Scheduler) latestStart(j *jobState, o *occurrence, p *stepState) time.Time {
	begin := j.job.Due(o.number)
	if o.openedAt.After(begin) && j.job.Scheduled() {
		begin = o.openedAt
	}
	return begin.Add(s.targetDuration(j.job)).Add(-s.criticalPath(j, o, p))
}

// targetDuration returns the time from acceptance within which a job should finish: its expected duration times the
// queue's slack factor, plus the queue's latency allowance.
func (s *Scheduler) targetDuration(j *job.Job) time.Duration {
	slack, latency := 1.0, time.Duration(0)
	if q := s.table.ByName(j.Queue); q != nil {
		slack, latency = max(q.SlackFactor, 1), q.LatencyAllowance
	}
	return time.Duration(float64(j.CriticalPath())*s.durationRatio(j.Queue)*slack) + latency
}

// criticalPath returns the expected duration of the longest chain of steps that begins with the step.
func (s *Scheduler) criticalPath(j *jobState, o *occurrence, p *stepState) time.Duration {
	from := p.tasks[0].key.Step
	ends := make([]time.Duration, len(o.steps))
	var longest time.Duration
	for i := from; i < len(o.steps); i++ {
		x := o.steps[i].step
		for _, a := range x.After {
			ends[i] = max(ends[i], ends[a])
		}
		if i > from && ends[i] == 0 {
			continue
		}
		ends[i] += x.Estimate
		longest = max(longest, ends[i])
	}
	return time.Duration(float64(longest) * s.durationRatio(j.job.Queue))
}

// place assigns the step's pending tasks to servers until one finds no capacity.
func (s *Scheduler) place(w pendingStep, l []*serverState, full *fullness, now time.Time) {
	if len(l) == 0 {
		return
	}
	if !s.allowedByCap(w.step, now) {
		return
	}
	all := l
	if full.rulesOut(w.step.step.Demand()) {
		if l = s.heldServersFor(w); len(l) == 0 {
			s.noteUnplaced(w, now)
			s.reserve(w, all, now)
			return
		}
	}
	s.foreseeEnd(w.step, now)
	l = s.advisedServers(w.step.tasks[0], l, now)
	if w.step.step.Gang {
		s.placeGang(w, gangCandidates(w.step, l, now), now)
		if t := w.step.firstPending(); t != nil {
			s.awaitsAdvice(t, all, now)
		}
		return
	}
	for _, t := range w.step.tasks {
		if t.done || t.run != nil {
			continue
		}
		if now.Before(t.restartAt) {
			s.resumeAt(t.restartAt)
			continue
		}
		if !s.allowedByCap(w.step, now) {
			return
		}
		s.operations.Servers += int64(len(l))
		v := bestServer(t, l, now)
		if v == nil && s.awaitsAdvice(t, all, now) {
			return
		}
		if v == nil && t.mayCrashServers() {
			s.awaitTrial(w, now)
			continue
		}
		if v == nil {
			if len(l) == len(all) && len(w.step.outcomes.failedOn) == 0 {
				full.add(w.step.step)
			}
			s.noteUnplaced(w, now)
			s.reserve(w, all, now)
			return
		}
		s.assign(t, v, t.lastRun+1)
		s.placed(t, v, now)
	}
}

// noteUnplaced records that a pool lacks a server for a long-running task.
func (s *Scheduler) noteUnplaced(w pendingStep, now time.Time) {
	if w.step.step.LongRunning {
		s.unplacedAt[s.poolOf(w.state)] = now
	}
}

// placeGang assigns all members of a gang at once, or none.
func (s *Scheduler) placeGang(w pendingStep, l []*serverState, now time.Time) {
	number := 0
	for _, t := range w.step.tasks {
		if t.run != nil || t.done {
			return
		}
		number = max(number, t.lastRun+1)
	}
	s.operations.Servers += int64(len(l) * len(w.step.tasks))
	chosen := gangPlacement(w.step, l)
	if chosen == nil {
		return
	}
	for i, t := range w.step.tasks {
		s.assign(t, chosen[i], number)
		s.placed(t, chosen[i], now)
	}
}
