package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// Listed takes a server's listing; one that is older than the newest is ignored.
func (s *Scheduler) Listed(id string, l server.Report, now time.Time) {
	v := s.servers[id]
	if v == nil || l.Clock < v.listed {
		return
	}
	if !l.StartedAt.IsZero() && !l.StartedAt.Equal(v.info.StartedAt) {
		if l.StartedAt.After(v.info.StartedAt) {
			i := v.info
			i.StartedAt = l.StartedAt
			s.Register(i, now)
		}
		return
	}
	if !v.reachable {
		s.note(Note{Server: id, Pool: v.info.Pool, Reason: "server answers"})
		s.unplanned = true
	}
	if v.listed == 0 {
		// An earlier owner may just have held the runs for as long as is allowed.
		v.lease = max(v.lease, l.Clock+s.bounds.Hold)
		v.fenced = now
	}
	v.reachable = true
	v.misplaced = false
	v.heard = now
	v.listed = l.Clock
	v.observe(l.Clock, now)
	s.takeEnds(v, l, now)
	present := s.takeRuns(v, l, now)
	if !l.HasMore {
		s.takeAbsent(v, l, present, now)
	}
}

// takeEnds processes the ends that are new.
func (s *Scheduler) takeEnds(v *serverState, l server.Report, now time.Time) {
	for _, e := range l.Ends {
		if e.Sequence <= v.ends.seen {
			continue
		}
		r := v.runs[e.Task]
		if r != nil && r.number == e.Number {
			s.ended(r, e.Reason, e.Checkpoint, now)
		}
		if r == nil || r.number != e.Number {
			s.takeCopy(e, now)
		}
		v.ends.add(e.Sequence, s.jobs[e.Task.Job])
	}
}

// takeCopy takes the end of a copy that was given up; only the first copy of a speculative task counts.
func (s *Scheduler) takeCopy(e server.EndedRun, now time.Time) {
	t := s.find(e.Task)
	if t == nil || t.done || !t.step.step.Speculative || e.Reason != job.EndDone || t.state.phase.Ended() {
		return
	}
	if t.run != nil {
		s.stop(t.run, now)
	}
	s.finish(t, now)
	s.change(t.state)
}

// takeRuns takes what is at work and stops what is not ours.
func (s *Scheduler) takeRuns(v *serverState, l server.Report, now time.Time) map[*run]bool {
	present := map[*run]bool{}
	for _, x := range l.Runs {
		r := v.runs[x.Task]
		if r == nil || r.number != x.Number {
			s.stopStray(v, x)
			continue
		}
		present[r] = true
		s.takeRun(r, x, now)
	}
	return present
}

func (s *Scheduler) takeRun(r *run, x server.Run, now time.Time) {
	if r.phase == sent || r.phase == unsure {
		r.work(now)
		r.beganAt = x.Percent
	}
	if !r.task.state.begun {
		r.task.state.begun = true
	}
	if x.Percent > r.percent {
		r.progressed = now
	}
	r.percent = x.Percent
	r.tail = x.Metric
	if x.Checkpoint != "" && r.task.step.step.Checkpointing {
		r.task.checkpoint = x.Checkpoint
		r.task.step.checkpoint = x.Checkpoint
	}
	if r.phase == stopping && now.Sub(r.stopSent) > s.bounds.Stop {
		s.sendStop(r, now)
	}
}

// stopStray stops a run that the store knows nothing of, such as one of a job that was cancelled.
func (s *Scheduler) stopStray(v *serverState, x server.Run) {
	s.note(Note{Job: x.Task.Job, Task: x.Task.String(), Server: v.info.ID, Run: x.Number, Reason: "run is not assigned here: stop"})
	s.orders.Stops = append(s.orders.Stops, Stop{Server: v.info, Task: x.Task, Number: x.Number})
}

// takeAbsent drops the runs that the server would list if they were there.
func (s *Scheduler) takeAbsent(v *serverState, l server.Report, present map[*run]bool, now time.Time) {
	for _, r := range v.runs {
		if present[r] || r.phase == assigned {
			continue
		}
		if r.inherited {
			s.drop(r, now, "an earlier owner's run is not there")
			continue
		}
		if l.Clock <= r.confirmed {
			continue
		}
		if (r.phase == working || r.confirmed > 0) || l.Clock > r.until {
			s.drop(r, now, "run is not there")
		}
	}
}
