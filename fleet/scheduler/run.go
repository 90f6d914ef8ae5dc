package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// runPhase is where a run stands.
type runPhase int

//go:generate enumer -type=runPhase -transform=title-lower -linecomment
const (
	// assigned runs wait until their assignment is stored.
	assigned runPhase = iota
	// sent runs have had their order sent, without an answer so far.
	sent
	// unconfirmed runs may or may not be there; the server's listing tells.
	unconfirmed // unsure
	// working runs were listed or confirmed by the server.
	working
	// stopping runs have been told to stop.
	stopping
)

// run is one start of a task on a server.
type run struct {
	task   *task
	number int
	server *serverState
	phase  runPhase
	// version is the job's version that stores the assignment.
	version uint64
	// expiresClock is when the start order lapses, confirmed when the server answered, both on the server's clock.
	expiresClock   time.Duration
	confirmedClock time.Duration
	// inherited runs were ordered by an earlier owner, whose orders the server now refuses.
	inherited    bool
	stopSentAt   time.Time
	percent      int
	progressedAt time.Time
	startedAt    time.Time
	startPercent int
	tail         int64
	// pace is the share of its speed that the run was told to keep, in percent.
	pace    int
	pacedAt time.Time
}

// assign takes a task to a server; the order is sent once the assignment is stored.
func (s *Scheduler) assign(t *task, v *serverState, number int) *run {
	t.lastRun = number
	r := &run{task: t, number: number, server: v, pace: fullPace}
	t.run = r
	v.addRun(r)
	s.markDirty(t.state)
	r.version = t.state.version
	return r
}

// fullPace is the pace of a run that nobody slows down, in percent.
const fullPace = 100

// release frees what a run holds; the task may run again.
func (s *Scheduler) release(r *run, now time.Time) {
	r.server.removeRun(r)
	if len(r.server.runs) == 0 {
		r.server.idleSince = now
	}
	if r.task.run == r {
		r.task.run = nil
	}
	s.needsPlan = true
}

// drop releases a run that never started or vanished.
func (s *Scheduler) drop(r *run, now time.Time, reason string) {
	s.note(r.note(reason))
	s.release(r, now)
	s.markProgress(r.task.state)
}

// markProgress has a job's course stored unless it has ended, when runs no longer matter.
func (s *Scheduler) markProgress(j *jobState) {
	if !j.phase.Ended() {
		s.markDirty(j)
	}
}

// stop ends a run wherever it stands.
func (s *Scheduler) stop(r *run, now time.Time) {
	if r.phase == assigned {
		s.drop(r, now, "assignment withdrawn")
		return
	}
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	s.sendStop(r, now)
}

func (s *Scheduler) sendStop(r *run, now time.Time) {
	r.stopSentAt = now
	s.orders.Stops = append(s.orders.Stops, Stop{Server: r.server.info, Task: r.task.key, Number: r.number})
}

// runEnded takes note of how a run ended.
func (s *Scheduler) runEnded(r *run, how job.End, checkpoint string, now time.Time) {
	t := r.task
	s.note(r.note("ended " + how.String()))
	if s.orders.Ends == nil {
		s.orders.Ends = map[job.End]int{}
	}
	s.orders.Ends[how]++
	s.release(r, now)
	if checkpoint != "" && t.step.step.Checkpointing {
		t.checkpoint = checkpoint
		t.step.checkpoint = checkpoint
	}
	s.markProgress(t.state)
	if t.done || t.state.phase.Ended() {
		return
	}
	switch {
	case t.step.step.Lasting:
		s.judge(r, how, now)
	case how == job.EndDone:
		s.learn(r, now)
		s.judge(r, how, now)
		s.finishTaskOrGang(t, now)
	case how == job.EndFailed:
		s.judge(r, how, now)
		s.countFailure(r, now)
	}
}

// finishTaskOrGang finishes a task, or the whole gang that it is a member of.
func (s *Scheduler) finishTaskOrGang(t *task, now time.Time) {
	if !t.step.step.Gang {
		s.finishTask(t, now)
		return
	}
	for _, m := range t.step.tasks {
		s.finishTask(m, now)
	}
}

// countFailure counts a failed run and fails the job once its attempts are used up.
func (s *Scheduler) countFailure(r *run, now time.Time) {
	t := r.task
	t.avoidedServer = r.server.info.ID
	if t.step.step.Gang {
		if t.step.failedRun == r.number {
			return
		}
		t.step.failedRun = r.number
	}
	t.failures++
	if t.failures >= s.maxAttempts(t.state) {
		s.note(Note{Job: t.job.ID, Task: t.key.String(), Pool: t.job.Pool, Reason: "job failed: no attempts are left"})
		s.endJob(t.state, job.Failed, now)
	}
}

// defaultMaxAttempts holds for jobs whose queue has left the configuration.
const defaultMaxAttempts = 4

func (s *Scheduler) maxAttempts(j *jobState) int {
	q := s.table.Named(j.job.Queue)
	if q == nil || q.Attempts < 1 {
		return defaultMaxAttempts
	}
	return q.Attempts
}

// StartAnswer is a server's answer to an order to start.
type StartAnswer int

// The answers to an order to start.
//
//go:generate enumer -type=StartAnswer -transform=title-lower -linecomment
const (
	// Started means that the run is there.
	Started StartAnswer = iota
	// NoAnswer means that the order may have been carried out, or may be later.
	NoAnswer
	// InsufficientCapacity means that the run does not fit.
	InsufficientCapacity // noRoom
	// Late means that the order had lapsed.
	Late
	// Superseded means that the server has ended this run or a later one.
	Superseded
	// NotPermitted means that the advice service's permission is missing or has lapsed.
	NotPermitted // unpermitted
	// Unhealthy means that the server takes nothing at present and has done nothing.
	Unhealthy
	// WrongServer means that another server has the address now.
	WrongServer
	// Malformed means that the server does not understand the order.
	Malformed
)

// StartAnswered takes a server's answer to an order to start; clock is the server's, 0 where it gave none.
func (s *Scheduler) StartAnswered(o Start, a StartAnswer, clock time.Duration, now time.Time) {
	v := s.servers[o.Server.ID]
	if v == nil || !v.info.Born.Equal(o.Server.Born) {
		return
	}
	v.observeClock(clock, now)
	t := s.findTask(o.Task)
	if t == nil || t.run == nil || t.run.number != o.Number || t.run.server != v {
		return
	}
	s.applyStartAnswer(t.run, a, clock, now)
}

func (s *Scheduler) applyStartAnswer(r *run, a StartAnswer, clock time.Duration, now time.Time) {
	if a != Started && r.phase != sent {
		// The server has listed the run since, or it was told to stop: the listings settle it.
		return
	}
	switch a {
	case Started:
		r.confirmedClock = clock
		if r.phase == sent || r.phase == unconfirmed {
			r.setWorking(now)
		}
		return
	case NoAnswer, Superseded, Malformed:
		if a != NoAnswer {
			r.confirmedClock = clock
		}
		r.phase = unconfirmed
		s.note(r.note("start: " + a.String()))
		return
	case InsufficientCapacity:
		r.server.fullUntil = now.Add(fullPause)
	case Unhealthy:
		r.server.pauseUntil(now.Add(unhealthyPause))
	case NotPermitted:
		delete(s.advice, r.task.key.StepName())
	case WrongServer:
		r.server.addressTaken = true
	}
	s.drop(r, now, "start: "+a.String())
}

const (
	// fullPause is for how long no run goes to a server that had less room than expected; runs last about a second.
	fullPause = 300 * time.Millisecond
	// unhealthyPause is for how long a server that calls itself unhealthy is left alone.
	unhealthyPause = time.Second
)

func (r *run) setWorking(now time.Time) {
	r.phase = working
	r.startedAt = now
	r.progressedAt = now
}
