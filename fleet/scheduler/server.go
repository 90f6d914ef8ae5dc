package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// serverState is one life of a backend server with what runs on it.
type serverState struct {
	info server.Server
	// registered says that the platform lists the server.
	registered bool
	// misplaced says that another server answers at the address.
	misplaced bool
	// clock was the server's at clockAt, lease is the latest time to which we held its runs.
	clock   time.Duration
	clockAt time.Time
	lease   time.Duration
	// listed is the clock of the newest listing, heard when it came.
	listed    time.Duration
	heard     time.Time
	reachable bool
	// fenced is when the first listing came, from which on the server refuses earlier owners.
	fenced    time.Time
	runs      map[job.Task]*run
	used      job.Size
	ends      endLog
	fullUntil time.Time
	pausedTo  time.Time
	health    health
	// drains is since when the server drains.
	drains time.Time
	// idle is since when nothing runs there.
	idle time.Time
	// gone says that the platform has ended this life by our order.
	gone bool
}

// endLog follows which ends are processed and which of them are stored.
type endLog struct {
	seen    uint64
	stored  uint64
	pending []pendingEnd
}

type pendingEnd struct {
	sequence uint64
	job      *jobState
	version  uint64
}

// add remembers an end that is to be acknowledged once the job's version is stored.
func (l *endLog) add(sequence uint64, j *jobState) {
	l.seen = sequence
	e := pendingEnd{sequence: sequence, job: j}
	if j != nil {
		e.version = j.version
	}
	l.pending = append(l.pending, e)
}

// settle moves the cursor over what is stored.
func (l *endLog) settle() {
	n := 0
	for _, e := range l.pending {
		if e.job != nil && e.job.committed < e.version {
			break
		}
		l.stored = e.sequence
		n++
	}
	l.pending = l.pending[n:]
}

// observe takes the server's clock as the server told it just now.
func (v *serverState) observe(clock time.Duration, now time.Time) {
	if clock >= v.clock {
		v.clock = clock
		v.clockAt = now
	}
}

// slowest is what the server's clock shows at least; it may run 2% slow.
func (v *serverState) slowest(now time.Time) time.Duration {
	return v.clock + now.Sub(v.clockAt)*(100-clockError)/100
}

// clockError is by how many percent a server's clock may be slow.
const clockError = 2

// guess is what the server's clock shows if it keeps time.
func (v *serverState) guess(now time.Time) time.Duration {
	return v.clock + now.Sub(v.clockAt)
}

func (v *serverState) take(r *run) {
	v.runs[r.task.key] = r
	v.used = v.used.Add(r.task.step.step.Demand())
}

func (v *serverState) free(r *run) {
	if v.runs[r.task.key] != r {
		return
	}
	delete(v.runs, r.task.key)
	v.used = v.used.Sub(r.task.step.step.Demand())
}

func (v *serverState) pauseUntil(t time.Time) {
	if t.After(v.pausedTo) {
		v.pausedTo = t
	}
}

// there says whether the platform lists the server and no order of ours has ended its life.
func (v *serverState) there() bool {
	return v.registered && !v.gone
}

// usable says whether new runs may go to the server.
func (v *serverState) usable(now time.Time) bool {
	return v.there() && !v.info.Draining && !v.misplaced && v.reachable &&
		now.Sub(v.heard) < silence && !now.Before(v.pausedTo) && !now.Before(v.fullUntil)
}

// silence is for how long a server may be without a listing before no new runs go to it; listings come each second.
const silence = 2500 * time.Millisecond

// Register takes a server as the platform lists it.
func (s *Scheduler) Register(i server.Server, now time.Time) {
	v := s.servers[i.ID]
	if v != nil && i.StartedAt.Before(v.info.StartedAt) {
		return
	}
	if v != nil && !i.StartedAt.Equal(v.info.StartedAt) {
		s.reborn(v, now)
		v = nil
	}
	if v != nil && v.gone {
		v.info, v.registered = i, true
		return
	}
	if v == nil {
		v = &serverState{runs: map[job.Task]*run{}, idle: now}
		s.servers[i.ID] = v
		s.ordered = nil
		s.note(Note{Server: i.ID, Pool: i.Pool, Reason: "server registered"})
	}
	if i.Draining && !v.info.Draining {
		v.drains = now
		s.note(Note{Server: i.ID, Pool: i.Pool, Reason: "server drains"})
	}
	if v.info.Address != i.Address {
		v.misplaced = false
	}
	v.info = i
	v.registered = true
	s.unplanned = true
}

// Unregister takes note that the platform no longer lists a server; its runs may go on until their lease lapses.
func (s *Scheduler) Unregister(id string, now time.Time) {
	v := s.servers[id]
	if v == nil || !v.registered {
		return
	}
	v.registered = false
	s.note(Note{Server: id, Pool: v.info.Pool, Reason: "server is no longer registered", Age: now.Sub(v.heard)})
}

// reborn drops the runs of a server's earlier life.
func (s *Scheduler) reborn(v *serverState, now time.Time) {
	s.abandon(v, now, "server started again")
}

func (s *Scheduler) abandon(v *serverState, now time.Time, reason string) {
	for _, r := range v.runs {
		s.drop(r, now, reason)
	}
}

// Unreachable takes note that a server did not answer.
func (s *Scheduler) Unreachable(id string, born, now time.Time, reason string) {
	v := s.servers[id]
	if v == nil || !v.info.StartedAt.Equal(born) {
		return
	}
	if v.reachable {
		s.note(Note{Server: id, Pool: v.info.Pool, Reason: "server does not answer: " + reason, Age: now.Sub(v.heard)})
	}
	v.reachable = false
}

// Hold says how to ask a server for its listing.
type Hold struct {
	Server server.Server
	// Until is to when its runs are held, on its clock; 0 where its clock is not known.
	Until time.Duration
	// Acknowledged is up to which end the store knows.
	Acknowledged uint64
	// Busy says that ends are to be expected soon.
	Busy bool
}

// Hold prepares the next call to a server; ok is false where there is no need of one. Runs on a server that
// does not answer are not held any longer, so that it is known when their lease has lapsed.
func (s *Scheduler) Hold(id string, now time.Time) (Hold, bool) {
	v := s.servers[id]
	if v == nil || v.gone {
		return Hold{}, false
	}
	v.ends.settle()
	h := Hold{Server: v.info, Acknowledged: v.ends.stored, Busy: v.finite()}
	if v.clock > 0 && v.reachable {
		h.Until = v.guess(now) + s.bounds.Hold*leasePart/100
		v.lease = max(v.lease, h.Until)
	}
	return h, v.registered || len(v.runs) > 0 || len(v.ends.pending) > 0
}

// finite says whether runs are there that end by themselves.
func (v *serverState) finite() bool {
	for _, r := range v.runs {
		if !r.task.step.step.LongRunning {
			return true
		}
	}
	return false
}

// leasePart is the percentage of the longest lease that is asked for, so that what is lost with a server is free early.
const leasePart = 83

// Behind says whether ends of the server wait to be stored.
func (s *Scheduler) Behind(id string) bool {
	v := s.servers[id]
	if v == nil {
		return false
	}
	v.ends.settle()
	return len(v.ends.pending) > 0
}

// Servers lists the servers that are known.
func (s *Scheduler) Servers() []server.Server {
	l := []server.Server{}
	for _, v := range s.servers {
		l = append(l, v.info)
	}
	return l
}
