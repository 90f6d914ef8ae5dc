package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Limits are the times that servers and callers hold the scheduler to.
type Limits struct {
	// MaxLease is how long a lease on a server's runs may last.
	MaxLease time.Duration
	// StopTimeout is how long a server takes at most to stop a run.
	StopTimeout time.Duration
	// EarlyStart is how long before its time a timed occurrence may start.
	EarlyStart time.Duration
	// JobRetention is how long the state of an ended job stays known.
	JobRetention time.Duration
	// GangTimeout is how long members of a gang wait for the others.
	GangTimeout time.Duration
}

// Scheduler holds the owner's state.
type Scheduler struct {
	limits      Limits
	table       *queue.Table
	jobs        map[string]*jobState
	active      map[string]*jobState
	servers     map[string]*serverState
	dirtyJobs   []*jobState
	removedJobs []string
	orders      Orders
	// settledAt is when no run of an earlier owner can still be held by it.
	settledAt   time.Time
	lastBatch   uint64
	needsPlan   bool
	advice      map[string]*permit
	learned     map[string]*learning
	cordonedVMs map[string]bool
	rates       map[string]*arrivals
	poolCores   map[string]figure
	// unplacedAt is when a lasting task last found no place in a pool.
	unplacedAt map[string]time.Time
	// serversByID are the servers by ID, nil when they have changed.
	serversByID []*serverState
	// incomingCores are the cores on their way to each pool, reserve those that are idle in all pools.
	incomingCores map[string]float64
	reserveCores  float64
}

// Option changes a Scheduler at its making.
type Option func(s *Scheduler)

// WithPreviousOwnerEnded tells that the earlier owner has ended, and cannot have held servers since the takeover.
func WithPreviousOwnerEnded() Option {
	return func(s *Scheduler) { s.settledAt = s.settledAt.Add(-previousOwnerRenewal) }
}

// New makes an empty scheduler for an owner that took over at a time.
func New(b Limits, now time.Time, l ...Option) *Scheduler {
	s := &Scheduler{
		limits: b,
		jobs:   map[string]*jobState{}, active: map[string]*jobState{}, servers: map[string]*serverState{},
		settledAt: now.Add(previousOwnerRenewal + b.MaxLease*leaseExpiryPercent/100),
		advice:    map[string]*permit{}, learned: map[string]*learning{}, cordonedVMs: map[string]bool{},
		rates: map[string]*arrivals{}, poolCores: map[string]figure{}, unplacedAt: map[string]time.Time{},
	}
	for _, o := range l {
		o(s)
	}
	return s
}

const (
	// previousOwnerRenewal is how long an owner without word from the store goes on holding servers; see package owner.
	previousOwnerRenewal = 5 * time.Second
	// leaseExpiryPercent is the percentage of a lease after which it has lapsed on a clock that is 2% slow.
	leaseExpiryPercent = 104
)

// SetTable puts a newer version of the configuration in force.
func (s *Scheduler) SetTable(t *queue.Table) {
	if s.table != nil && t.Version <= s.table.Version {
		return
	}
	s.table = t
	s.needsPlan = true
}

// Tick does what only the passing of time asks for.
func (s *Scheduler) Tick(now time.Time) {
	s.openDueOccurrences(now)
	s.expireLeases(now)
	s.checkRuns(now)
	s.purgeEndedJobs(now)
	s.pace(now)
	s.plan(now)
}

// openDueOccurrences opens the occurrences whose time has come.
func (s *Scheduler) openDueOccurrences(now time.Time) {
	for _, j := range s.active {
		if j.openedOccurrences < j.job.Occurrences() && j.job.Timed() {
			s.openOccurrences(j, now)
		}
	}
}

// purgeEndedJobs drops jobs that ended long ago.
func (s *Scheduler) purgeEndedJobs(now time.Time) {
	for id, j := range s.jobs {
		if j.phase.Ended() && j.committedVersion == j.version && !j.dirty && now.Sub(j.endedAt) > s.limits.JobRetention {
			delete(s.jobs, id)
			s.removedJobs = append(s.removedJobs, id)
		}
	}
}

// Result is what became of a call.
type Result int

// The results of calls.
//
//go:generate enumer -type=Result -transform=title-lower -linecomment
const (
	// Done means that the call took effect and is stored.
	Done Result = iota
	// Refused means that the job is not accepted and never runs.
	Refused
	// NotFound means that no such job exists.
	NotFound // absent
	// OutcomeUnknown means that the call may yet have taken effect.
	OutcomeUnknown // unsure
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
			reply(Reply{Result: Done, Phase: j.reportedPhase})
			return
		}
		j.await(reply)
		return
	}
	if err := job.Check(m); err != nil {
		reply(Reply{Result: Invalid, Reason: err.Error()})
		return
	}
	q := s.table.Named(m.Queue)
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
	j := s.addJob(n)
	s.openOccurrences(j, now)
	s.markDirty(j)
	j.await(reply)
	s.needsPlan = true
	s.note(Note{Job: n.ID, Pool: n.Pool, Reason: "admitted"})
}

// unknownQueueRetry is in which time a changed configuration reaches the owner as well.
const unknownQueueRetry = time.Second

// Cancel ends a job; the reply comes once that is stored.
func (s *Scheduler) Cancel(id string, now time.Time, reply func(Reply)) {
	j := s.jobs[id]
	if j == nil {
		reply(Reply{Result: NotFound})
		return
	}
	if !j.phase.Ended() {
		s.note(Note{Job: id, Pool: j.job.Pool, Reason: "cancelled by its caller"})
		s.endJob(j, job.Cancelled, now)
	}
	j.await(reply)
}

// JobPhase tells where a job stands.
func (s *Scheduler) JobPhase(id string) Reply {
	j := s.jobs[id]
	if j == nil {
		return Reply{Result: NotFound}
	}
	return Reply{Result: Done, Phase: j.reportedPhase}
}

// PendingJobs counts a queue's stored jobs of which no task has started.
func (s *Scheduler) PendingJobs(queue string) Reply {
	n := 0
	for _, j := range s.active {
		if j.job.Queue == queue && j.stored && !j.started {
			n++
		}
	}
	return Reply{Result: Done, Pending: n}
}

// endJob puts a job into a final phase and stops what runs of it.
func (s *Scheduler) endJob(j *jobState, p job.Phase, now time.Time) {
	j.phase = p
	j.endedAt = now
	delete(s.active, j.job.ID)
	for _, o := range j.occurrences {
		for _, t := range o.tasks() {
			if t.run != nil {
				s.stop(t.run, now)
			}
		}
	}
	s.markDirty(j)
	s.needsPlan = true
}
