package scheduler

import (
	"math"
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
	// narrowing is how often the size of batches was halved since the store has rejected them.
	narrowing int
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
	Leases   *schema.LeaseRecord
	versions []jobVersion
	// closed are the occurrences that the log entry has as done for the first time.
	closed []closedOccurrence
	undo   undo
	// room is the encoded size of task records that still fit, and reserve what is kept for records from old log entries. full is true
	// once a record has not fit.
	room, reserve int
	full          bool
}

// Write is a record to store for a job.
type Write[T proto.Message] struct {
	JobID  string
	Record T
}

// closedOccurrence is an occurrence of a job of which all tasks are done.
type closedOccurrence struct {
	job        *jobState
	occurrence *occurrence
}

const (
	// maxRecordBytes is the encoded size of the task records in a batch at most. One batch must not hold up the others for long.
	maxRecordBytes = 256 << 10
	// minRecordBytes is the same while the store rejects batches.
	minRecordBytes = 1 << 10
	// valueShare is the share of the largest value that the store takes, in percent, that a batch fills at most. The store may count a
	// value as it is encoded in a call, in base64.
	valueShare = 75
	// checkpointShare is the share of a batch, as its reciprocal, that one checkpoint may take.
	checkpointShare = 4
	// progressOverhead is the most bytes that the progress of a job that has not started adds to its record.
	progressOverhead = 64
	// entryOverhead, changeOverhead and recordOverhead are the most bytes that the encoding adds to an entry, to a job in it and to a record.
	entryOverhead, changeOverhead, recordOverhead = 16, 16, 6
)

// valueBytes returns the size of the largest value of a batch.
func (l Limits) valueBytes() int {
	if l.MaxValueBytes <= 0 {
		return math.MaxInt
	}
	return l.MaxValueBytes / 100 * valueShare
}

// checkpointBytes returns the size of the largest checkpoint that is stored. It leaves room for the rest of its record.
func (l Limits) checkpointBytes() int {
	return min(maxRecordBytes, l.valueBytes()) / checkpointShare
}

// recordBytes returns the most bytes that the record of a task takes in a value.
func recordBytes(p *schema.TaskProgress) int {
	return proto.Size(p) + recordOverhead
}

// newBatch returns an empty batch. Half of its room is for old log entries while there are too many.
func (s *Scheduler) newBatch(now time.Time) *Batch {
	s.lastBatch++
	b := &Batch{
		Number: s.lastBatch, Learning: s.exportLearning(now), Durations: s.exportDurations(now),
		room: s.narrowed(min(maxRecordBytes, s.limits.valueBytes()), minRecordBytes) - entryOverhead,
	}
	if len(s.log.entries) > maxLogEntries {
		b.reserve = b.room / 2
		b.room -= b.reserve
	}
	return b
}

// takeRoom takes room for a record of the size, and reports whether there was any. The first record of a log entry may take the room that
// is kept for others.
func (b *Batch) takeRoom(bytes int) bool {
	if b.Log == nil && bytes > b.room {
		b.room, b.reserve = b.room+b.reserve, 0
	}
	if bytes > b.room {
		b.full = true
		return false
	}
	b.room -= bytes
	return true
}

// jobVersion is the version of a job that a batch contains.
type jobVersion struct {
	job     *jobState
	version uint64
}

// NextBatch returns the next batch to store, or nil if nothing has changed. It has at most limit keys of jobs and
// learned durations, and records of tasks up to a size. Jobs that do not fit wait for the following batch, and one may be
// divided between the two. Where no keys are left for the ends of completed jobs, they are stored in the log, which tells that
// all tasks are done.
func (s *Scheduler) NextBatch(limit int, now time.Time) *Batch {
	if len(s.dirtyJobs) == 0 && len(s.removedJobs) == 0 && len(s.loggedEnds) == 0 && !s.leaseRecord.due {
		return nil
	}
	b := s.newBatch(now)
	limit = s.narrowed(limit, keysPerEndedJob)
	if s.leaseRecord.due {
		b.Leases = s.buildLeaseRecord(b.Number, now)
	}
	waiting, divided, completed := []*jobState{}, []*jobState{}, []*jobState{}
	for _, j := range s.dirtyJobs {
		switch {
		case b.full:
			waiting = append(waiting, j)
		case j.endFitsLog():
			completed = append(completed, j)
		case b.keyCount()+j.keyCount() > limit:
			waiting = append(waiting, j)
		case !s.addToBatch(b, j):
			divided = append(divided, j)
		}
	}
	for _, j := range completed {
		switch {
		case s.narrowing == maxNarrowing && b.undo.first != nil:
			waiting = append(waiting, j)
		case b.keyCount()+j.keyCount() <= limit:
			s.addToBatch(b, j)
		case b.full:
			waiting = append(waiting, j)
		case !s.logEnd(b, j):
			divided = append(divided, j)
		}
	}
	// The rest of a job that has been divided comes after the others.
	s.dirtyJobs = append(waiting, divided...)
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

// addToBatch adds a job to the batch, and reports whether there was room for all of it. Otherwise the version that it has is not stored yet:
// no start order that depends on it is sent and no end of it is acknowledged.
func (s *Scheduler) addToBatch(b *Batch, j *jobState) bool {
	j.sent = true
	s.addFirst(b, j)
	whole := true
	switch {
	case !j.stored:
		whole = s.addRecord(b, j)
	case j.phase.Ended():
		b.Ended = append(b.Ended, Write[*schema.JobProgress]{j.job.ID, j.endRecord()})
	default:
		whole = s.addChange(b, j)
	}
	if whole {
		s.addVersion(b, j)
	}
	return whole
}

// addFirst records the first job of the batch. While the store rejects even the smallest batches, it is the only one.
func (s *Scheduler) addFirst(b *Batch, j *jobState) {
	if b.undo.first == nil {
		b.undo.first = j
		b.full = s.narrowing == maxNarrowing
	}
}

// addVersion records that the batch contains all of the job's present version.
func (s *Scheduler) addVersion(b *Batch, j *jobState) {
	j.dirty = false
	b.versions = append(b.versions, jobVersion{j, j.version})
}

// acceptedVersion is the version of a job of which no task has been assigned.
const acceptedVersion = 1

// addRecord adds the record of a new job, and reports whether there was room for its tasks.
func (s *Scheduler) addRecord(b *Batch, j *jobState) bool {
	m := j.job.Record()
	m.Progress = &schema.JobProgress{Phase: int32(j.phase)}
	b.Jobs = append(b.Jobs, Write[*schema.JobRecord]{j.job.ID, m})
	if j.phase.Ended() {
		m.Progress = j.endRecord()
		return true
	}
	room := s.limits.valueBytes() - proto.Size(m)
	for _, o := range j.unclosed() {
		for _, t := range o.tasks() {
			r := t.record()
			if r == t.recorded {
				continue
			}
			p := t.progressOf(r)
			if room -= recordBytes(p); room < 0 || !b.takeRoom(recordBytes(p)) {
				b.versions = append(b.versions, jobVersion{j, acceptedVersion})
				return false
			}
			b.undo.tasks = append(b.undo.tasks, taskChange{t, t.recorded, t.loggedIn})
			t.recorded = r
			m.Progress.Tasks = append(m.Progress.Tasks, p)
		}
	}
	return true
}

// endFitsLog reports whether the log can tell that the job has ended: a successor finds all its tasks done.
func (j *jobState) endFitsLog() bool {
	return j.stored && j.phase == job.Completed
}

// logEnd adds the end of a completed job to the batch's log entry, and reports whether there was room for all of it.
func (s *Scheduler) logEnd(b *Batch, j *jobState) bool {
	j.sent = true
	s.addFirst(b, j)
	if !s.addChange(b, j) {
		return false
	}
	j.endLogged = true
	b.undo.loggedEnds = append(b.undo.loggedEnds, j)
	s.loggedEnds = append(s.loggedEnds, j)
	s.addVersion(b, j)
	return true
}

// dropLoggedEnds replaces the records of completed jobs by that of their end, as far as the batch has keys to spare.
func (s *Scheduler) dropLoggedEnds(b *Batch, limit int) {
	n := min(len(s.loggedEnds), max(limit-b.keyCount(), 0)/keysPerEndedJob)
	b.undo.droppedEnds = s.loggedEnds[:n:n]
	for _, j := range b.undo.droppedEnds {
		j.endLogged = false
		b.Ended = append(b.Ended, Write[*schema.JobProgress]{j.job.ID, j.endRecord()})
	}
	s.loggedEnds = s.loggedEnds[n:]
}

// BatchCommitted records that a batch is stored, answers the callers that waited for it and sends the start orders
// of the stored assignments.
func (s *Scheduler) BatchCommitted(b *Batch, now time.Time) {
	s.narrowing = max(s.narrowing-1, 0)
	b.undo = undo{}
	for _, m := range b.versions {
		m.job.stored = true
		s.countPendingJob(m.job)
		m.job.committedVersion = m.version
		m.job.updateReportedPhase()
		m.job.answerWaiters()
		s.startAssigned(m.job, now)
	}
	for _, x := range b.closed {
		s.dropClosed(x.job, x.occurrence)
	}
	s.sendHeld(now)
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

// startAssigned sends the start orders of the runs whose assignment is stored. Those beyond the window of unanswered orders wait, except for
// gangs, whose members must start together.
func (s *Scheduler) startAssigned(j *jobState, now time.Time) {
	for _, o := range j.unclosed() {
		for _, p := range o.steps {
			for _, t := range p.tasks {
				if !t.awaitsStart() {
					continue
				}
				s.mayStart(t.run, now)
			}
			for _, t := range p.tasks {
				switch {
				case !t.awaitsStart():
				case s.starts.isFull() && !p.step.Gang:
					s.starts.hold(t.run)
				default:
					s.sendStart(t.run, now)
				}
			}
		}
	}
}

// mayStart reports whether the order for a stored assignment may still be sent, and otherwise withdraws it.
func (s *Scheduler) mayStart(r *run, now time.Time) bool {
	reason := s.capViolation(r, now)
	if !r.server.acceptsStart() {
		reason = "server is draining, unregistered, unreachable or has too little capacity left"
	}
	if reason != "" {
		s.withdraw(r, now, reason)
	}
	return reason == ""
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
	s.starts.unanswered++
	o := StartOrder{orderedAt: now, Server: v.info, Task: r.task.key, Number: r.number, Payload: r.task.job.Payload, Until: r.expiresClock}
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

// endRecord returns the record of an ended job for the store.
func (j *jobState) endRecord() *schema.JobProgress {
	return &schema.JobProgress{
		Phase: int32(j.phase), EndedMs: j.endedAt.UnixMilli(),
		Queue: j.job.Queue, Pool: j.job.Pool, AcceptedMs: j.job.AcceptedAt.UnixMilli(), Workspace: j.job.Workspace,
	}
}

// RefuseUnsent refuses the jobs that no transaction has included yet and answers their callers with the reason and the
// time to wait before they retry. The other jobs may or may not be stored, so they keep waiting.
func (s *Scheduler) RefuseUnsent(reason string, after time.Duration, now time.Time) {
	for _, j := range s.active {
		if !j.stored && !j.sent {
			s.refuseUnstored(j, reason, after, CauseStore, now)
		}
	}
}

// refuseUnstored refuses a job that the store does not have, and answers its callers.
func (s *Scheduler) refuseUnstored(j *jobState, reason string, after time.Duration, c Cause, now time.Time) {
	for _, o := range j.unclosed() {
		for _, t := range o.tasks() {
			if t.run != nil {
				s.release(t.run, now)
			}
		}
	}
	s.deactivate(j)
	s.forget(j)
	s.dirtyJobs = slices.DeleteFunc(s.dirtyJobs, func(x *jobState) bool { return x == j })
	s.countRefusal(j.job.Workspace, c)
	s.addDecision(Decision{Job: j.job.ID, Pool: j.job.Pool, Reason: loss.ReasonRefused + reason, Cause: c})
	for _, w := range j.waiters {
		w.reply(Reply{Result: Refused, Reason: reason, RetryAfter: after, Cause: c})
	}
}
