package scheduler

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/loss"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// output is what the owner takes from the scheduler: changes to store and orders to send.
type output struct {
	dirtyJobs []*jobState
	// loggedEnds are the completed jobs whose end is in the log alone. Their records are deleted when a batch has keys to spare.
	loggedEnds  []*jobState
	removedJobs []string
	orders      Orders
	log         changelog
	lastBatch   uint64
}

// Batch holds the changes that one transaction stores.
type Batch struct {
	Number uint64
	// Jobs are the records of new jobs.
	Jobs []Write[*schema.JobRecord]
	// Ended is the progress of ended jobs, whose records are deleted since only their progress is still needed.
	Ended []Write[*schema.JobProgress]
	// Removed are the IDs of jobs whose record and progress are deleted.
	Removed []string
	// Log holds the changes of the other jobs, nil if there are none. CleanedEntries are the sequence numbers of entries
	// that are deleted.
	Log            *schema.LogEntry
	CleanedEntries []uint64
	// Learning holds the estimates that were learned for each queue.
	Learning []*schema.QueueLearning
	// Durations holds the learned distributions of durations, or nil if the stored ones stand.
	Durations *schema.DurationRecord
	// Leases is the new lease record, or nil if the stored one stands.
	Leases      *schema.LeaseRecord
	versions    []jobVersion
	loggedTasks int
}

// Write is a record to store for a job.
type Write[T proto.Message] struct {
	JobID  string
	Record T
}

// jobVersion is the version of a job that a batch contains.
type jobVersion struct {
	job     *jobState
	version uint64
}

// NextBatch returns the next batch to store, or nil if nothing has changed. It has at most limit keys of jobs and
// learned durations; jobs that do not fit wait for the following batch. The ends of completed jobs always fit: where no keys are left for them
// they are stored in the log, which tells that all tasks are done.
func (s *Scheduler) NextBatch(limit int, now time.Time) *Batch {
	if len(s.dirtyJobs) == 0 && len(s.removedJobs) == 0 && len(s.loggedEnds) == 0 && !s.leaseRecord.due {
		return nil
	}
	s.lastBatch++
	b := &Batch{Number: s.lastBatch, Learning: s.exportLearning(now), Durations: s.exportDurations(now)}
	if s.leaseRecord.due {
		b.Leases = s.buildLeaseRecord(b.Number, now)
	}
	waiting, completed := s.dirtyJobs[:0], []*jobState{}
	for _, j := range s.dirtyJobs {
		switch {
		case b.loggedTasks > maxLoggedTasks:
			waiting = append(waiting, j)
		case j.endFitsLog():
			completed = append(completed, j)
		case b.keyCount()+j.keyCount() > limit:
			waiting = append(waiting, j)
		default:
			s.addToBatch(b, j)
		}
	}
	clear(s.dirtyJobs[len(waiting):])
	s.dirtyJobs = waiting
	for _, j := range completed {
		if b.keyCount()+j.keyCount() > limit {
			s.logEnd(b, j)
			continue
		}
		s.addToBatch(b, j)
	}
	s.cleanLog(b)
	s.dropLoggedEnds(b, limit)
	k := min(len(s.removedJobs), max(limit-b.keyCount(), 0)/keysPerEndedJob)
	b.Removed = slices.Clone(s.removedJobs[:k])
	s.removedJobs = s.removedJobs[k:]
	return b
}

// keysPerEndedJob is the number of store keys that a job takes in a batch when it has ended or is removed: its record and
// its progress.
const keysPerEndedJob = 2

// keyCount returns the number of store keys of the batch's jobs and learned durations.
func (b *Batch) keyCount() int {
	n := len(b.Jobs) + keysPerEndedJob*len(b.Ended)
	if b.Durations != nil {
		n++
	}
	return n
}

// keyCount returns the number of store keys that the job takes in a batch, besides the log entry.
func (j *jobState) keyCount() int {
	switch {
	case !j.stored:
		return 1
	case j.phase.Ended():
		return keysPerEndedJob
	default:
		return 0
	}
}

func (s *Scheduler) addToBatch(b *Batch, j *jobState) {
	j.dirty = false
	j.sent = true
	switch {
	case !j.stored:
		m := j.job.Record()
		m.Progress = j.progress()
		b.Jobs = append(b.Jobs, Write[*schema.JobRecord]{j.job.ID, m})
	case j.phase.Ended():
		b.Ended = append(b.Ended, Write[*schema.JobProgress]{j.job.ID, j.progress()})
	default:
		s.addChange(b, j, false)
	}
	b.versions = append(b.versions, jobVersion{j, j.version})
}

// endFitsLog reports whether the log can tell that the job has ended: a successor finds all its tasks done.
func (j *jobState) endFitsLog() bool {
	return j.stored && j.phase == job.Completed
}

// logEnd adds the end of a completed job to the batch's log entry.
func (s *Scheduler) logEnd(b *Batch, j *jobState) {
	j.dirty, j.sent, j.endLogged = false, true, true
	s.addChange(b, j, false)
	s.loggedEnds = append(s.loggedEnds, j)
	b.versions = append(b.versions, jobVersion{j, j.version})
}

// dropLoggedEnds replaces the records of completed jobs by that of their end, as far as the batch has keys to spare.
func (s *Scheduler) dropLoggedEnds(b *Batch, limit int) {
	n := min(len(s.loggedEnds), max(limit-b.keyCount(), 0)/keysPerEndedJob)
	for _, j := range s.loggedEnds[:n] {
		j.endLogged = false
		b.Ended = append(b.Ended, Write[*schema.JobProgress]{j.job.ID, j.progress()})
	}
	s.loggedEnds = s.loggedEnds[n:]
}

// BatchCommitted records that a batch is stored, answers the callers that waited for it and sends the start orders
// of the stored assignments.
func (s *Scheduler) BatchCommitted(b *Batch, now time.Time) {
	for _, m := range b.versions {
		m.job.stored = true
		s.countPendingJob(m.job)
		m.job.committedVersion = m.version
		m.job.updateReportedPhase()
		m.job.answerWaiters()
		s.startAssigned(m.job, now)
	}
	if b.Leases != nil {
		s.leaseRecordCommitted(b.Number)
	}
}

// updateReportedPhase sets the phase that callers see: an end only once the newest version is stored, and running once
// a task has started.
func (j *jobState) updateReportedPhase() {
	switch {
	case j.phase.Ended() && j.committedVersion == j.version:
		j.reportedPhase = j.phase
	case j.reportedPhase.Ended():
	case j.started:
		j.reportedPhase = job.Running
	}
}

// answerWaiters answers the callers whose version is stored.
func (j *jobState) answerWaiters() {
	l := j.waiters[:0]
	for _, w := range j.waiters {
		if w.version > j.committedVersion {
			l = append(l, w)
			continue
		}
		w.reply(Reply{Result: Done, Phase: j.reportedPhase})
	}
	j.waiters = l
}

// startAssigned sends the start orders of the runs whose assignment is stored.
func (s *Scheduler) startAssigned(j *jobState, now time.Time) {
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			for _, t := range p.tasks {
				if !t.awaitsStart() {
					continue
				}
				if !t.run.server.acceptsStart() {
					s.withdraw(t.run, now, "server is draining, unregistered, unreachable or has too little capacity left")
				} else if reason := s.capViolation(t.run, now); reason != "" {
					s.withdraw(t.run, now, reason)
				}
			}
			for _, t := range p.tasks {
				if t.awaitsStart() {
					s.sendStart(t.run, now)
				}
			}
		}
	}
}

// awaitsStart reports whether the task's assignment is stored and its start order has not been sent.
func (t *task) awaitsStart() bool {
	return t.run != nil && t.run.phase == assigned && t.run.version <= t.state.committedVersion
}

// acceptsStart reports whether the server still has the capacity for the runs that were assigned to it, and may start them.
func (v *serverState) acceptsStart() bool {
	return v.exists() && !v.info.Draining && !v.isSuperseded() && v.reachable && !v.leaseRecorded && !v.unassigned.unsized && (job.Size{}).Fits(v.free())
}

// withdraw drops a run whose start order has not been sent, and the rest of its gang, which cannot work without it.
func (s *Scheduler) withdraw(r *run, now time.Time, reason string) {
	s.drop(r, now, reason)
	if !r.task.step.step.Gang {
		return
	}
	for _, t := range r.task.step.tasks {
		if t.awaitsStart() {
			s.drop(t.run, now, "another member of the gang was withdrawn")
		}
	}
}

// sendStart sends the order to start a run.
func (s *Scheduler) sendStart(r *run, now time.Time) {
	v := r.server
	r.phase = sent
	r.startedAt = now
	r.sentClock = v.minClock(now)
	r.arrivesUntil = now.Add(startOrderLifetime)
	r.expiresClock = v.expectedClock(now) + startOrderLifetime
	v.leaseUntil = max(v.leaseUntil, r.expiresClock)
	o := StartOrder{Server: v.info, Task: r.task.key, Number: r.number, Payload: r.task.job.Payload, Until: r.expiresClock}
	if r.task.step.step.Checkpointing {
		o.Checkpoint = r.task.checkpoint
		if r.task.step.step.Gang {
			o.Checkpoint = r.task.step.checkpoint
		}
	}
	o.Ticket = r.ticket()
	s.addDecision(Decision{
		Job: r.task.job.ID, Task: r.task.key.String(), Server: v.info.ID, Pool: v.info.Pool, Run: r.number,
		Reason: loss.ReasonStartOrdered, Age: now.Sub(v.listedAt),
	})
	s.orders.Starts = append(s.orders.Starts, o)
	s.operations.Starts++
}

// startOrderLifetime is how long a start order is valid. Delayed orders arrive at least two seconds late, and therefore
// after they have expired.
const startOrderLifetime = StartOrderPeriod + orderDeliveryMargin

const (
	// StartOrderPeriod is how long an order to start a run is sent and repeated at most.
	StartOrderPeriod = 900 * time.Millisecond
	// orderDeliveryMargin is how long an order takes to arrive at most.
	orderDeliveryMargin = 300 * time.Millisecond
)

// progress returns the record of the job's progress for the store.
func (j *jobState) progress() *schema.JobProgress {
	p := &schema.JobProgress{Phase: int32(j.phase)}
	if j.phase.Ended() {
		p.EndedMs = j.endedAt.UnixMilli()
		p.Queue, p.Pool, p.AcceptedMs, p.Workspace = j.job.Queue, j.job.Pool, j.job.AcceptedAt.UnixMilli(), j.job.Workspace
		return p
	}
	for _, o := range j.occurrences {
		for _, x := range o.steps {
			for _, t := range x.tasks {
				if t.lastRun > 0 || t.done {
					p.Tasks = append(p.Tasks, t.progress())
				}
			}
		}
	}
	return p
}

// RefuseUnsent refuses the jobs that no transaction has included yet and answers their callers with the reason and the
// time to wait before they retry. The other jobs may or may not be stored, so they keep waiting.
func (s *Scheduler) RefuseUnsent(reason string, after time.Duration, now time.Time) {
	for id, j := range s.active {
		if j.stored || j.sent {
			continue
		}
		for _, o := range j.occurrences {
			for _, t := range o.tasks() {
				if t.run != nil {
					s.release(t.run, now)
				}
			}
		}
		s.deactivate(j)
		s.forget(j)
		s.dirtyJobs = slices.DeleteFunc(s.dirtyJobs, func(x *jobState) bool { return x == j })
		s.countRefusal(j.job.Workspace, CauseStore)
		s.addDecision(Decision{Job: id, Pool: j.job.Pool, Reason: loss.ReasonRefused + reason, Cause: CauseStore})
		for _, w := range j.waiters {
			w.reply(Reply{Result: Refused, Reason: reason, RetryAfter: after, Cause: CauseStore})
		}
	}
}
