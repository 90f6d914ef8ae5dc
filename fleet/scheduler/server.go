package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/reservation"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/usage"
)

// serverState is one incarnation of a backend server, from its start to its end, with its runs.
type serverState struct {
	info server.Server
	// largestCapacity holds the most of each resource that this incarnation has reported.
	largestCapacity job.Size
	// registered is true while the store holds the server's registration.
	registered bool
	// unregisteredStart is true if a listing revealed this incarnation and the registration is that of the previous one, which
	// may have had another capacity and other labels.
	unregisteredStart bool
	// restarted is true if an earlier incarnation had runs of this owner or a previous one. Orders to that name the same ID.
	restarted bool
	// formerStarts are the start times of earlier incarnations, the latest of them last.
	formerStarts []time.Time
	// supersededAt is when a later incarnation, which is not known yet, has answered an order, zero if none has.
	supersededAt time.Time
	// addressTaken is true if another server answers at the server's address.
	addressTaken bool
	// lastClock is the server's clock as reported at lastClockAt. leaseUntil is the latest time, on that clock, to which
	// this owner or a previous one may have kept the runs alive.
	lastClock   time.Duration
	lastClockAt time.Time
	leaseUntil  time.Duration
	// listingClock is the server's clock in the newest listing, listedAt when that listing arrived, listings the number of listings so far.
	listingClock time.Duration
	listedAt     time.Time
	listings     uint64
	reachable    bool
	// unreachableSince is when the server became unreachable or, if it never answered, became known.
	unreachableSince time.Time
	// leaseRecorded is true while the stored lease record may list the server. unrecordedBy is the number of the last batch
	// whose lease record left it out.
	leaseRecorded bool
	unrecordedBy  uint64
	// previousExpiry is when a lease that this owner did not renew has expired: by the previous owner's record, or by the latest
	// order to an earlier incarnation. It is zero if neither is known.
	previousExpiry time.Time
	// fencedAt is when the first listing arrived. The server has seen this owner's fencing token since then and refuses
	// previous owners.
	fencedAt time.Time
	runs     map[job.Task]*run
	used     job.Size
	// longRunning is what the runs of long-running tasks hold, a part of used.
	longRunning job.Size
	unassigned  unassignedRuns
	endLog      endLog
	// held is the reservation of the server in the present pass, nil if there is none.
	held        *reservation.Reservation
	fullUntil   time.Time
	pausedUntil time.Time
	health      health
	// drainingSince is when the server began to drain.
	drainingSince time.Time
	// idleSince is when the server registered or its last run was released, whichever is later.
	idleSince time.Time
	// terminated is true once the platform has ended this incarnation by this owner's order, or lists it no longer.
	terminated bool
	// endedByList is true if terminated was set because of the platform's list of VMs. shownOnVM is true once the list has
	// shown the server, knownSince is when this owner learned of it.
	endedByList bool
	shownOnVM   bool
	knownSince  time.Time
	// runsOf counts the runs by step.
	runsOf map[stepKey]int
	// bestEffortRuns counts the runs of best-effort tasks, servingRuns those of tasks with a target latency, endedRuns those that the lease record lists since their job has ended.
	bestEffortRuns, servingRuns, endedRuns int
	// isolatedRuns counts the isolated runs, trials those of the pool's usable servers.
	isolatedRuns int
	trials       *trials
	// usage counts the runs against the caps of their workspaces, strays those that are not in runs.
	usage  *usage.Ledger
	strays *usage.Strays
	// lost holds the runs that were given up while it was not known whether the server had crashed.
	lost []*run
}

// unassignedRuns are the runs in a server's newest listing that are not assigned to it. They are stopped, and hold capacity
// until a listing no longer has them.
type unassignedRuns struct {
	tasks  []job.Task
	demand job.Size
	// unsized is true if the demand of a run is unknown, such as that of a job that ended under a previous owner.
	unsized bool
}

// endLog tracks which run ends of a server have been processed and which of them are stored, by sequence number.
type endLog struct {
	processed uint64
	stored    uint64
	pending   []pendingEnd
}

// pendingEnd is a processed end that is stored once its job's version is committed.
type pendingEnd struct {
	sequence uint64
	job      *jobState
	version  uint64
}

// add records an end, to be acknowledged once the job's current version is stored; j is nil if the job is unknown.
func (l *endLog) add(sequence uint64, j *jobState) {
	l.processed = sequence
	e := pendingEnd{sequence: sequence, job: j}
	if j != nil {
		e.version = j.version
	}
	l.pending = append(l.pending, e)
}

// advance moves the stored cursor past the ends that are stored, in sequence order.
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

// observeClock records a reading of the server's clock and ignores one that is older than the last.
func (v *serverState) observeClock(clock time.Duration, now time.Time) {
	if clock >= v.lastClock {
		v.lastClock = clock
		v.lastClockAt = now
	}
}

// minClock returns the lowest value that the server's clock can show now.
func (v *serverState) minClock(now time.Time) time.Duration {
	return v.lastClock + now.Sub(v.lastClockAt)*(100-maxClockDriftPercent)/100
}

// maxClockDriftPercent is how much slower than real time a server's clock may run, in percent.
const maxClockDriftPercent = 2

// expectedClock returns what the server's clock shows now if it runs at the right speed.
func (v *serverState) expectedClock(now time.Time) time.Duration {
	return v.lastClock + now.Sub(v.lastClockAt)
}

func (v *serverState) addRun(r *run) {
	v.runs[r.task.key] = r
	v.runsOf[stepKeyOf(r.task.key)]++
	v.countKind(r.task.step.step, 1)
	if r.task.step.step.LongRunning {
		v.longRunning = v.longRunning.Add(r.task.step.step.Demand())
	}
	r.countEnded()
	v.used = v.used.Add(r.task.step.step.Demand())
	v.usage.Add(r.task.job.Workspace, r.task.step.step.Size)
}

// countKind counts n more runs of a step by its kind.
func (v *serverState) countKind(p *job.Step, n int) {
	if p.BestEffort {
		v.bestEffortRuns += n
	}
	if isServing(p) {
		v.servingRuns += n
	}
}

// stepKey identifies a step of an occurrence.
type stepKey struct {
	job              string
	occurrence, step int
}

func stepKeyOf(k job.Task) stepKey {
	return stepKey{k.Job, k.Occurrence, k.Step}
}

func (v *serverState) removeRun(r *run) {
	if v.runs[r.task.key] != r {
		return
	}
	v.discount(r)
	if r.task.step.step.LongRunning {
		v.longRunning = v.longRunning.Sub(r.task.step.step.Demand())
	}
	if r.countedEnded {
		r.countedEnded = false
		v.endedRuns--
	}
	v.usage.Remove(r.task.job.Workspace, r.task.step.step.Size)
}

// discount counts a run of the server and the capacity that it holds no longer.
func (v *serverState) discount(r *run) {
	delete(v.runs, r.task.key)
	if k := stepKeyOf(r.task.key); v.runsOf[k] > 1 {
		v.runsOf[k]--
	} else {
		delete(v.runsOf, k)
	}
	v.countKind(r.task.step.step, -1)
	v.used = v.used.Sub(r.task.step.step.Demand())
}

// free returns the capacity that no run holds. It is negative where the server has shrunk below what its runs hold.
func (v *serverState) free() job.Size {
	return v.info.Capacity.Sub(v.used).Sub(v.unassigned.demand)
}

func (v *serverState) pauseUntil(t time.Time) {
	if t.After(v.pausedUntil) {
		v.pausedUntil = t
	}
}

// exists reports whether the server is registered and no termination order has ended this incarnation.
func (v *serverState) exists() bool {
	return v.registered && !v.terminated
}

// usable reports whether new runs may be placed on the server.
func (v *serverState) usable(now time.Time) bool {
	return v.exists() && !v.unregisteredStart && !v.isSuperseded() && !v.info.Draining && !v.addressTaken && v.reachable && !v.leaseRecorded &&
		!v.unassigned.unsized && now.Sub(v.listedAt) < listingTimeout && !now.Before(v.pausedUntil) && !now.Before(v.fullUntil)
}

// listingTimeout is the age of the last listing from which a server gets no new runs; listings come every second.
const listingTimeout = 2500 * time.Millisecond

// Register adds a server or updates its registration. Another start time under the same ID is a new incarnation, whose first
// listing decides about the runs of the previous one; that of an incarnation that is known to have ended is ignored.
func (s *Scheduler) Register(i server.Server, now time.Time) {
	v := s.servers[i.ID]
	if v != nil && v.isFormerStart(i.StartedAt) {
		return
	}
	previous := v
	if v != nil && !i.StartedAt.Equal(v.info.StartedAt) {
		s.restarts[i.ID]++
		v = nil
	}
	i.Restarts = s.restarts[i.ID]
	if v != nil && v.terminated {
		v.registered = true
		s.setInfo(v, i)
		return
	}
	if v == nil {
		v = s.addServer(i, now)
		v.follow(previous)
		v.idleSince = now
		s.addDecision(Decision{Server: i.ID, Pool: i.Pool, Reason: "server registered"})
	}
	if i.Draining && !v.info.Draining {
		v.drainingSince = now
		s.addDecision(Decision{Server: i.ID, Pool: i.Pool, Reason: "server is draining"})
	}
	if v.info.Address != i.Address {
		v.addressTaken = false
	}
	s.setInfo(v, i)
	v.largestCapacity = v.largestCapacity.Max(i.Capacity)
	v.registered = true
	v.unregisteredStart = false
	s.needsPlan = true
	if previous != nil && previous != v {
		s.serverRestarted(previous, v, now)
	}
}

// addServer adds an incarnation of a server, in place of an earlier one.
func (s *Scheduler) addServer(i server.Server, now time.Time) *serverState {
	v := &serverState{
		info: i, runs: map[job.Task]*run{}, runsOf: map[stepKey]int{}, unreachableSince: now, knownSince: now, usage: s.usage, strays: usage.NewStrays(s.usage),
	}
	s.servers[i.ID] = v
	s.serversChanged()
	return v
}

// Recall adds what is known of a server from earlier to one with restored runs that is not registered, so that it can be
// polled. It reports whether the server is such a one, of the same incarnation. No new runs are placed on it before it is
// registered.
func (s *Scheduler) Recall(i server.Server) bool {
	v := s.servers[i.ID]
	if v == nil || v.registered || len(v.runs) == 0 || !v.info.StartedAt.Equal(i.StartedAt) {
		return false
	}
	// Whether it drains is known once it is registered.
	i.Draining = false
	i.Restarts = s.restarts[i.ID]
	s.setInfo(v, i)
	return true
}

// setInfo sets what is known of an incarnation of a server.
func (s *Scheduler) setInfo(v *serverState, i server.Server) {
	if v.info.Pool != i.Pool || v.info.VM != i.VM {
		s.serversChanged()
	}
	v.info = i
}

// Unregister records that a server's registration was removed. Its runs may continue until their lease expires.
func (s *Scheduler) Unregister(id string, now time.Time) {
	v := s.servers[id]
	if v == nil || !v.registered {
		return
	}
	v.registered = false
	s.addDecision(Decision{Server: id, Pool: v.info.Pool, Reason: "server unregistered", Age: now.Sub(v.listedAt)})
}

// dropRuns drops the runs of a server that had ended by the time endedAt, so that their tasks are placed again, except those that
// its next incarnation may have.
func (s *Scheduler) dropRuns(v *serverState, endedAt, now time.Time, reason string) {
	for _, r := range v.runs {
		if !r.mayBeginAfter(endedAt) {
			s.drop(r, now, reason)
		}
	}
	s.clearStrays(v)
}

// ServerUnreachable records that a server did not answer; startedAt identifies the incarnation that was called.
func (s *Scheduler) ServerUnreachable(id string, startedAt, now time.Time, reason string) {
	v := s.servers[id]
	if v == nil || !v.info.StartedAt.Equal(startedAt) {
		return
	}
	if v.reachable {
		s.addDecision(Decision{Server: id, Pool: v.info.Pool, Reason: "server is unreachable: " + reason, Age: now.Sub(v.listedAt)})
		v.unreachableSince = now
	}
	v.reachable = false
}

// PollRequest asks a server for its listing and renews the lease of its runs.
type PollRequest struct {
	Server server.Server
	// LeaseUntil is when the lease expires on the server's clock, or 0 to renew no lease.
	LeaseUntil time.Duration
	// AcknowledgedEnd is the sequence number up to which the server's run ends are stored.
	AcknowledgedEnd uint64
	// HasRuns is true while the server has runs, so that the poll should wait for less time.
	HasRuns bool
}

// PreparePoll returns the next poll of a server; the result is false if the server needs no further polls. The lease of
// an unreachable server, or of one in the stored lease record, is not renewed, so that the time of its expiry is known.
func (s *Scheduler) PreparePoll(id string, now time.Time) (PollRequest, bool) {
	v := s.servers[id]
	if v == nil || v.terminated {
		return PollRequest{}, false
	}
	v.endLog.advance()
	h := PollRequest{Server: v.info, HasRuns: len(v.runs) > 0}
	if v.reachable && !v.isSuperseded() && !v.awaitsStartAnswer() {
		// Otherwise the server may have been restarted, and an end of the next incarnation may have the same number.
		h.AcknowledgedEnd = v.endLog.stored
	}
	if v.lastClock > 0 && v.reachable && !v.isSuperseded() && !v.leaseRecorded {
		h.LeaseUntil = v.expectedClock(now) + s.limits.leaseDuration()
		v.leaseUntil = max(v.leaseUntil, h.LeaseUntil)
	}
	return h, v.registered || len(v.runs) > 0 || len(v.endLog.pending) > 0
}

// awaitsStartAnswer reports whether a start order was not answered, which a later incarnation may have carried out.
func (v *serverState) awaitsStartAnswer() bool {
	for _, r := range v.runs {
		if r.phase == sent || r.phase == unconfirmed {
			return true
		}
	}
	return false
}

// HasUnstoredEnds reports whether the server has reported run ends that are not stored yet.
func (s *Scheduler) HasUnstoredEnds(id string) bool {
	v := s.servers[id]
	if v == nil {
		return false
	}
	v.endLog.advance()
	return len(v.endLog.pending) > 0
}

// Servers returns all known servers in no particular order.
func (s *Scheduler) Servers() []server.Server {
	l := []server.Server{}
	for _, v := range s.servers {
		l = append(l, v.info)
	}
	return l
}

// ServersWithRuns returns the number of servers that have runs.
func (s *Scheduler) ServersWithRuns() int {
	n := 0
	for _, v := range s.servers {
		if len(v.runs) > 0 {
			n++
		}
	}
	return n
}
