package scheduler

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/loss"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Limits are the durations that the scheduler must respect towards servers and callers.
type Limits struct {
	// MaxLease is the longest lease that a server accepts for its runs.
	MaxLease time.Duration
	// StopTimeout is the longest time that a server takes to stop a run.
	StopTimeout time.Duration
	// EarlyStart is how long before its due time a scheduled occurrence may start.
	EarlyStart time.Duration
	// JobRetention is how long an ended job is kept before it is purged.
	JobRetention time.Duration
	// GangTimeout is how long a started gang member waits for the other members.
	GangTimeout time.Duration
	// ConfigApply is the age of the proof of the configuration from which no task of a workspace is started, 0 for no bound.
	ConfigApply time.Duration
	// JobMemoryBytes is the estimated memory from which large jobs are refused, and later small ones, 0 for no bound.
	JobMemoryBytes int64
	// MaxValueBytes is the size of the largest value that the store takes, 0 for no bound.
	MaxValueBytes int
	// LookAhead learns how long tasks take and reserves servers for large tasks that find no room.
	LookAhead bool
}

// Scheduler holds the jobs, servers and runs that the owner of the fleet knows. It is not safe for concurrent use.
//
// The embedded parts group what belongs to one subject. Each is declared beside the code that keeps it.
type Scheduler struct {
	limits  Limits
	table   *queue.Table
	jobs    map[string]*jobState
	active  map[string]*jobState
	servers map[string]*serverState
	// scheduled holds the active jobs that run at set times, finite the other finite ones by queue, ended those that have ended.
	scheduled map[string]*jobState
	finite    map[string]map[string]*jobState
	ended     endedJobs
	// retainedBytes is the estimated memory of all jobs.
	retainedBytes int64
	// pendingJobs counts, by queue, the stored jobs of which no task has started.
	pendingJobs map[string]int
	// restarts counts the restarts of servers by ID, also of those that are no longer known.
	restarts map[string]int
	// startedAt is when the owner took over.
	startedAt  time.Time
	advice     adviceLoad
	operations Operations
	startRate  startRate
	starts     startWindow
	// changedSpeeds is scratch space of observeSpeeds.
	changedSpeeds []*speeds

	output
	previousOwner
	pass
	lookAhead
	estimates
	supplies
	accounts
}

// New returns an empty scheduler for an owner that took over at the time now.
func New(x Limits, now time.Time) *Scheduler {
	s := &Scheduler{
		limits: x, startedAt: now, jobs: map[string]*jobState{}, active: map[string]*jobState{}, scheduled: map[string]*jobState{}, finite: map[string]map[string]*jobState{}, pendingJobs: map[string]int{}, servers: map[string]*serverState{}, restarts: map[string]int{},
		lookAhead: newLookAhead(), estimates: newEstimates(), pass: pass{cordonedVMs: map[string]bool{}}, supplies: newSupplies(), accounts: newAccounts(), starts: startWindow{size: initialStartWindow},
	}
	s.SetPredecessor(Predecessor{Lease: x.leaseDuration(), Renewal: MaxUnconfirmedRenewal})
	return s
}

// SetTable applies the queue table of a newer configuration and ignores one that is not newer.
func (s *Scheduler) SetTable(t *queue.Table) {
	if s.table != nil && t.Version <= s.table.Version {
		return
	}
	s.table = t
	s.usage.SetWorkspaces(t.Workspaces)
	s.needsPlan = true
}

// Tick does all work that is triggered by time rather than by an event.
func (s *Scheduler) Tick(now time.Time) {
	s.openDueOccurrences(now)
	s.dropReplaced(now)
	s.expireLeases(now)
	s.updateLeaseRecord(now)
	s.checkRuns(now)
	s.purgeEndedJobs(now)
	s.pace(now)
	s.needsPlan = s.needsPlan || s.awaitingTrial || len(s.books) > 0 || !s.resumesAt.IsZero() && !now.Before(s.resumesAt)
	s.plan(now)
}

// openDueOccurrences opens the occurrences of scheduled jobs that are due.
func (s *Scheduler) openDueOccurrences(now time.Time) {
	s.operations.Jobs += int64(len(s.scheduled))
	for _, j := range s.scheduled {
		s.openOccurrences(j, now)
	}
}

// purgeEndedJobs removes the jobs whose end is stored and older than the retention.
func (s *Scheduler) purgeEndedJobs(now time.Time) {
	for _, j := range s.ended.takeBefore(now.Add(-s.limits.JobRetention)) {
		s.operations.Jobs++
		s.forget(j)
		s.removedJobs = append(s.removedJobs, j.job.ID)
	}
}

// forget removes a job.
func (s *Scheduler) forget(j *jobState) {
	delete(s.jobs, j.job.ID)
	s.retainedBytes -= j.retainedBytes
}

// Result is the outcome of a call.
type Result int

// The outcomes of calls.
//
//go:generate enumer -type=Result -transform=title-lower -linecomment
const (
	// Done means that the call took effect and its effect is stored.
	Done Result = iota
	// Refused means that the job was not accepted and never runs.
	Refused
	// NotFound means that no such job exists.
	NotFound // absent
	// OutcomeUnknown means that the call may have taken effect, or may still do so.
	OutcomeUnknown // unsure
	// Invalid means that the job is malformed.
	Invalid
	// Forbidden means that the job belongs to another workspace.
	Forbidden
)

// Reply is the answer to a call. Pending is the result of PendingJobs. Reason says why a job was refused or is
// malformed, RetryAfter how long a refused caller should wait before it retries.
type Reply struct {
	Result     Result
	Phase      job.Phase
	Pending    int
	RetryAfter time.Duration
	Reason     string
	// Cause is the kind of reason of a refusal.
	Cause Cause
	// Jobs holds the jobs of a list, or the one job of an explanation.
	Jobs []*schema.JobStatus
	// Pools holds the state of the pools.
	Pools []*schema.PoolStatus
	// Workspaces holds the state of the workspaces.
	Workspaces []*schema.WorkspaceStatus
	// Preview is the result of Preview.
	Preview *schema.JobPreview
}

// Submit adds a job and calls reply once the job is stored, or at once if it is refused or malformed. It is
// idempotent: submitting a known ID again reports the existing job, unless that belongs to another workspace.
func (s *Scheduler) Submit(m *schema.JobRecord, now time.Time, reply func(Reply)) {
	if j := s.jobs[m.Id]; j != nil {
		if s.Forbids(m.Id, m.Workspace) {
			reply(Reply{Result: Forbidden})
			return
		}
		if j.stored {
			reply(Reply{Result: Done, Phase: j.reportedPhase})
			return
		}
		j.await(reply)
		return
	}
	if err := job.Validate(m); err != nil {
		reply(Reply{Result: Invalid, Reason: err.Error()})
		return
	}
	q := s.table.ByName(m.Queue)
	if q == nil {
		s.countRefusal(m.Workspace, CauseQueue)
		reply(Reply{Result: Refused, Reason: "the owner does not know the queue yet", RetryAfter: unknownQueueRetry, Cause: CauseQueue})
		return
	}
	m.Pool, m.Terms = q.Pool, q.Terms().Record()
	if n := proto.Size(m) + progressOverhead; n > s.limits.valueBytes() {
		reply(Reply{Result: Invalid, Reason: fmt.Sprintf("the job takes %d bytes, the store takes %d", n, s.limits.valueBytes())})
		return
	}
	// The acceptance time is taken from the owner's clock, since the clocks of the entries may differ.
	m.AcceptedMs = now.UnixMilli()
	n := job.New(m)
	if r := s.admit(n, q, now); r != nil {
		s.countRefusal(n.Workspace, r.Cause)
		s.addDecision(Decision{Job: n.ID, Pool: n.Pool, Reason: loss.ReasonRefused + r.Reason, Cause: r.Cause})
		reply(*r)
		return
	}
	j := s.addJob(n)
	s.openOccurrences(j, now)
	s.markDirty(j)
	j.await(reply)
	reason := loss.ReasonAdmitted
	if n.Scheduled() || n.LongRunning() {
		reason = loss.ReasonAdmittedLasting
	}
	s.addDecision(Decision{Job: n.ID, Pool: n.Pool, Reason: reason})
}

// unknownQueueRetry is how long a caller waits before it retries with an unknown queue: within that time, a new
// configuration that has reached another entry reaches the owner as well.
const unknownQueueRetry = time.Second

// Cancel ends a job and calls reply once the cancellation is stored.
func (s *Scheduler) Cancel(id string, now time.Time, reply func(Reply)) {
	j := s.jobs[id]
	if j == nil {
		reply(Reply{Result: NotFound})
		return
	}
	if !j.phase.Ended() {
		s.addDecision(Decision{Job: id, Pool: j.job.Pool, Reason: loss.ReasonCancelled})
		s.endJob(j, job.Cancelled, now)
	}
	j.await(reply)
}

// Forbids reports whether a job belongs to another workspace than the given one. A caller without a workspace, and any
// caller in the case of a job without one, is not forbidden anything.
func (s *Scheduler) Forbids(id, workspace string) bool {
	j := s.jobs[id]
	return j != nil && j.job.Workspace != "" && workspace != "" && j.job.Workspace != workspace
}

// JobPhase returns the phase of a job as far as it is stored.
func (s *Scheduler) JobPhase(id string) Reply {
	j := s.jobs[id]
	if j == nil {
		return Reply{Result: NotFound}
	}
	return Reply{Result: Done, Phase: j.reportedPhase}
}

// PendingJobs counts the stored jobs of a queue of which no task has started.
func (s *Scheduler) PendingJobs(queue string) Reply {
	return Reply{Result: Done, Pending: s.pendingJobs[queue]}
}

// countPendingJob counts or no longer counts a job as pending after a change of it.
func (s *Scheduler) countPendingJob(j *jobState) {
	pending := j.stored && !j.started && s.active[j.job.ID] == j
	switch {
	case pending && !j.countedPending:
		s.pendingJobs[j.job.Queue]++
	case !pending && j.countedPending:
		if s.pendingJobs[j.job.Queue]--; s.pendingJobs[j.job.Queue] == 0 {
			delete(s.pendingJobs, j.job.Queue)
		}
	}
	j.countedPending = pending
}

// logCompletion logs whether a finite job was completed within its target duration.
func (s *Scheduler) logCompletion(j *jobState, now time.Time) {
	reason := loss.ReasonCompleted
	if late := now.Sub(j.job.AcceptedAt.Add(s.targetDuration(j.job))); late > 0 {
		reason = loss.ReasonCompletedLate + late.Round(time.Millisecond).String()
	}
	s.addDecision(Decision{Job: j.job.ID, Pool: j.job.Pool, Reason: reason})
}

// endJob moves a job to a final phase and stops its runs.
func (s *Scheduler) endJob(j *jobState, p job.Phase, now time.Time) {
	j.phase = p
	j.endedAt = now
	if p == job.Completed && !j.job.Scheduled() {
		s.logCompletion(j, now)
	}
	s.deactivate(j)
	s.ended.add(j)
	for _, o := range j.unclosed() {
		for _, t := range o.tasks() {
			if t.run != nil {
				s.recordStray(t.run)
				s.stop(t.run, now)
			}
			if t.run != nil {
				t.run.countEnded()
			}
		}
	}
	s.markDirty(j)
	s.needsPlan = true
}
