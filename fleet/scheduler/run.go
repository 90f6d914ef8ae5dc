package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// runPhase is where a run stands.
type runPhase int

//go:generate enumer -type=runPhase -transform=title-lower
const (
	// assigned runs wait until their assignment is stored.
	assigned runPhase = iota
	// sent runs have had their order sent, without an answer so far.
	sent
	// unsure runs may or may not be there; the server's listing tells.
	unsure
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
	// until is when the start order lapses, confirmed when the server answered, both on the server's clock.
	until     time.Duration
	confirmed time.Duration
	// inherited runs were ordered by an earlier owner, whose orders the server now refuses.
	inherited  bool
	stopSent   time.Time
	percent    int
	progressed time.Time
	began      time.Time
	beganAt    int
	tail       int64
	// pace is the share of its speed that the run was told to keep, in percent.
	pace    int
	pacedAt time.Time
}

// assign takes a task to a server; the order is sent once the assignment is stored.
func (s *Scheduler) assign(t *task, v *serverState, number int) *run {
	t.lastRun = number
	r := &run{task: t, number: number, server: v, pace: fullPace}
	t.run = r
	v.take(r)
	s.mark(t.state)
	r.version = t.state.version
	return r
}

// fullPace is the pace of a run that nobody slows down, in percent.
const fullPace = 100

// release frees what a run holds; the task may run again.
func (s *Scheduler) release(r *run, now time.Time) {
	r.server.free(r)
	if len(r.server.runs) == 0 {
		r.server.idle = now
	}
	if r.task.run == r {
		r.task.run = nil
	}
	s.unplanned = true
}

// drop releases a run that never started or vanished.
func (s *Scheduler) drop(r *run, now time.Time, reason string) {
	s.note(r.note(reason))
	s.release(r, now)
	s.change(r.task.state)
}

// change has a job's course stored unless it has ended, when runs no longer matter.
func (s *Scheduler) change(j *jobState) {
	if !j.phase.Ended() {
		s.mark(j)
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
	r.stopSent = now
	s.orders.Stops = append(s.orders.Stops, Stop{Server: r.server.info, Task: r.task.key, Number: r.number})
}

// ended takes note of how a run ended.
func (s *Scheduler) ended(r *run, how job.End, checkpoint string, now time.Time) {
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
	s.change(t.state)
	if t.done || t.state.phase.Ended() {
		return
	}
	switch {
	case t.step.step.Lasting:
		s.judge(r, how, now)
	case how == job.EndDone:
		s.learn(r, now)
		s.judge(r, how, now)
		s.finishGroup(t, now)
	case how == job.EndFailed:
		s.judge(r, how, now)
		s.failed(r, now)
	}
}

// finishGroup finishes a task, or the whole gang that it is a member of.
func (s *Scheduler) finishGroup(t *task, now time.Time) {
	if !t.step.step.Gang {
		s.finish(t, now)
		return
	}
	for _, m := range t.step.tasks {
		s.finish(m, now)
	}
}

// failed counts a failed run and fails the job once its attempts are used up.
func (s *Scheduler) failed(r *run, now time.Time) {
	t := r.task
	t.avoided = r.server.info.ID
	if t.step.step.Gang {
		if t.step.failedRun == r.number {
			return
		}
		t.step.failedRun = r.number
	}
	t.failures++
	if t.failures >= s.attempts(t.state) {
		s.note(Note{Job: t.job.ID, Task: t.key.String(), Pool: t.job.Pool, Reason: "job failed: no attempts are left"})
		s.end(t.state, job.Failed, now)
	}
}

// defaultAttempts holds for jobs whose queue has left the configuration.
const defaultAttempts = 4

func (s *Scheduler) attempts(j *jobState) int {
	q := s.table.ByName(j.job.Queue)
	if q == nil || q.Attempts < 1 {
		return defaultAttempts
	}
	return q.Attempts
}

// StartAnswer is a server's answer to an order to start.
type StartAnswer int

// The answers to an order to start.
//
//go:generate enumer -type=StartAnswer -transform=title-lower
const (
	// Started means that the run is there.
	Started StartAnswer = iota
	// NoAnswer means that the order may have been carried out, or may be later.
	NoAnswer
	// NoRoom means that the run does not fit.
	NoRoom
	// Late means that the order had lapsed.
	Late
	// Superseded means that the server has ended this run or a later one.
	Superseded
	// Unpermitted means that the advice service's permission is missing or has lapsed.
	Unpermitted
	// Unhealthy means that the server takes nothing at present and has done nothing.
	Unhealthy
	// WrongServer means that another server has the address now.
	WrongServer
	// Malformed means that the server does not understand the order.
	Malformed
)

// Answered takes a server's answer to an order to start; clock is the server's, 0 where it gave none.
func (s *Scheduler) Answered(o Start, a StartAnswer, clock time.Duration, now time.Time) {
	v := s.servers[o.Server.ID]
	if v == nil || !v.info.Born.Equal(o.Server.Born) {
		return
	}
	v.observe(clock, now)
	t := s.find(o.Task)
	if t == nil || t.run == nil || t.run.number != o.Number || t.run.server != v {
		return
	}
	s.settle(t.run, a, clock, now)
}

func (s *Scheduler) settle(r *run, a StartAnswer, clock time.Duration, now time.Time) {
	if a != Started && r.phase != sent {
		// The server has listed the run since, or it was told to stop: the listings settle it.
		return
	}
	switch a {
	case Started:
		r.confirmed = clock
		if r.phase == sent || r.phase == unsure {
			r.work(now)
		}
		return
	case NoAnswer, Superseded, Malformed:
		if a != NoAnswer {
			r.confirmed = clock
		}
		r.phase = unsure
		s.note(r.note("start: " + a.String()))
		return
	case NoRoom:
		r.server.fullUntil = now.Add(fullPause)
	case Unhealthy:
		r.server.pauseUntil(now.Add(unhealthyPause))
	case Unpermitted:
		delete(s.advice, r.task.key.StepName())
	case WrongServer:
		r.server.misplaced = true
	}
	s.drop(r, now, "start: "+a.String())
}

const (
	// fullPause is for how long no run goes to a server that had less room than expected; runs last about a second.
	fullPause = 300 * time.Millisecond
	// unhealthyPause is for how long a server that calls itself unhealthy is left alone.
	unhealthyPause = time.Second
)

func (r *run) work(now time.Time) {
	r.phase = working
	r.began = now
	r.progressed = now
}
