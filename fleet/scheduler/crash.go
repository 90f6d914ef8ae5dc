package scheduler

import (
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/loss"
)

// A crash ends all runs of a server and does not tell its cause, and servers also crash in groups for reasons of their own.
// These limits decide when the job of a finite task fails. A long-running task is started again however its runs end.
const (
	// maxEarlyIsolatedCrashes is the number of crashes if the last server ran nothing else and the task had just begun there.
	maxEarlyIsolatedCrashes = 2
	// maxIsolatedCrashes is the number of crashes of servers that ran nothing else.
	maxIsolatedCrashes = 2
	// maxEarlyCrashes is the number of crashes on which a finite task had just begun.
	maxEarlyCrashes = 3
	// maxCrashes is the number of crashes of any kind, also on servers that may not have begun the task.
	maxCrashes = 5
)

const (
	// minCrashPause is the time between the second crash on which a long-running task had just begun and its next start. It doubles
	// with each further one, maxCrashBackoffs times, and stays below the time for which such a task may be away.
	minCrashPause    = 500 * time.Millisecond
	maxCrashBackoffs = 3
)

const (
	// minSuspiciousCrashes is the number of crashes from which a task runs alone even if it had not just begun.
	minSuspiciousCrashes = 3
	// suspicionWindow is how long before the last sign of life of a crashed server a run must have begun to be a likely cause.
	suspicionWindow = 100 * time.Millisecond
)

// mayCrashServers reports whether the task is a likely cause of the crash of a server, so that it should run alone.
func (t *task) mayCrashServers() bool {
	return !t.step.step.Gang && (t.suspected || t.crashes+t.doubtfulCrashes+t.unexplained >= minSuspiciousCrashes)
}

// hasLostServer reports whether a server crashed, or fell silent, while it ran the task.
func (t *task) hasLostServer() bool {
	return t.crashes+t.doubtfulCrashes+t.unexplained > 0
}

// lose gives up a run on a silent server that may have crashed.
func (s *Scheduler) lose(r *run, now time.Time, reason string) {
	r.server.lost = append(r.server.lost, r)
	r.task.unexplained++
	r.task.suspectedAt = now
	s.drop(r, now, reason)
}

// explainLost records that the server did not crash under the runs that were given up, as far as is known.
func (v *serverState) explainLost() {
	for _, r := range v.lost {
		r.task.unexplained--
	}
	v.lost = nil
}

// serverReplaced drops the runs of a server whose VM is down or runs another server, in the pool. That counts as a crash
// unless the VM was moved to the pool.
func (s *Scheduler) serverReplaced(v *serverState, pool string, endedAt, now time.Time, reason string) {
	if pool != v.info.Pool {
		s.serverStopped(v, endedAt, now, reason)
		return
	}
	s.serverCrashed(v, endedAt, now, reason)
}

// serverStopped drops the runs of a server that was ended by an order.
func (s *Scheduler) serverStopped(v *serverState, endedAt, now time.Time, reason string) {
	v.explainLost()
	s.dropRuns(v, endedAt, now, reason)
}

// serverCrashed drops the runs of a server that has surely ended, and counts the crash against its tasks unless the server
// was to leave.
func (s *Scheduler) serverCrashed(v *serverState, endedAt, now time.Time, reason string) {
	l := v.takeCrashed()
	s.dropRuns(v, endedAt, now, reason)
	s.countCrashes(v, l, now)
}

// takeCrashed returns the runs that a server may have had when it crashed, including those that were given up before.
func (v *serverState) takeCrashed() []*run {
	l := v.lost
	v.explainLost()
	for _, r := range v.runs {
		if r.phase != assigned && !r.startedLater {
			l = append(l, r)
		}
	}
	return l
}

// countCrashes counts the crash of a server against the tasks of the runs, unless the server was to leave.
func (s *Scheduler) countCrashes(v *serverState, l []*run, now time.Time) {
	if v.info.Draining || v.terminated || s.cordonedVMs[v.info.VM] {
		return
	}
	repeated := slices.ContainsFunc(l, (*run).repeatsCrash)
	for _, r := range l {
		if !repeated || r.repeatsCrash() || !r.task.step.step.LongRunning {
			s.countCrash(r, now)
		}
	}
}

// repeatsCrash reports whether the run had just begun, like an earlier one of its task on a server that crashed. Such a run
// explains a crash better than the long-running ones beside it.
func (r *run) repeatsCrash() bool {
	return r.hadJustBegun() && r.task.earlyCrashes+r.task.doubtfulCrashes > 0
}

// hadJustBegun reports whether the run had begun shortly before its server crashed, if it had begun at all.
func (r *run) hadJustBegun() bool {
	return !r.inherited && r.server.aliveAt().Sub(r.startedAt) < suspicionWindow
}

// hasBegun reports whether the server has surely begun the run. The members of a gang count as begun, since they cannot run
// alone.
func (r *run) hasBegun() bool {
	return r.phase == working || r.phase == stopping || r.task.step.step.Gang
}

// countCrash counts the crash of a run's server against its task. It fails the job of a finite task that has crashed too many, and
// delays the next start of a long-running one.
func (s *Scheduler) countCrash(r *run, now time.Time) {
	t := r.task
	if t.done || t.state.phase.Ended() {
		return
	}
	t.suspected = t.suspected || r.hadJustBegun()
	t.suspectedAt, t.crashedVM = now, r.server.info.VM
	s.markProgress(t.state)
	if r.alone {
		t.isolatedCrashes++
	}
	switch {
	case !r.hasBegun():
		t.doubtfulCrashes++
	case r.hadJustBegun():
		t.crashes++
		t.earlyCrashes++
	default:
		t.crashes++
	}
	s.addDecision(r.decision("server crashed under the task"))
	if t.step.step.LongRunning {
		t.delayAfterCrash(now)
		return
	}
	if t.crashesServers(r) {
		s.addDecision(Decision{Job: t.job.ID, Task: t.key.String(), Pool: t.job.Pool, Run: t.lastRun, Reason: loss.ReasonJobFailed + "the task crashes the servers that start it"})
		s.endJob(t.state, job.Failed, now)
	}
}

// delayAfterCrash delays the next start of a long-running task on which servers crash soon after its starts, from the second one on.
func (t *task) delayAfterCrash(now time.Time) {
	n := t.earlyCrashes + t.doubtfulCrashes - 2
	if n < 0 {
		return
	}
	if at := now.Add(minCrashPause << min(n, maxCrashBackoffs)); at.After(t.restartAt) {
		t.restartAt = at
	}
}

// crashesServers reports whether a finite task is surely the cause of crashes, the last of them under the run.
func (t *task) crashesServers(r *run) bool {
	if r.alone && r.hadJustBegun() && t.crashes >= maxEarlyIsolatedCrashes || t.isolatedCrashes >= maxIsolatedCrashes {
		return true
	}
	return t.earlyCrashes >= maxEarlyCrashes || t.crashes+t.doubtfulCrashes >= maxCrashes
}

// aliveAt returns when the server last gave a sign of life.
func (v *serverState) aliveAt() time.Time {
	if v.lastClockAt.After(v.listedAt) {
		return v.lastClockAt
	}
	return v.listedAt
}
