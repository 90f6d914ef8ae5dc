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
	Number uint64
	Jobs   []Stored[*schema.JobRecord]
	Course []Stored[*schema.JobProgress]
	// Removed are jobs that are forgotten.
	Removed []string
	// Learning is what was learned of the queues so far.
	Learning []*schema.QueueLearning
	marks    []mark
}

// Stored is a record with the job that it belongs to.
type Stored[T proto.Message] struct {
	ID     string
	Record T
}

type mark struct {
	job     *jobState
	version uint64
}

// Next makes the next batch of at most so many records, or nil if there is nothing to store.
func (s *Scheduler) Next(most int, now time.Time) *Batch {
	if len(s.dirty) == 0 && len(s.removed) == 0 {
		return nil
	}
	s.batch++
	b := &Batch{Number: s.batch, Learning: s.learning(now)}
	n := 0
	for n < len(s.dirty) && b.size() < most {
		b.add(s.dirty[n])
		n++
	}
	s.dirty = slices.Delete(s.dirty, 0, n)
	k := min(len(s.removed), (most-b.size())/recordsRemoved)
	b.Removed = slices.Clone(s.removed[:k])
	s.removed = s.removed[k:]
	return b
}

// recordsRemoved is how many keys a forgotten job has: the job and its course.
const recordsRemoved = 2

func (b *Batch) size() int {
	return len(b.Jobs) + len(b.Course)
}

func (b *Batch) add(j *jobState) {
	j.dirty = false
	j.sent = true
	if j.stored {
		b.Course = append(b.Course, Stored[*schema.JobProgress]{j.job.ID, j.progress()})
	} else {
		m := j.job.Record()
		m.Progress = j.progress()
		b.Jobs = append(b.Jobs, Stored[*schema.JobRecord]{j.job.ID, m})
	}
	b.marks = append(b.marks, mark{j, j.version})
}

// Committed takes note that a batch is stored: callers are answered and orders go out.
func (s *Scheduler) Committed(b *Batch, now time.Time) {
	for _, m := range b.marks {
		m.job.stored = true
		m.job.committed = m.version
		m.job.show()
		m.job.answer()
		s.startStored(m.job, now)
	}
}

func (j *jobState) show() {
	switch {
	case j.phase.Ended() && j.committed == j.version:
		j.shown = j.phase
	case j.shown.Ended():
	case j.begun:
		j.shown = job.Running
	}
}

func (j *jobState) answer() {
	l := j.waiters[:0]
	for _, w := range j.waiters {
		if w.version > j.committed {
			l = append(l, w)
			continue
		}
		w.reply(Reply{Result: Done, Phase: j.shown})
	}
	j.waiters = l
}

// startStored sends the orders whose assignment is stored.
func (s *Scheduler) startStored(j *jobState, now time.Time) {
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			for _, t := range p.tasks {
				if t.run != nil && t.run.phase == assigned && t.run.version <= j.committed {
					s.start(t.run, now)
				}
			}
		}
	}
}

// start sends the order to start a run.
func (s *Scheduler) start(r *run, now time.Time) {
	v := r.server
	if !v.there() || v.info.Draining || !v.reachable {
		s.drop(r, now, "server is leaving or silent")
		return
	}
	r.phase = sent
	r.began = now
	r.progressed = now
	r.until = v.guess(now) + orderLife
	v.lease = max(v.lease, r.until)
	o := Start{Server: v.info, Task: r.task.key, Number: r.number, Payload: r.task.job.Payload, Until: r.until}
	if r.task.step.step.Checkpointing {
		o.Checkpoint = r.task.checkpoint
		if r.task.step.step.Gang {
			o.Checkpoint = r.task.step.checkpoint
		}
	}
	o.Ticket = s.ticket(r)
	s.note(Note{
		Job: r.task.job.ID, Task: r.task.key.String(), Server: v.info.ID, Pool: v.info.Pool, Run: r.number,
		Reason: "start ordered", Age: now.Sub(v.heard),
	})
	s.orders.Starts = append(s.orders.Starts, o)
}

// orderLife is how long an order to start holds; orders that are carried out late come two seconds late or more.
const orderLife = 1200 * time.Millisecond

// progress is what the store keeps of the job's course.
func (j *jobState) progress() *schema.JobProgress {
	p := &schema.JobProgress{Phase: int32(j.phase)}
	if j.phase.Ended() {
		p.EndedMs = j.ended.UnixMilli()
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
		p.BornMs = t.run.server.info.StartedAt.UnixMilli()
	}
	return p
}

// Withdraw refuses the jobs that no transaction has carried yet; the rest may be stored or not.
func (s *Scheduler) Withdraw(reason string, after time.Duration, now time.Time) {
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
		s.dirty = slices.DeleteFunc(s.dirty, func(x *jobState) bool { return x == j })
		for _, w := range j.waiters {
			w.reply(Reply{Result: Refused, Reason: reason, RetryAfter: after})
		}
	}
}
