package scheduler

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Batch is what one transaction stores.
type Batch struct {
	Number   uint64
	Jobs     []Write[*schema.JobRecord]
	Progress []Write[*schema.JobProgress]
	// Removed are jobs that are forgotten.
	Removed []string
	// Learning is what was learned of the queues so far.
	Learning []*schema.QueueLearning
	marks    []commitMark
}

// Write is a record with the job that it belongs to.
type Write[T proto.Message] struct {
	JobID  string
	Record T
}

type commitMark struct {
	job     *jobState
	version uint64
}

// NextBatch makes the next batch of at most so many records, or nil if there is nothing to store.
func (s *Scheduler) NextBatch(most int, now time.Time) *Batch {
	if len(s.dirtyJobs) == 0 && len(s.removedJobs) == 0 {
		return nil
	}
	s.lastBatch++
	b := &Batch{Number: s.lastBatch, Learning: s.learning(now)}
	n := 0
	for n < len(s.dirtyJobs) && b.recordCount() < most {
		b.add(s.dirtyJobs[n])
		n++
	}
	s.dirtyJobs = slices.Delete(s.dirtyJobs, 0, n)
	k := min(len(s.removedJobs), (most-b.recordCount())/recordsPerRemovedJob)
	b.Removed = slices.Clone(s.removedJobs[:k])
	s.removedJobs = s.removedJobs[k:]
	return b
}

// recordsPerRemovedJob is how many keys a forgotten job has: the job and its course.
const recordsPerRemovedJob = 2

func (b *Batch) recordCount() int {
	return len(b.Jobs) + len(b.Progress)
}

func (b *Batch) add(j *jobState) {
	j.dirty = false
	j.sent = true
	if j.stored {
		b.Progress = append(b.Progress, Write[*schema.JobProgress]{j.job.ID, j.progress()})
	} else {
		m := j.job.Record()
		m.Progress = j.progress()
		b.Jobs = append(b.Jobs, Write[*schema.JobRecord]{j.job.ID, m})
	}
	b.marks = append(b.marks, commitMark{j, j.version})
}

// BatchCommitted takes note that a batch is stored: callers are answered and orders go out.
func (s *Scheduler) BatchCommitted(b *Batch, now time.Time) {
	for _, m := range b.marks {
		m.job.stored = true
		m.job.committedVersion = m.version
		m.job.updateReportedPhase()
		m.job.answerWaiters()
		s.startAssigned(m.job, now)
	}
}

func (j *jobState) updateReportedPhase() {
	switch {
	case j.phase.Ended() && j.committedVersion == j.version:
		j.reportedPhase = j.phase
	case j.reportedPhase.Ended():
	case j.started:
		j.reportedPhase = job.Running
	}
}

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

// startAssigned sends the orders whose assignment is stored.
func (s *Scheduler) startAssigned(j *jobState, now time.Time) {
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			for _, t := range p.tasks {
				if t.run != nil && t.run.phase == assigned && t.run.version <= j.committedVersion {
					s.sendStart(t.run, now)
				}
			}
		}
	}
}

// sendStart sends the order to start a run.
func (s *Scheduler) sendStart(r *run, now time.Time) {
	v := r.server
	if !v.exists() || v.info.Draining || !v.reachable {
		s.drop(r, now, "server is leaving or silent")
		return
	}
	r.phase = sent
	r.startedAt = now
	r.progressedAt = now
	r.expiresClock = v.expectedClock(now) + startOrderLifetime
	v.leaseUntil = max(v.leaseUntil, r.expiresClock)
	o := Start{Server: v.info, Task: r.task.key, Number: r.number, Payload: r.task.job.Payload, Until: r.expiresClock}
	if r.task.step.step.Checkpointing {
		o.Checkpoint = r.task.checkpoint
		if r.task.step.step.Gang {
			o.Checkpoint = r.task.step.checkpoint
		}
	}
	o.Ticket = s.ticket(r)
	s.note(Note{
		Job: r.task.job.ID, Task: r.task.key.String(), Server: v.info.ID, Pool: v.info.Pool, Run: r.number,
		Reason: "start ordered", Age: now.Sub(v.listedAt),
	})
	s.orders.Starts = append(s.orders.Starts, o)
}

// startOrderLifetime is how long an order to start holds; orders that are carried out late come two seconds late or more.
const startOrderLifetime = 1200 * time.Millisecond

// progress is what the store keeps of the job's course.
func (j *jobState) progress() *schema.JobProgress {
	p := &schema.JobProgress{Phase: int32(j.phase)}
	if j.phase.Ended() {
		p.EndedMs = j.endedAt.UnixMilli()
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

func (t *task) progress() *schema.TaskProgress {
	p := &schema.TaskProgress{
		Occurrence: int32(t.key.Occurrence), Step: int32(t.key.Step), Index: int32(t.key.Index),
		LastRun: int32(t.lastRun), Failures: int32(t.failures), Done: t.done,
	}
	if !t.done {
		p.Checkpoint = t.checkpoint
	}
	if t.run != nil {
		p.Server = t.run.server.info.ID
		p.BornMs = t.run.server.info.Born.UnixMilli()
	}
	return p
}

// RefuseUnsent refuses the jobs that no transaction has carried yet; the rest may be stored or not.
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
		delete(s.active, id)
		delete(s.jobs, id)
		s.dirtyJobs = slices.DeleteFunc(s.dirtyJobs, func(x *jobState) bool { return x == j })
		for _, w := range j.waiters {
			w.reply(Reply{Result: Refused, Reason: reason, RetryAfter: after})
		}
	}
}
