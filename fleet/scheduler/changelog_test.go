package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// stored is what the store holds after a number of commits.
type stored struct {
	jobs    map[string]*schema.JobRecord
	ended   map[string]*schema.JobProgress
	log     map[uint64]*schema.LogEntry
	batches []*scheduler.Batch
}

func newStored() *stored {
	return &stored{jobs: map[string]*schema.JobRecord{}, ended: map[string]*schema.JobProgress{}, log: map[uint64]*schema.LogEntry{}}
}

func (x *stored) apply(b *scheduler.Batch) {
	x.batches = append(x.batches, b)
	for _, w := range b.Jobs {
		x.jobs[w.JobID] = w.Record
	}
	for _, w := range b.Ended {
		x.ended[w.JobID] = w.Record
		delete(x.jobs, w.JobID)
	}
	if b.Log != nil {
		x.log[b.Log.Sequence] = b.Log
	}
	for _, n := range b.CleanedEntries {
		delete(x.log, n)
	}
}

// successor returns a scheduler that has restored what is stored.
func (x *stored) successor(now time.Time) *harness {
	w := &harness{Scheduler: scheduler.New(bounds, now), now: now, endSequences: map[string]uint64{}, batchLimit: batchLimit}
	w.SetTable(table)
	l := []*schema.LogEntry{}
	for _, e := range x.log {
		l = append(l, proto.CloneOf(e))
	}
	w.RestoreLog(l)
	for _, m := range x.jobs {
		w.Restore(proto.CloneOf(m), nil, now)
	}
	for id, p := range x.ended {
		w.RestoreEnded(id, p, now)
	}
	return w
}

// commitTo commits all changes to x.
func (w *harness) commitTo(x *stored) {
	w.Plan(w.now)
	for b := w.NextBatch(w.batchLimit, w.now); b != nil; b = w.NextBatch(w.batchLimit, w.now) {
		x.apply(b)
		w.BatchCommitted(b, w.now)
	}
	w.collectOrders()
}

// At the peak of a turn, some 1,600 tasks start and end each second. With a key for the progress of each job, a commit of
// 28 keys held the changes of 28 jobs only, and starts waited for their commit.
var _ = ginkgo.Describe("the log of progress", func() {
	ginkgo.It("holds the changes of all jobs under way in one entry of a commit", func() {
		w, x := newHarness(), newStored()
		w.addServers("a", "b", "c", "d", "e", "f", "g", "h")
		for i := range 3 * batchLimit {
			w.Submit(newRecord(i+1, 2, func(s *schema.StepRecord) { s.CpuMilli = 1000 }), w.now, func(scheduler.Reply) {})
		}
		w.commitTo(x)
		l := w.acceptStarts()
		gomega.Expect(l).To(gomega.HaveLen(6 * batchLimit))
		commits := len(x.batches)
		for _, o := range l {
			if o.Task.Index == 0 {
				w.reportEnd(o.Server.ID, o.Task, o.Number, job.EndDone)
			}
		}
		w.commitTo(x)
		gomega.Expect(x.batches).To(gomega.HaveLen(commits + 1))
		gomega.Expect(x.batches[commits].Log.Changes).To(gomega.HaveLen(3 * batchLimit))
		for _, c := range x.batches[commits].Log.Changes {
			gomega.Expect(c.Tasks).To(gomega.HaveLen(1), "only the task that has changed")
		}
	})

	// An owner that was nearly out of processor, so that its commits were few, had hundreds of ends and new jobs wait for their keys.
	ginkgo.It("holds the ends of completed jobs for which a commit has no keys left", func() {
		w, x := newHarness(), newStored()
		w.addServers("a", "b", "c", "d", "e", "f", "g", "h")
		const jobs = 3 * batchLimit
		for i := range jobs {
			w.Submit(newRecord(i+1, 1, func(s *schema.StepRecord) { s.CpuMilli = 1000 }), w.now, func(scheduler.Reply) {})
		}
		w.commitTo(x)
		for _, o := range w.acceptStarts() {
			w.reportEnd(o.Server.ID, o.Task, o.Number, job.EndDone)
		}
		accepted := 0
		for i := range batchLimit {
			w.Submit(newRecord(jobs+i+1, 1), w.now, func(scheduler.Reply) { accepted++ })
		}
		w.Plan(w.now)
		b := w.NextBatch(batchLimit, w.now)
		x.apply(b)
		w.BatchCommitted(b, w.now)
		gomega.Expect(accepted).To(gomega.Equal(batchLimit), "new jobs")
		s := x.successor(w.now)
		for i := range jobs {
			for _, n := range []*harness{w, s} {
				if n == s {
					n.commit()
				}
				gomega.Expect(n.JobPhase(newRecord(i+1, 1).Id).Phase).To(gomega.Equal(job.Completed), "job %d", i+1)
			}
		}
		w.commitTo(x)
		gomega.Expect(x.ended).To(gomega.HaveLen(jobs))
		w.now = w.now.Add(bounds.JobRetention + time.Second)
		w.Tick(w.now)
		w.commitTo(x)
		removed := 0
		for _, b := range x.batches {
			removed += len(b.Removed)
		}
		gomega.Expect(removed).To(gomega.Equal(jobs))
	})

	ginkgo.It("tells a successor everything, however many entries have replaced others", func() {
		w, x := newHarness(), newStored()
		w.addServers("a", "b")
		w.Submit(newRecord(1, 2, longRunning), w.now, func(scheduler.Reply) {})
		w.Submit(newRecord(2, 3), w.now, func(scheduler.Reply) {})
		w.commitTo(x)
		done, restarted := 0, 0
		for _, o := range w.acceptStarts() {
			if o.Task.Job == newRecord(2, 1).Id && done == 0 {
				done++
				w.reportEnd(o.Server.ID, o.Task, o.Number, job.EndDone)
				w.commitTo(x)
			}
		}
		for range 500 {
			w.now = w.now.Add(100 * time.Millisecond)
			w.Submit(newRecord(100+restarted, 1), w.now, func(scheduler.Reply) {})
			w.addServers("c")
			w.commitTo(x)
			for _, o := range w.acceptStarts() {
				if o.Task.Job == newRecord(2, 1).Id {
					continue
				}
				restarted++
				reason := job.EndDone
				if restarted%2 == 0 {
					reason = job.EndFailed
				}
				w.reportEnd(o.Server.ID, o.Task, o.Number, reason)
			}
			w.commitTo(x)
		}
		gomega.Expect(restarted).To(gomega.BeNumerically(">", 400))
		gomega.Expect(len(x.log)).To(gomega.BeNumerically("<", 80), "old entries are replaced")
		s := x.successor(w.now)
		for _, id := range []int{1, 2} {
			want, got := w.Explain(newRecord(id, 1).Id, w.now).Jobs[0], s.Explain(newRecord(id, 1).Id, w.now).Jobs[0]
			gomega.Expect(got.Tasks).To(gomega.HaveLen(len(want.Tasks)))
			for i, t := range want.Tasks {
				gomega.Expect([]any{got.Tasks[i].Run, got.Tasks[i].Server, got.Tasks[i].Failures}).To(gomega.Equal([]any{t.Run, t.Server, t.Failures}))
				gomega.Expect(got.Tasks[i].State == "done").To(gomega.Equal(t.State == "done"))
			}
		}
		s.Submit(newRecord(3, 1), s.now, func(scheduler.Reply) {})
		s.addServers("c")
		s.commitTo(x)
		gomega.Expect(x.batches[len(x.batches)-1].Log.GetSequence()).To(gomega.Or(gomega.BeZero(), gomega.BeNumerically(">", 500)), "numbers go on")
	})

	// The end of a job waits for room in a commit while the entries with its tasks are replaced. If the owner is lost then,
	// its successor ran tasks again whose ends had been acknowledged.
	ginkgo.It("keeps the tasks of a job whose end is not stored yet", func() {
		const noRoom = 0
		w, x := newHarness(), newStored()
		w.addServers("a", "b")
		w.Submit(newRecord(1, 2), w.now, func(scheduler.Reply) {})
		w.Submit(newRecord(2, 1, longRunning), w.now, func(scheduler.Reply) {})
		w.commitTo(x)
		var other scheduler.StartOrder
		for _, o := range w.acceptStarts() {
			if o.Task.Job == newRecord(2, 1).Id {
				other = o
				continue
			}
			w.reportEnd(o.Server.ID, o.Task, o.Number, job.EndDone)
			if o.Task.Index == 0 {
				w.commitTo(x)
			}
		}
		for range 150 {
			w.reportEnd(other.Server.ID, other.Task, other.Number, job.EndStopped)
			w.now = w.now.Add(20 * time.Millisecond)
			w.Plan(w.now)
			b := w.NextBatch(noRoom, w.now)
			x.apply(b)
			w.BatchCommitted(b, w.now)
			w.collectOrders()
			other = w.acceptStarts()[0]
		}
		gomega.Expect(x.log).NotTo(gomega.HaveKey(uint64(1)), "the first entry has been replaced")
		s := x.successor(w.now)
		gomega.Expect(s.Explain(newRecord(1, 1).Id, s.now).Jobs[0].Tasks[0].State).To(gomega.Equal("done"))
	})

	// The entries showed that all attempts had failed, but not that the job had: a successor made one more.
	ginkgo.It("makes no further attempt at a job whose failure is not stored yet", func() {
		const noRoom = 0
		w, x := newHarness(), newStored()
		w.addServers("a", "b")
		w.Submit(newRecord(1, 1), w.now, func(scheduler.Reply) {})
		w.Submit(newRecord(2, 1, longRunning), w.now, func(scheduler.Reply) {})
		w.commitTo(x)
		id := newRecord(1, 1).Id
		var other, last scheduler.StartOrder
		for attempts := 0; attempts < table.ByName("plans").MaxAttempts; {
			for _, o := range w.acceptStarts() {
				if o.Task.Job != id {
					other = o
					continue
				}
				attempts++
				last = o
				w.reportEnd(o.Server.ID, o.Task, o.Number, job.EndFailed)
			}
			if attempts < table.ByName("plans").MaxAttempts {
				w.commitTo(x)
			}
		}
		gomega.Expect(w.Explain(id, w.now).Jobs[0].Tasks[0].Failures).To(gomega.BeEquivalentTo(3))
		for range 150 {
			w.reportEnd(other.Server.ID, other.Task, other.Number, job.EndStopped)
			w.now = w.now.Add(20 * time.Millisecond)
			w.Plan(w.now)
			b := w.NextBatch(noRoom, w.now)
			x.apply(b)
			w.BatchCommitted(b, w.now)
			w.collectOrders()
			other = w.acceptStarts()[0]
		}
		s := x.successor(w.now)
		s.addServers("c")
		s.commitTo(x)
		for _, o := range s.acceptStarts() {
			gomega.Expect(o.Task.Job).NotTo(gomega.Equal(id))
		}
		s.Register(newServer(last.Server.ID), s.now)
		s.reportEnd(last.Server.ID, last.Task, last.Number, job.EndFailed)
		s.commitTo(x)
		gomega.Expect(s.JobPhase(id).Phase).To(gomega.Equal(job.Failed))
	})
})
