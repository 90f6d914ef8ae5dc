package scheduler

import (
	"cmp"
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
	resumesAt   time.Time
	cordonedVMs map[string]bool
	// placements is the number of tasks that the present pass may still place.
	placements int
	waiting    waitingSteps
	lists      serverLists
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
	pool     string
	rank     rank
	priority int
	// aboveShare is 1 for on-time work of a workspace that uses more than its fair share of a busy pool, 0 otherwise.
	aboveShare  int
	latestStart time.Time
}

// plan places pending tasks, the most urgent first, if anything changed since the last pass. If only steps were added that wait, it places
// those alone: the others have found no server, and no server has more room than then. Reservations need a pass over all.
func (s *Scheduler) plan(now time.Time) {
	s.placements = s.startRate.allowedPlacements()
	switch {
	case s.table == nil:
	case s.needsPlan || s.limits.LookAhead && s.waiting.hasNew():
		s.needsPlan, s.awaitingTrial, s.resumesAt = false, false, time.Time{}
		s.beginReservations(now)
		defer s.endReservations(now)
		s.placeSteps(s.orderedSteps(now), now)
	case s.waiting.hasNew():
		s.placeSteps(s.newSteps(now), now)
	}
}

// placeSteps places the tasks of steps, the most urgent first.
func (s *Scheduler) placeSteps(l []pendingStep, now time.Time) {
	s.operations.Passes++
	s.operations.Waiting += int64(len(l))
	rooms := map[string]*room{}
	for _, w := range l {
		if s.placements <= 0 {
			break
		}
		x := rooms[w.pool]
		if x == nil {
			x = s.newRoom(w.pool, now)
			rooms[w.pool] = x
		}
		s.place(w, x, now)
	}
	if s.placements <= 0 {
		// The next pass goes on with what is most urgent then.
		s.needsPlan = true
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

// usableServers returns the servers of a pool that accept new runs.
func (s *Scheduler) usableServers(pool string, now time.Time) []*serverState {
	all := s.serversOf(pool)
	s.operations.Servers += int64(len(all))
	l := make([]*serverState, 0, len(all))
	for _, v := range all {
		if v.usable(now) && !s.cordonedVMs[v.info.VM] {
			l = append(l, v)
		}
	}
	countTrials(l)
	return l
}

// resumeAt makes a pass due at the time, if it is not zero.
func (p *pass) resumeAt(t time.Time) {
	if !t.IsZero() && (p.resumesAt.IsZero() || t.Before(p.resumesAt)) {
		p.resumesAt = t
	}
}

// resumesAt returns when a server that gets no new runs may get some again, zero if it may now or that is not known.
func (v *serverState) resumesAt(now time.Time) time.Time {
	t := v.pausedUntil
	if v.fullUntil.After(t) {
		t = v.fullUntil
	}
	if x := v.health.resumesAt(now); x.After(t) {
		t = x
	}
	if !v.exists() || !t.After(now) {
		return time.Time{}
	}
	return t
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

// firstPending returns the first task of the step that waits for a server, nil if there is none.
func (p *stepState) firstPending() *task {
	if p.pendingTasks == 0 {
		return nil
	}
	for _, t := range p.tasks {
		if t.isPending() {
			return t
		}
	}
	return nil
}

// isPending reports whether the task waits for a server.
func (t *task) isPending() bool {
	return !t.done && t.run == nil
}

func (s *Scheduler) newPendingStep(j *jobState, o *occurrence, p *stepState, now time.Time) pendingStep {
	w := pendingStep{step: p, state: j, pool: j.job.Pool, rank: rankOnTime}
	if q := s.table.ByName(j.job.Queue); q != nil {
		w.priority, w.pool = q.Priority, q.Pool
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
	if w.rank == rankOnTime && s.isAboveShare(j.job, w.pool, now) {
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
	return begin.Add(s.targetDuration(j.job)).Add(-s.criticalPath(j, p))
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
func (s *Scheduler) criticalPath(j *jobState, p *stepState) time.Duration {
	return time.Duration(float64(j.job.CriticalPathFrom(p.tasks[0].key.Step)) * s.durationRatio(j.job.Queue))
}

// place assigns the step's pending tasks to servers until one finds no capacity.
func (s *Scheduler) place(w pendingStep, x *room, now time.Time) {
	all := x.servers
	if len(all) == 0 {
		return
	}
	if !s.allowedByCap(w.step, now) {
		return
	}
	l := all
	if x.rulesOut(w.step.step.Demand()) {
		if l = s.heldServersFor(w); len(l) == 0 {
			s.noteUnplaced(w, now)
			s.reserve(w, all, now)
			return
		}
	}
	s.foreseeEnd(w.step, now)
	l = s.advisedServers(w.step.tasks[0], l, now)
	if w.step.step.Gang {
		s.placeGang(w, x, l, now)
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
		if s.placements <= 0 || !s.allowedByCap(w.step, now) {
			return
		}
		v := s.findServer(t, l, x, now)
		if v == nil && s.awaitsAdvice(t, all, now) {
			return
		}
		if v == nil && t.mayCrashServers() {
			s.awaitTrial(w, now)
			continue
		}
		if v == nil {
			if len(l) == len(all) && len(w.step.outcomes.failedOn) == 0 {
				x.add(w.step.step)
			}
			s.noteUnplaced(w, now)
			s.reserve(w, all, now)
			return
		}
		s.assign(t, v, t.lastRun+1)
		s.placed(t, v, now)
		x.take(v)
		s.placements--
	}
}

// findServer returns the best server for a task, nil if it has to wait.
func (s *Scheduler) findServer(t *task, l []*serverState, x *room, now time.Time) *serverState {
	d := t.step.step.Demand()
	if !x.mayFit(d) {
		return nil
	}
	s.operations.Servers += int64(len(l))
	if len(l) != len(x.servers) {
		return bestServer(t, l, now)
	}
	v := x.best(t, now)
	if v == nil {
		s.operations.Servers += int64(x.measure())
	}
	return v
}

// noteUnplaced records that a pool lacks a server for a long-running task.
func (s *Scheduler) noteUnplaced(w pendingStep, now time.Time) {
	if w.step.step.LongRunning {
		s.unplacedAt[w.pool] = now
	}
}

// placeGang assigns all members of a gang at once, or none.
func (s *Scheduler) placeGang(w pendingStep, x *room, l []*serverState, now time.Time) {
	if !x.mayFit(w.step.step.Demand()) {
		return
	}
	number := 0
	for _, t := range w.step.tasks {
		if t.run != nil || t.done {
			return
		}
		number = max(number, t.lastRun+1)
	}
	s.operations.Servers += int64(len(l) * len(w.step.tasks))
	chosen := gangPlacement(w.step, gangCandidates(w.step, l, now))
	if chosen == nil {
		return
	}
	for i, t := range w.step.tasks {
		s.assign(t, chosen[i], number)
		s.placed(t, chosen[i], now)
		x.take(chosen[i])
		s.placements--
	}
}
