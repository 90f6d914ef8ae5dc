package scheduler

import "time"

// A task that may crash servers is tried on a server that runs nothing else, so that a crash there proves it to be the cause.
const (
	// maxFiniteTrialWait is how long a finite task that may crash servers waits for a server without other tasks,
	// maxLongRunningTrialWait a long-running one, and maxRepeatedTrialWait one under which such a server has crashed.
	maxFiniteTrialWait      = 500 * time.Millisecond
	maxLongRunningTrialWait = 2 * time.Second
	maxRepeatedTrialWait    = 4 * time.Second
	// trialServersDivisor sets how many of a pool's servers may run a task alone: a quarter, and one at least.
	trialServersDivisor = 4
	// trialDuration is how long a run must have worked to be no longer isolated.
	trialDuration = 2 * time.Second
	// maxCrashDelay is how long a run must have worked for earlier crashes to be no fault of its task.
	maxCrashDelay = 20 * time.Second
)

// isolates reports whether the server runs a task that may crash it, and so gets no other.
func (v *serverState) isolates() bool {
	return v.isolatedRuns > 0
}

// isEmpty reports whether nothing runs on the server.
func (v *serverState) isEmpty() bool {
	return len(v.runs) == 0 && len(v.unassigned.tasks) == 0
}

// setIsolated sets whether the server of a run gets no other runs.
func (r *run) setIsolated(on bool) {
	switch {
	case on && !r.isolated:
		r.server.isolatedRuns++
	case !on && r.isolated:
		r.server.isolatedRuns--
	}
	r.isolated = on
}

// trials counts the servers of a pool that run a task alone.
type trials struct {
	running, limit int
}

// countTrials sets the trials of a pool's usable servers.
func countTrials(l []*serverState) {
	x := &trials{limit: max(len(l)/trialServersDivisor, 1)}
	for _, v := range l {
		v.trials = x
		if v.isolates() {
			x.running++
		}
	}
}

// canTryAlone reports whether a task may run alone on the server.
func (v *serverState) canTryAlone() bool {
	return v.isEmpty() && v.trials != nil && v.trials.running < v.trials.limit
}

// canTry reports whether a task that may crash servers may run on the server: alone, or once it has waited for long enough.
func (v *serverState) canTry(t *task, now time.Time) bool {
	return v.canTryAlone() || now.Sub(t.suspectedAt) > t.maxTrialWait()
}

// maxTrialWait returns how long the task waits for a server without other tasks.
func (t *task) maxTrialWait() time.Duration {
	switch {
	case !t.step.step.LongRunning:
		return maxFiniteTrialWait
	case t.isolatedCrashes > 0:
		return maxRepeatedTrialWait
	default:
		return maxLongRunningTrialWait
	}
}

// awaitTrial records that a task that may crash servers found none to run on alone, and asks for one more server.
func (s *Scheduler) awaitTrial(w pendingStep, now time.Time) {
	s.awaitingTrial = true
	s.unplacedAt[s.poolOf(w.state)] = now
}

// endTrial lets other tasks run beside a task that has worked for trialDuration, and forgets the crashes under one that has
// worked for maxCrashDelay.
func (s *Scheduler) endTrial(r *run) {
	t, d := r.task, r.server.listedAt.Sub(r.startedAt)
	if !r.isolated && !t.suspected && t.crashes+t.doubtfulCrashes == 0 || d < trialDuration {
		return
	}
	if r.isolated {
		r.setIsolated(false)
		r.alone = false
		s.needsPlan = true
	}
	if !t.suspected && d < maxCrashDelay {
		return
	}
	t.suspected, t.earlyCrashes, t.isolatedCrashes, t.doubtfulCrashes = false, 0, 0, 0
	if d >= maxCrashDelay {
		t.crashes = 0
	}
	s.markProgress(t.state)
}
