package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

var _ = ginkgo.Describe("the lifecycle of a job", func() {
	var w *harness
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a", "b")
	})

	ginkgo.It("answers the caller and starts tasks only once the job and its assignments are stored", func() {
		answered := false
		w.Submit(newRecord(1, 3), w.now, func(scheduler.Reply) { answered = true })
		w.Plan(w.now)
		b := w.NextBatch(batchLimit, w.now)
		w.collectOrders()
		gomega.Expect(answered).To(gomega.BeFalse())
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty())
		w.BatchCommitted(b, w.now)
		w.collectOrders()
		gomega.Expect(answered).To(gomega.BeTrue())
		gomega.Expect(w.orders.Starts).To(gomega.HaveLen(3))
	})

	ginkgo.It("starts at once even if the clock of the accepting entry is ahead or behind", func() {
		for i, d := range []time.Duration{3 * time.Second, -3 * time.Second} {
			m := newRecord(i+1, 1)
			m.AcceptedMs = w.now.Add(d).UnixMilli()
			gomega.Expect(w.submit(m).Result).To(gomega.Equal(scheduler.Done))
			gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
		}
	})

	ginkgo.It("starts at once after a takeover by an entry whose clock is behind", func() {
		m := newRecord(1, 1)
		m.AcceptedMs = w.now.Add(3 * time.Second).UnixMilli()
		w.Restore(m, nil, w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	// Jobs whose start orders had not reached their servers were missing from the count until the leases of these had expired.
	ginkgo.It("waits after a takeover until a task is known to have started", func() {
		assigned := &schema.TaskProgress{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}
		w = newHarness()
		w.Restore(newRecord(1, 1), &schema.JobProgress{Tasks: []*schema.TaskProgress{assigned}}, w.now)
		w.Restore(newRecord(2, 2), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Done: true}}}, w.now)
		w.commit()
		gomega.Expect(w.PendingJobs("plans").Pending).To(gomega.Equal(1))
		w.Register(newServer("a"), w.now)
		w.reportRuns("a", server.Run{Task: job.Task{Job: newRecord(1, 1).Id}, Number: 1, Percent: 10})
		gomega.Expect(w.PendingJobs("plans").Pending).To(gomega.BeZero())
	})

	ginkgo.It("has started after a takeover if its task has ended meanwhile", func() {
		w = newHarness()
		w.Restore(newRecord(1, 2), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, w.now)
		w.Register(newServer("a"), w.now)
		w.reportEnd("a", job.Task{Job: newRecord(1, 2).Id}, 1, job.EndDone)
		gomega.Expect(w.PendingJobs("plans").Pending).To(gomega.BeZero())
	})

	ginkgo.It("is idempotent on submission", func() {
		gomega.Expect(w.submit(newRecord(1, 3)).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.submit(newRecord(1, 3)).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(3))
	})

	ginkgo.It("acknowledges the end of a run only once it is stored", func() {
		w.submit(newRecord(1, 1))
		s := w.acceptStarts()[0]
		w.reportEnd(s.Server.ID, s.Task, 1, job.EndDone)
		h, _ := w.PreparePoll(s.Server.ID, w.now)
		gomega.Expect(h.AcknowledgedEnd).To(gomega.BeZero())
		gomega.Expect(w.JobPhase(s.Task.Job).Phase).NotTo(gomega.Equal(job.Completed))
		w.commit()
		h, _ = w.PreparePoll(s.Server.ID, w.now)
		gomega.Expect(h.AcknowledgedEnd).To(gomega.Equal(uint64(1)))
		gomega.Expect(w.JobPhase(s.Task.Job).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("starts a step when the steps that it depends on are done", func() {
		m := newRecord(1, 2)
		m.Steps = append(m.Steps, &schema.StepRecord{Count: 1, CpuMilli: 1000, EstimateMs: 500, After: []int32{0}})
		w.submit(m)
		l := w.acceptStarts()
		gomega.Expect(l).To(gomega.HaveLen(2))
		w.reportEnd(l[0].Server.ID, l[0].Task, 1, job.EndDone)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.reportEnd(l[1].Server.ID, l[1].Task, 1, job.EndDone)
		w.commit()
		next := w.acceptStarts()
		gomega.Expect(next).To(gomega.HaveLen(1))
		gomega.Expect(next[0].Task.Step).To(gomega.Equal(1))
	})

	ginkgo.It("fails when its attempts are exhausted, retrying on another server if there is one", func() {
		w.submit(newRecord(1, 1))
		servers := []string{}
		for range 3 {
			s := w.acceptStarts()[0]
			servers = append(servers, s.Server.ID)
			w.reportEnd(s.Server.ID, s.Task, s.Number, job.EndFailed)
			w.commit()
		}
		gomega.Expect(servers[0]).NotTo(gomega.Equal(servers[1]))
		gomega.Expect(w.JobPhase(newRecord(1, 1).Id).Phase).To(gomega.Equal(job.Failed))
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
	})

	ginkgo.It("stops its runs when cancelled and starts no more", func() {
		w.submit(newRecord(1, 2))
		l := w.acceptStarts()
		var r scheduler.Reply
		w.Cancel(l[0].Task.Job, w.now, func(x scheduler.Reply) { r = x })
		w.commit()
		gomega.Expect(r.Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.takeStops()).To(gomega.HaveLen(2))
		w.reportEnd(l[0].Server.ID, l[0].Task, 1, job.EndStopped)
		w.advance(time.Second)
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		gomega.Expect(w.JobPhase(l[0].Task.Job).Phase).To(gomega.Equal(job.Cancelled))
	})

	ginkgo.It("reports an unknown job as not found", func() {
		gomega.Expect(w.JobPhase("00000000000000ff").Result).To(gomega.Equal(scheduler.NotFound))
	})

	ginkgo.It("refuses a job that fits no server, with a long retry delay", func() {
		r := w.submit(newRecord(1, 1, func(s *schema.StepRecord) { s.CpuMilli = 65000 }))
		gomega.Expect(r.Result).To(gomega.Equal(scheduler.Refused))
		gomega.Expect(r.RetryAfter).To(gomega.Equal(time.Minute))
	})

	ginkgo.It("starts all members of a gang at once or none", func() {
		gang := func(s *schema.StepRecord) { s.Gang = true; s.CpuMilli = 40000 }
		w.submit(newRecord(1, 3, gang))
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.addServers("c")
		w.advance(100 * time.Millisecond)
		l := w.acceptStarts()
		gomega.Expect(l).To(gomega.HaveLen(3))
		w.reportEnd(l[0].Server.ID, l[0].Task, 1, job.EndDone)
		w.commit()
		gomega.Expect(w.JobPhase(l[0].Task.Job).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("starts occurrences when they are due", func() {
		m := newRecord(1, 1)
		m.Repeats, m.IntervalMs, m.FirstDueMs = 2, 2000, start.Add(time.Second).UnixMilli()
		w.submit(m)
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.advance(1100 * time.Millisecond)
		l := w.acceptStarts()
		gomega.Expect(l).To(gomega.HaveLen(1))
		w.reportRuns(l[0].Server.ID, listedRun(l[0], 10))
		w.reportEnd(l[0].Server.ID, l[0].Task, 1, job.EndDone)
		w.advance(500 * time.Millisecond)
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.advance(1500 * time.Millisecond)
		w.addServers("a", "b")
		w.advance(100 * time.Millisecond)
		gomega.Expect(w.acceptStarts()[0].Task.Occurrence).To(gomega.Equal(1))
	})

	ginkgo.It("places at most as many tasks of a step on a server as its anti-affinity allows", func() {
		w.submit(newRecord(1, 3, func(s *schema.StepRecord) { s.AntiAffinity = 1 }))
		l := w.acceptStarts()
		gomega.Expect(l).To(gomega.HaveLen(2))
		gomega.Expect(l[0].Server.ID).NotTo(gomega.Equal(l[1].Server.ID))
	})

	ginkgo.It("places tasks only on servers with the label that the step requires", func() {
		w.submit(newRecord(1, 1, func(s *schema.StepRecord) { s.Requires = "fast" }))
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		v := newServer("c")
		v.Labels = []string{"fast", "rack-2"}
		w.Register(v, w.now)
		w.reportRuns("c")
		w.commit()
		gomega.Expect(w.acceptStarts()[0].Server.ID).To(gomega.Equal("c"))
	})

	ginkgo.It("resumes from the last checkpoint of a run whose lease expired", func() {
		w.submit(newRecord(1, 1, func(s *schema.StepRecord) { s.Checkpointing = true }))
		s := w.acceptStarts()[0]
		r := listedRun(s, 40)
		r.Checkpoint = "half"
		w.reportRuns(s.Server.ID, r)
		w.reportEnd(s.Server.ID, s.Task, 1, job.EndLeaseExpired)
		w.commit()
		next := w.acceptStarts()[0]
		gomega.Expect(next.Checkpoint).To(gomega.Equal("half"))
		gomega.Expect(next.Number).To(gomega.Equal(2))
	})
})

// Dozens of jobs may arrive at once, and each caller waits for the commit of its job. A commit must therefore hold as
// many jobs as it may hold records, which it can only if the progress of a new job is part of its record.
var _ = ginkgo.Describe("a commit", func() {
	ginkgo.It("holds as many new jobs as records, each with its progress", func() {
		w := newHarness()
		w.addServers("a", "b")
		answered := 0
		for i := range batchLimit + 5 {
			w.Submit(newRecord(i+1, 1), w.now, func(scheduler.Reply) { answered++ })
		}
		w.Plan(w.now)
		b := w.NextBatch(batchLimit, w.now)
		gomega.Expect(b.Jobs).To(gomega.HaveLen(batchLimit))
		gomega.Expect(b.Log).To(gomega.BeNil())
		w.BatchCommitted(b, w.now)
		gomega.Expect(answered).To(gomega.Equal(batchLimit))

		next := newHarness()
		for _, x := range b.Jobs {
			next.Restore(x.Record, nil, next.now)
		}
		t := next.Explain(b.Jobs[0].JobID, next.now).Jobs[0].Tasks[0]
		gomega.Expect([]any{t.State, t.Server, t.Run}).To(gomega.Equal([]any{"unsure", "a", int32(1)}), "the assignment is restored")
	})

	ginkgo.It("of an end deletes the job's record and stores its progress", func() {
		w := newHarness()
		w.addServers("a")
		w.submit(newRecord(1, 1))
		for _, o := range w.acceptStarts() {
			w.reportEnd("a", o.Task, o.Number, job.EndDone)
		}
		b := w.NextBatch(batchLimit, w.now)
		gomega.Expect([]int{len(b.Jobs), len(b.Ended)}).To(gomega.Equal([]int{0, 1}))
	})
})
