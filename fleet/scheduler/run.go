package scheduler

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/loss"
)

// runPhase is the state of a run.
type runPhase int

//go:generate enumer -type=runPhase -transform=title-lower -linecomment
const (
	// assigned: the start order waits until the assignment is stored.
	assigned runPhase = iota
	// sent: the start order was sent and has not been answered.
	sent
	// unconfirmed: the run may or may not exist; the server's listing decides.
	unconfirmed // unsure
	// working: the server has listed or confirmed the run.
	working
	// stopping: a stop order was sent.
	stopping
)

// run is one attempt to execute a task on a server. Numbers increase with each run of a task.
type run struct {
	task   *task
	number int
	server *serverState
	phase  runPhase
	// version is the version of the job that contains the assignment.
	version uint64
	// listing is the number of the last listing of its server that had the run.
	listing uint64
	// expiresClock is when the start order expires, confirmedClock when the server answered it, both on the server's
	// clock.
	expiresClock   time.Duration
	confirmedClock time.Duration
	// sentClock is the least that the server's clock can have shown when the start order was sent.
	sentClock time.Duration
	// arrivesUntil is until when a start order may arrive that the server has not answered, zero if there is none.
	arrivesUntil time.Time
	// startedLater is true if an incarnation of the server that is not known yet has the run.
	startedLater bool
	// inherited is true for a run that a previous owner ordered, or this one from an earlier incarnation of the server. The
	// server refuses those orders once it has seen the new fencing token.
	inherited  bool
	stopSentAt time.Time
	percent    int
	// progressedClock is when the run last progressed, on the server's clock: a listing may be processed long after it was
	// made.
	progressedClock time.Duration
	startedAt       time.Time
	// startPercent is the progress at startedAt, above 0 if a listing showed the run with progress first.
	startPercent int
	// proven is true once the run of a long-running task counts as successful.
	proven bool
	// projection is counted among the speeds of the task's step.
	projection projection
	// held is true while the start order waits for the window of unanswered ones.
	held bool
	// metric is server.Run.Metric of the last listing.
	metric int64
	// isolated is true while the server gets no other runs, since the task may crash it; alone is true if it has got none
	// since the run was assigned.
	isolated, alone bool
	// countedEnded is true while the run is among its server's runs of ended jobs.
	countedEnded bool
	// pace is the percentage of full speed to which the run is throttled.
	pace    int
	pacedAt time.Time
	// paceUnknown is true if the server may run it at another pace: the last order was not answered, or a previous owner gave it.
	paceUnknown bool
}

// assign places a task on a server. The start order is sent once the assignment is stored.
func (s *Scheduler) assign(t *task, v *serverState, number int) *run {
	t.lastRun = number
	r := &run{task: t, number: number, server: v, pace: fullPace}
	if t.mayCrashServers() && v.canTryAlone() {
		r.alone = true
		r.setIsolated(true)
		v.trials.running++
	}
	t.setRun(r)
	v.addRun(r)
	s.markDirty(t.state)
	r.version = t.state.version
	return r
}

// fullPace is the pace of a run that is not throttled, in percent.
const fullPace = 100

// release frees the server capacity of a run and lets its task be placed again.
func (s *Scheduler) release(r *run, now time.Time) {
	r.forgetSpeed()
	r.server.removeRun(r)
	r.setIsolated(false)
	if len(r.server.runs) == 0 {
		r.server.idleSince = now
	}
	if r.task.run == r {
		r.task.setRun(nil)
		s.awaitStep(r.task.step)
	}
	s.needsPlan = true
}

// drop releases a run that never started, no longer exists or was given up, and logs the reason.
func (s *Scheduler) drop(r *run, now time.Time, reason string) {
	s.addDecision(r.decision(reason))
	s.release(r, now)
	s.markProgress(r.task.state)
}

// markProgress marks a job's progress for storing unless the job has ended, since its runs no longer matter then.
func (s *Scheduler) markProgress(j *jobState) {
	if !j.phase.Ended() {
		s.markDirty(j)
	}
}

// stop ends a run in any phase: an unsent assignment is withdrawn, any other run gets a stop order.
func (s *Scheduler) stop(r *run, now time.Time) {
	if r.phase == assigned {
		s.drop(r, now, "assignment withdrawn")
		return
	}
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	r.forgetSpeed()
	s.sendStop(r, now)
}

func (s *Scheduler) sendStop(r *run, now time.Time) {
	r.stopSentAt = now
	s.orders.Stops = append(s.orders.Stops, StopOrder{Server: r.server.info, Task: r.task.key, Number: r.number})
}

// runEnded records how a run ended and updates its task, its job and the health of its server.
func (s *Scheduler) runEnded(r *run, reason job.EndReason, checkpoint string, now time.Time) {
	t := r.task
	s.addDecision(r.decision(loss.ReasonRunEnded + reason.String()))
	if s.orders.EndCounts == nil {
		s.orders.EndCounts = map[job.EndReason]int{}
	}
	s.orders.EndCounts[reason]++
	s.jobStarted(t.state)
	s.release(r, now)
	s.keepCheckpoint(r, checkpoint)
	s.markProgress(t.state)
	if t.done || t.state.phase.Ended() {
		return
	}
	switch {
	case t.step.step.LongRunning:
		s.recordEnd(r, reason, now)
		if reason == job.EndFailed {
			t.delayRestart(r, now)
		}
	case reason == job.EndDone:
		s.recordDuration(r, now)
		s.recordEnd(r, reason, now)
		s.finishTaskOrGang(t, now)
	case reason == job.EndFailed:
		s.recordEnd(r, reason, now)
		s.countFailure(r, now)
	}
}

// keepCheckpoint records the checkpoint of a run, if there is one. One that is too large to be stored is left out: the task resumes from the
// one before.
func (s *Scheduler) keepCheckpoint(r *run, checkpoint string) {
	t := r.task
	switch {
	case checkpoint == "" || !t.step.step.Checkpointing:
	case len(checkpoint) > s.limits.checkpointBytes():
		if !t.step.checkpointTooLarge {
			t.step.checkpointTooLarge = true
			s.addDecision(r.decision(fmt.Sprintf("checkpoint left out: it has %d bytes, at most %d are stored", len(checkpoint), s.limits.checkpointBytes())))
		}
	default:
		t.checkpoint, t.step.checkpoint = checkpoint, checkpoint
	}
}

// finishTaskOrGang finishes a task, or all tasks of its gang.
func (s *Scheduler) finishTaskOrGang(t *task, now time.Time) {
	for _, m := range t.gangOrSelf() {
		s.finishTask(m, now)
	}
}

// countFailure counts a failed run against its task, and once against its gang, and fails the job when either has no attempts
// left.
func (s *Scheduler) countFailure(r *run, now time.Time) {
	t := r.task
	t.avoidedServer = r.server.info.ID
	t.failures++
	if t.step.step.Gang && r.number > t.step.failedRun {
		t.step.failedRun = r.number
		t.step.gangFailures++
	}
	if max(t.failures, t.step.gangFailures) >= s.maxAttempts(t.state) {
		s.addDecision(Decision{Job: t.job.ID, Task: t.key.String(), Pool: t.job.Pool, Reason: loss.ReasonJobFailed + "no attempts are left"})
		s.endJob(t.state, job.Failed, now)
	}
}

// defaultMaxAttempts applies to jobs whose queue is no longer configured and whose terms are not known.
const defaultMaxAttempts = 4

// maxAttempts returns the number of attempts that the job's queue allows, or allowed when it accepted the job.
func (s *Scheduler) maxAttempts(j *jobState) int {
	if q := s.table.ByName(j.job.Queue); q != nil && q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	if n := j.job.Terms.MaxAttempts; n > 0 {
		return n
	}
	return defaultMaxAttempts
}

// StartAnswer is a server's answer to a start order.
type StartAnswer int

// The answers to a start order.
//
//go:generate enumer -type=StartAnswer -transform=title-lower -linecomment
const (
	// Started means that the run exists.
	Started StartAnswer = iota
	// NoAnswer means that the order may have been carried out, or may still be.
	NoAnswer
	// InsufficientCapacity means that the server has too little free capacity for the run.
	InsufficientCapacity // noRoom
	// Late means that the order had expired when it arrived.
	Late
	// Superseded means that this run or a later run of the task has already ended on the server.
	Superseded
	// NotPermitted means that the advice service's ticket is missing or has expired.
	NotPermitted // unpermitted
	// Unhealthy means that the server accepts no runs at present and did not start this one.
	Unhealthy
	// WrongServer means that another server answers at the address.
	WrongServer
	// Malformed means that the server cannot parse the order.
	Malformed
	// Undelivered means that no connection to the server was made, so that it did not receive the order.
	Undelivered
)

// StartAnswered records a server's answer to a start order; clock is the server's clock, 0 if the answer had none.
func (s *Scheduler) StartAnswered(o StartOrder, a StartAnswer, clock time.Duration, now time.Time) {
	s.starts.answered(a, now.Sub(o.orderedAt), now)
	s.startAnswered(o, a, clock, now)
	s.sendHeld(now)
}

func (s *Scheduler) startAnswered(o StartOrder, a StartAnswer, clock time.Duration, now time.Time) {
	v := s.servers[o.Server.ID]
	if v == nil || !v.info.StartedAt.Equal(o.Server.StartedAt) {
		return
	}
	v.observeClock(clock, now)
	t := s.findTask(o.Task)
	if t == nil || t.run == nil || t.run.number != o.Number || t.run.server != v {
		return
	}
	s.applyStartAnswer(t.run, a, clock, now)
}

// clockResolution is the resolution of the readings of servers' clocks.
const clockResolution = time.Millisecond

// applyStartAnswer moves the run to its next phase, or drops it if the server has surely not started it.
func (s *Scheduler) applyStartAnswer(r *run, a StartAnswer, clock time.Duration, now time.Time) {
	if t := now.Add(orderDeliveryMargin); a == NoAnswer && t.Before(r.arrivesUntil) {
		r.arrivesUntil = t
	}
	if a != Started && r.phase != sent {
		// A listing has confirmed the run, or it was told to stop: later listings decide.
		return
	}
	switch a {
	case Started:
		if clock < r.sentClock.Truncate(clockResolution) {
			s.startedByLaterIncarnation(r, now)
			return
		}
		r.confirmedClock = clock
		if r.phase == sent || r.phase == unconfirmed {
			r.setWorking(clock, now)
		}
		return
	case NoAnswer, Superseded, Malformed:
		if a != NoAnswer {
			r.confirmedClock = clock
		}
		r.phase = unconfirmed
		s.addDecision(r.decision("start: " + a.String()))
		return
	case InsufficientCapacity:
		r.server.fullUntil = now.Add(fullPause)
	case Unhealthy, Undelivered:
		r.server.pauseUntil(now.Add(unhealthyPause))
	case NotPermitted:
		r.task.step.advice.ticketRejected(r.server.info, now)
	case WrongServer:
		r.server.addressTaken = true
	}
	s.drop(r, now, "start: "+a.String())
}

const (
	// fullPause is how long no run is placed on a server that had less free capacity than expected. Runs last about a
	// second, so capacity soon becomes free.
	fullPause = 300 * time.Millisecond
	// unhealthyPause is how long no run is placed on a server that reports itself unhealthy, accepts no connection or is
	// not on the list of VMs, which may lag.
	unhealthyPause = time.Second
)

func (r *run) setWorking(clock time.Duration, now time.Time) {
	r.phase = working
	if !r.startedLater {
		r.arrivesUntil = time.Time{}
	}
	r.startedAt = now
	r.progressedClock = clock
}
