package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/usage"
)

// ListingReceived applies a server's listing of its runs and their ends. It ignores a listing that is older than the
// newest one or of an incarnation that has ended; one of an unknown incarnation shows that the server has restarted.
func (s *Scheduler) ListingReceived(id string, l server.Listing, now time.Time) {
	v := s.servers[id]
	if v == nil || l.Clock < v.listingClock {
		return
	}
	if !l.StartedAt.IsZero() && !l.StartedAt.Equal(v.info.StartedAt) {
		if !v.isFormerStart(l.StartedAt) {
			s.ServerRestarted(id, v.info.StartedAt, l.StartedAt, now)
		}
		return
	}
	if !v.reachable {
		s.addDecision(Decision{Server: id, Pool: v.info.Pool, Reason: "server is reachable"})
		s.needsPlan = true
		v.explainLost()
	}
	if v.listingClock == 0 {
		// A previous owner may just have renewed the lease.
		v.leaseUntil = max(v.leaseUntil, l.Clock+s.previousLease)
		if v.restarted {
			// The server shortens a lease that ends on the clock of an earlier incarnation to the longest lease.
			v.leaseUntil = max(v.leaseUntil, l.Clock+s.limits.MaxLease)
		}
		v.fencedAt = now
		s.lists.newest = nil
	}
	if v.addressTaken || now.Sub(v.listedAt) >= listingTimeout {
		// It may get new runs again.
		s.needsPlan = true
	}
	v.reachable = true
	if v.leaseRecorded {
		s.leaseRecord.due = true
	}
	v.addressTaken = false
	s.confirmIncarnation(v, now)
	v.listedAt = now
	v.listingClock = l.Clock
	v.observeClock(l.Clock, now)
	s.applyEnds(v, l, now)
	s.applyRuns(v, l, now)
	if !l.HasMore {
		s.dropMissing(v, l, now)
	}
	s.observeSpeeds(v)
	s.checkSpeed(v, now)
}

// jobStarted records that a task of the job has started.
func (s *Scheduler) jobStarted(j *jobState) {
	if !j.started {
		j.started = true
		s.countPendingJob(j)
	}
}

// applyEnds processes the ends that have not been processed yet.
func (s *Scheduler) applyEnds(v *serverState, l server.Listing, now time.Time) {
	for _, e := range l.Ends {
		if e.Sequence <= v.endLog.processed {
			continue
		}
		r := v.runs[e.Task]
		if r != nil && r.number == e.Number {
			s.runEnded(r, e.Reason, e.Checkpoint, now)
		}
		if r == nil || r.number != e.Number {
			s.applyFormerEnd(v, e, now)
		}
		v.endLog.add(e.Sequence, s.jobs[e.Task.Job])
	}
}

// applyFormerEnd processes the end of a run that is no longer assigned. A run that succeeded finishes its task, though it was
// given up because its server was silent, and the run that replaced it is withdrawn or stopped. A failure counts only for
// a speculative run that this owner abandoned, since a previous owner may have counted the others.
func (s *Scheduler) applyFormerEnd(v *serverState, e server.EndedRun, now time.Time) {
	t := s.findTask(e.Task)
	if t == nil || t.done || t.step.step.LongRunning || e.Number > t.lastRun || t.state.phase.Ended() {
		return
	}
	abandoned := t.abandoned[e.Number]
	delete(t.abandoned, e.Number)
	if abandoned != nil && e.Reason == job.EndFailed {
		s.markProgress(t.state)
		s.countFailure(abandoned, now)
	}
	if e.Reason != job.EndDone {
		return
	}
	s.addDecision(Decision{
		Job: t.job.ID, Task: t.key.String(), Server: v.info.ID, Pool: t.job.Pool, Run: e.Number, Reason: "a run that was given up has ended as done",
	})
	for _, m := range t.gangOrSelf() {
		if m.run != nil {
			s.stop(m.run, now)
		}
	}
	s.finishTaskOrGang(t, now)
	s.markProgress(t.state)
}

// gangOrSelf returns the tasks that end together with this one: all of its gang, or itself.
func (t *task) gangOrSelf() []*task {
	if t.step.step.Gang {
		return t.step.tasks
	}
	return []*task{t}
}

// applyRuns updates the listed runs, and stops those that are not assigned to the server.
func (s *Scheduler) applyRuns(v *serverState, l server.Listing, now time.Time) {
	previous := v.unassigned
	v.unassigned = unassignedRuns{}
	v.listings++
	var unassigned map[usage.Run]bool
	for _, x := range l.Runs {
		r := v.runs[x.Task]
		if r == nil || r.number != x.Number {
			if unassigned == nil {
				unassigned = map[usage.Run]bool{}
			}
			unassigned[usage.Run{Task: x.Task, Number: x.Number}] = true
			s.stopUnassigned(v, x)
			continue
		}
		r.listing = v.listings
		s.applyRun(r, x, now)
	}
	if v.strays.Retain(unassigned, l.Clock) || len(v.unassigned.tasks) < len(previous.tasks) {
		s.needsPlan = true
	}
}

func (s *Scheduler) applyRun(r *run, x server.Run, now time.Time) {
	if r.phase == sent || r.phase == unconfirmed {
		r.setWorking(r.server.listingClock, now)
		r.startPercent = x.Percent
	}
	s.jobStarted(r.task.state)
	if x.Percent > r.percent {
		r.progressedClock = r.server.listingClock
	}
	r.percent = x.Percent
	r.metric = x.Metric
	s.endTrial(r)
	if r.task.step.step.LongRunning {
		s.recordReady(r, now)
	}
	s.keepCheckpoint(r, x.Checkpoint)
	if r.phase == stopping && now.Sub(r.stopSentAt) > s.limits.StopTimeout {
		s.sendStop(r, now)
	}
}

// stopUnassigned stops a run that is not assigned to the server, such as one of a job that was cancelled. The run holds
// capacity until a listing no longer has it.
func (s *Scheduler) stopUnassigned(v *serverState, x server.Run) {
	v.unassigned.tasks = append(v.unassigned.tasks, x.Task)
	if _, p := s.findStep(x.Task); p != nil {
		v.unassigned.demand = v.unassigned.demand.Add(p.Demand())
	} else {
		v.unassigned.unsized = true
	}
	s.countStray(v, x)
	s.addDecision(Decision{
		Job: x.Task.Job, Task: x.Task.String(), Server: v.info.ID, Run: x.Number,
		Reason: "run is not assigned to this server: stopping it",
	})
	s.orders.Stops = append(s.orders.Stops, StopOrder{Server: v.info, Task: x.Task, Number: x.Number})
}

// dropMissing drops the runs that are not in the listing, if the listing is late enough to have contained them.
func (s *Scheduler) dropMissing(v *serverState, l server.Listing, now time.Time) {
	for _, r := range v.runs {
		if r.listing == v.listings || r.phase == assigned || r.startedLater {
			continue
		}
		if r.inherited {
			s.drop(r, now, "inherited run is missing from the listing")
			continue
		}
		if l.Clock <= r.confirmedClock {
			continue
		}
		if (r.phase == working || r.confirmedClock > 0) || l.Clock > r.expiresClock {
			s.drop(r, now, "run is missing from the listing")
		}
	}
}
