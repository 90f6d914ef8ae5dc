package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Bounds are the times that servers and callers hold the scheduler to.
type Bounds struct {
	// Hold is how long a lease on a server's runs may last.
	Hold time.Duration
	// Stop is how long a server takes at most to stop a run.
	Stop time.Duration
	// Early is how long before its time a timed occurrence may start.
	Early time.Duration
	// Keep is how long the state of an ended job stays known.
	Keep time.Duration
	// Gang is how long members of a gang wait for the others.
	Gang time.Duration
}

// Scheduler holds the owner's state.
type Scheduler struct {
	bounds  Bounds
	table   *queue.Table
	jobs    map[string]*jobState
	active  map[string]*jobState
	servers map[string]*serverState
	dirty   []*jobState
	removed []string
	orders  Orders
	// settledAt is when no run of an earlier owner can still be held by it.
	settledAt time.Time
	batch     uint64
	unplanned bool
	advice    map[string]*permit
	learned   map[string]*learning
	cordoned  map[string]bool
	rates     map[string]*arrivals
	supplies  map[string]figure
	// crowded is when a lasting task last found no place in a pool.
	crowded map[string]time.Time
	// ordered are the servers by ID, nil when they have changed.
	ordered []*serverState
	// coming are the cores on their way to each pool, reserve those that are idle in all pools.
	coming  map[string]float64
	reserve float64
}

// Option changes a Scheduler at its making.
type Option func(s *Scheduler)

// WithEndedPredecessor tells that the earlier owner has ended, and cannot have held servers since the takeover.
func WithEndedPredecessor() Option {
	return func(s *Scheduler) { s.settledAt = s.settledAt.Add(-inheritedHold) }
}

// New makes an empty scheduler for an owner that took over at a time.
func New(b Bounds, now time.Time, l ...Option) *Scheduler {
	s := &Scheduler{
		bounds: b,
		jobs:   map[string]*jobState{}, active: map[string]*jobState{}, servers: map[string]*serverState{},
		settledAt: now.Add(inheritedHold + b.Hold*leaseMargin/100),
		advice:    map[string]*permit{}, learned: map[string]*learning{}, cordoned: map[string]bool{},
		rates: map[string]*arrivals{}, supplies: map[string]figure{}, crowded: map[string]time.Time{},
	}
	for _, o := range l {
		o(s)
	}
	return s
}

const (
	// inheritedHold is how long an owner without word from the store goes on holding servers; see package owner.
	inheritedHold = 5 * time.Second
	// leaseMargin is the percentage of a lease after which it has lapsed on a clock that is 2% slow.
	leaseMargin = 104
)

// SetTable puts a newer version of the configuration in force.
func (s *Scheduler) SetTable(t *queue.Table) {
	if s.table != nil && t.Version <= s.table.Version {
		return
	}
	s.table = t
	s.unplanned = true
}

// Tick does what only the passing of time asks for.
func (s *Scheduler) Tick(now time.Time) {
	s.openDue(now)
	s.lapse(now)
	s.watchRuns(now)
	s.forget(now)
	s.pace(now)
	s.plan(now)
}

// openDue opens the occurrences whose time has come.
func (s *Scheduler) openDue(now time.Time) {
	for _, j := range s.active {
		if j.opened < j.job.Occurrences() && j.job.Timed() {
			s.open(j, now)
		}
	}
}

// forget drops jobs that ended long ago.
func (s *Scheduler) forget(now time.Time) {
	for id, j := range s.jobs {
		if j.phase.Ended() && j.committed == j.version && !j.dirty && now.Sub(j.ended) > s.bounds.Keep {
			delete(s.jobs, id)
			s.removed = append(s.removed, id)
		}
	}
}

// Result is what became of a call.
type Result int

// The results of calls.
//
//go:generate enumer -type=Result -transform=title-lower
const (
	// Done means that the call took effect and is stored.
	Done Result = iota
	// Refused means that the job is not accepted and never runs.
	Refused
	// Absent means that no such job exists.
	Absent
	// Unsure means that the call may yet have taken effect.
	Unsure
	// Invalid means that the job is malformed.
	Invalid
)

// Reply answers a call.
type Reply struct {
	Result     Result
	Phase      job.Phase
	Pending    int
	RetryAfter time.Duration
	Reason     string
	// Jobs answers a list, or an explanation with the one job.
	Jobs []*schema.JobStatus
	// Pools answers a question about the pools.
	Pools []*schema.PoolStatus
}

// Submit takes a job; the reply comes once the job is stored, or at once where it is refused.
func (s *Scheduler) Submit(m *schema.JobRecord, now time.Time, reply func(Reply)) {
	if j := s.jobs[m.Id]; j != nil {
		if j.stored {
			reply(Reply{Result: Done, Phase: j.shown})
			return
		}
		j.await(reply)
		return
	}
	if err := job.Check(m); err != nil {
		reply(Reply{Result: Invalid, Reason: err.Error()})
		return
	}
	q := s.table.ByName(m.Queue)
	if q == nil {
		reply(Reply{Result: Refused, Reason: "the owner does not know the queue yet", RetryAfter: unknownQueueRetry})
		return
	}
	m.Pool = q.Pool
	// The owner's clock decides, since the entries' clocks may differ.
	m.AcceptedMs = now.UnixMilli()
	n := job.New(m)
	if r := s.admit(n, q, now); r != nil {
		s.note(Note{Job: n.ID, Pool: n.Pool, Reason: "refused: " + r.Reason})
		reply(*r)
		return
	}
	j := s.add(n)
	s.open(j, now)
	s.mark(j)
	j.await(reply)
	s.unplanned = true
	s.note(Note{Job: n.ID, Pool: n.Pool, Reason: "admitted"})
}

// unknownQueueRetry is in which time a changed configuration reaches the owner as well.
const unknownQueueRetry = time.Second

// Cancel ends a job; the reply comes once that is stored.
func (s *Scheduler) Cancel(id string, now time.Time, reply func(Reply)) {
	j := s.jobs[id]
	if j == nil {
		reply(Reply{Result: Absent})
		return
	}
	if !j.phase.Ended() {
		s.note(Note{Job: id, Pool: j.job.Pool, Reason: "cancelled by its caller"})
		s.end(j, job.Cancelled, now)
	}
	j.await(reply)
}

// State tells where a job stands.
func (s *Scheduler) State(id string) Reply {
	j := s.jobs[id]
	if j == nil {
		return Reply{Result: Absent}
	}
	return Reply{Result: Done, Phase: j.shown}
}

// Pending counts a queue's stored jobs of which no task has started.
func (s *Scheduler) Pending(queue string) Reply {
	n := 0
	for _, j := range s.active {
		if j.job.Queue == queue && j.stored && !j.begun {
			n++
		}
	}
	return Reply{Result: Done, Pending: n}
}

// end puts a job into a final phase and stops what runs of it.
func (s *Scheduler) end(j *jobState, p job.Phase, now time.Time) {
	j.phase = p
	j.ended = now
	delete(s.active, j.job.ID)
	for _, o := range j.occurrences {
		for _, t := range o.tasks() {
			if t.run != nil {
				s.stop(t.run, now)
			}
		}
	}
	s.mark(j)
	s.unplanned = true
}
