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
	// addressTaken says that another server answers at the address.
	addressTaken bool
	// lastClock was the server's at clockAt, lease is the latest time to which we held its runs.
	lastClock   time.Duration
	lastClockAt time.Time
	leaseUntil  time.Duration
	// listingClock is the clock of the newest listing, heard when it came.
	listingClock time.Duration
	listedAt     time.Time
	reachable    bool
	// fencedAt is when the first listing came, from which on the server refuses earlier owners.
	fencedAt    time.Time
	runs        map[job.Task]*run
	used        job.Size
	endLog      endLog
	fullUntil   time.Time
	pausedUntil time.Time
	health      health
	// drainingSince is since when the server drains.
	drainingSince time.Time
	// idleSince is since when nothing runs there.
	idleSince time.Time
	// terminated says that the platform has ended this life by our order.
	terminated bool
}

// endLog follows which ends are processed and which of them are stored.
type endLog struct {
	processed uint64
	stored    uint64
	pending   []pendingEnd
}

type pendingEnd struct {
	sequence uint64
	job      *jobState
	version  uint64
}

// add remembers an end that is to be acknowledged once the job's version is stored.
func (l *endLog) add(sequence uint64, j *jobState) {
	l.processed = sequence
	e := pendingEnd{sequence: sequence, job: j}
	if j != nil {
		e.version = j.version
	}
	l.pending = append(l.pending, e)
}

// advance moves the cursor over what is stored.
func (l *endLog) advance() {
	n := 0
	for _, e := range l.pending {
		if e.job != nil && e.job.committedVersion < e.version {
			break
		}
		l.stored = e.sequence
		n++
	}
	l.pending = l.pending[n:]
}

// observeClock takes the server's clock as the server told it just now.
func (v *serverState) observeClock(clock time.Duration, now time.Time) {
	if clock >= v.lastClock {
		v.lastClock = clock
		v.lastClockAt = now
	}
}

// minClock is what the server's clock shows at least; it may run 2% slow.
func (v *serverState) minClock(now time.Time) time.Duration {
	return v.lastClock + now.Sub(v.lastClockAt)*(100-maxClockDriftPercent)/100
}

// maxClockDriftPercent is by how many percent a server's clock may be slow.
const maxClockDriftPercent = 2

// expectedClock is what the server's clock shows if it keeps time.
func (v *serverState) expectedClock(now time.Time) time.Duration {
	return v.lastClock + now.Sub(v.lastClockAt)
}

func (v *serverState) addRun(r *run) {
	v.runs[r.task.key] = r
	v.used = v.used.Add(r.task.step.step.Demand())
}

func (v *serverState) removeRun(r *run) {
	if v.runs[r.task.key] != r {
		return
	}
	delete(v.runs, r.task.key)
	v.used = v.used.Sub(r.task.step.step.Demand())
}

func (v *serverState) pauseUntil(t time.Time) {
	if t.After(v.pausedUntil) {
		v.pausedUntil = t
	}
}

// exists says whether the platform lists the server and no order of ours has ended its life.
func (v *serverState) exists() bool {
	return v.registered && !v.terminated
}

// usable says whether new runs may go to the server.
func (v *serverState) usable(now time.Time) bool {
	return v.exists() && !v.info.Draining && !v.addressTaken && v.reachable &&
		now.Sub(v.listedAt) < listingTimeout && !now.Before(v.pausedUntil) && !now.Before(v.fullUntil)
}

// listingTimeout is for how long a server may be without a listing before no new runs go to it; listings come each second.
const listingTimeout = 2500 * time.Millisecond

// Register takes a server as the platform lists it.
func (s *Scheduler) Register(i server.Server, now time.Time) {
	v := s.servers[i.ID]
	if v != nil && i.Born.Before(v.info.Born) {
		return
	}
	if v != nil && !i.Born.Equal(v.info.Born) {
		s.dropPreviousRuns(v, now)
		v = nil
	}
	if v != nil && v.terminated {
		v.info, v.registered = i, true
		return
	}
	if v == nil {
		v = &serverState{runs: map[job.Task]*run{}, idleSince: now}
		s.servers[i.ID] = v
		s.serversByID = nil
		s.note(Note{Server: i.ID, Pool: i.Pool, Reason: "server registered"})
	}
	if i.Draining && !v.info.Draining {
		v.drainingSince = now
		s.note(Note{Server: i.ID, Pool: i.Pool, Reason: "server drains"})
	}
	if v.info.Address != i.Address {
		v.addressTaken = false
	}
	v.info = i
	v.registered = true
	s.needsPlan = true
}

// Unregister takes note that the platform no longer lists a server; its runs may go on until their lease lapses.
func (s *Scheduler) Unregister(id string, now time.Time) {
	v := s.servers[id]
	if v == nil || !v.registered {
		return
	}
	v.registered = false
	s.note(Note{Server: id, Pool: v.info.Pool, Reason: "server is no longer registered", Age: now.Sub(v.listedAt)})
}

// dropPreviousRuns drops the runs of a server's earlier life.
func (s *Scheduler) dropPreviousRuns(v *serverState, now time.Time) {
	s.dropRuns(v, now, "server started again")
}

func (s *Scheduler) dropRuns(v *serverState, now time.Time, reason string) {
	for _, r := range v.runs {
		s.drop(r, now, reason)
	}
}

// ServerUnreachable takes note that a server did not answer.
func (s *Scheduler) ServerUnreachable(id string, born, now time.Time, reason string) {
	v := s.servers[id]
	if v == nil || !v.info.Born.Equal(born) {
		return
	}
	if v.reachable {
		s.note(Note{Server: id, Pool: v.info.Pool, Reason: "server does not answer: " + reason, Age: now.Sub(v.listedAt)})
	}
	v.reachable = false
}

// LeaseRequest says how to ask a server for its listing.
type LeaseRequest struct {
	Server server.Server
	// LeaseUntil is to when its runs are held, on its clock; 0 where its clock is not known.
	LeaseUntil time.Duration
	// AcknowledgedEnd is up to which end the store knows.
	AcknowledgedEnd uint64
	// ExpectsEnds says that ends are to be expected soon.
	ExpectsEnds bool
}

// RenewLease prepares the next call to a server; ok is false where there is no need of one. Runs on a server that
// does not answer are not held any longer, so that it is known when their lease has lapsed.
func (s *Scheduler) RenewLease(id string, now time.Time) (LeaseRequest, bool) {
	v := s.servers[id]
	if v == nil || v.terminated {
		return LeaseRequest{}, false
	}
	v.endLog.advance()
	h := LeaseRequest{Server: v.info, AcknowledgedEnd: v.endLog.stored, ExpectsEnds: v.hasFiniteRun()}
	if v.lastClock > 0 && v.reachable {
		h.LeaseUntil = v.expectedClock(now) + s.limits.MaxLease*leaseRenewalPercent/100
		v.leaseUntil = max(v.leaseUntil, h.LeaseUntil)
	}
	return h, v.registered || len(v.runs) > 0 || len(v.endLog.pending) > 0
}

// hasFiniteRun says whether runs are there that end by themselves.
func (v *serverState) hasFiniteRun() bool {
	for _, r := range v.runs {
		if !r.task.step.step.Lasting {
			return true
		}
	}
	return false
}

// leaseRenewalPercent is the percentage of the longest lease that is asked for, so that what is lost with a server is free early.
const leaseRenewalPercent = 83

// HasUnstoredEnds says whether ends of the server wait to be stored.
func (s *Scheduler) HasUnstoredEnds(id string) bool {
	v := s.servers[id]
	if v == nil {
		return false
	}
	v.endLog.advance()
	return len(v.endLog.pending) > 0
}

// Servers lists the servers that are known.
func (s *Scheduler) Servers() []server.Server {
	l := []server.Server{}
	for _, v := range s.servers {
		l = append(l, v.info)
	}
	return l
}
