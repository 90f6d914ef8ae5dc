package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

var _ = ginkgo.Describe("a job's course", func() {
	var w *world
	ginkgo.BeforeEach(func() {
		w = newWorld()
		w.serve("a", "b")
	})

	ginkgo.It("answers the caller and starts tasks only once they are stored", func() {
		answered := false
		w.Submit(record(1, 3), w.now, func(scheduler.Reply) { answered = true })
		w.Plan(w.now)
		b := w.Next(most, w.now)
		w.take()
		gomega.Expect(answered).To(gomega.BeFalse())
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty())
		w.Committed(b, w.now)
		w.take()
		gomega.Expect(answered).To(gomega.BeTrue())
		gomega.Expect(w.orders.Starts).To(gomega.HaveLen(3))
	})

	ginkgo.It("runs at once whatever the clock of the entry that took it shows", func() {
		for i, d := range []time.Duration{3 * time.Second, -3 * time.Second} {
			m := record(i+1, 1)
			m.AcceptedMs = w.now.Add(d).UnixMilli()
			gomega.Expect(w.submit(m).Result).To(gomega.Equal(scheduler.Done))
			gomega.Expect(w.started()).To(gomega.HaveLen(1))
		}
	})

	ginkgo.It("runs after a takeover by an entry whose clock is behind", func() {
		m := record(1, 1)
		m.AcceptedMs = w.now.Add(3 * time.Second).UnixMilli()
		w.Restore(m, nil, w.now)
		w.commit()
		gomega.Expect(w.started()).To(gomega.HaveLen(1))
	})

	ginkgo.It("is one job however often it is submitted", func() {
		gomega.Expect(w.submit(record(1, 3)).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.submit(record(1, 3)).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.started()).To(gomega.HaveLen(3))
	})

	ginkgo.It("acknowledges an end only once it is stored", func() {
		w.submit(record(1, 1))
		s := w.started()[0]
		w.end(s.Server.ID, s.Task, 1, job.EndDone)
		h, _ := w.Hold(s.Server.ID, w.now)
		gomega.Expect(h.Acknowledged).To(gomega.BeZero())
		gomega.Expect(w.State(s.Task.Job).Phase).NotTo(gomega.Equal(job.Completed))
		w.commit()
		h, _ = w.Hold(s.Server.ID, w.now)
		gomega.Expect(h.Acknowledged).To(gomega.Equal(uint64(1)))
		gomega.Expect(w.State(s.Task.Job).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("opens a step when the steps before it are done", func() {
		m := record(1, 2)
		m.Steps = append(m.Steps, &schema.StepRecord{Count: 1, CpuMilli: 1000, EstimateMs: 500, After: []int32{0}})
		w.submit(m)
		l := w.started()
		gomega.Expect(l).To(gomega.HaveLen(2))
		w.end(l[0].Server.ID, l[0].Task, 1, job.EndDone)
		w.commit()
		gomega.Expect(w.started()).To(gomega.BeEmpty())
		w.end(l[1].Server.ID, l[1].Task, 1, job.EndDone)
		w.commit()
		next := w.started()
		gomega.Expect(next).To(gomega.HaveLen(1))
		gomega.Expect(next[0].Task.Step).To(gomega.Equal(1))
	})

	ginkgo.It("fails after its attempts, on different servers while there are any", func() {
		w.submit(record(1, 1))
		servers := []string{}
		for range 3 {
			s := w.started()[0]
			servers = append(servers, s.Server.ID)
			w.end(s.Server.ID, s.Task, s.Number, job.EndFailed)
			w.commit()
		}
		gomega.Expect(servers[0]).NotTo(gomega.Equal(servers[1]))
		gomega.Expect(w.State(record(1, 1).Id).Phase).To(gomega.Equal(job.Failed))
		gomega.Expect(w.started()).To(gomega.BeEmpty())
	})

	ginkgo.It("stops at a cancel and starts nothing more", func() {
		w.submit(record(1, 2))
		l := w.started()
		var r scheduler.Reply
		w.Cancel(l[0].Task.Job, w.now, func(x scheduler.Reply) { r = x })
		w.commit()
		gomega.Expect(r.Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.stopped()).To(gomega.HaveLen(2))
		w.end(l[0].Server.ID, l[0].Task, 1, job.EndStopped)
		w.pass(time.Second)
		gomega.Expect(w.started()).To(gomega.BeEmpty())
		gomega.Expect(w.State(l[0].Task.Job).Phase).To(gomega.Equal(job.Cancelled))
	})

	ginkgo.It("knows nothing of a job that nobody submitted", func() {
		gomega.Expect(w.State("00000000000000ff").Result).To(gomega.Equal(scheduler.Absent))
	})

	ginkgo.It("refuses a job that fits no server, with a long time to come back", func() {
		r := w.submit(record(1, 1, func(s *schema.StepRecord) { s.CpuMilli = 65000 }))
		gomega.Expect(r.Result).To(gomega.Equal(scheduler.Refused))
		gomega.Expect(r.RetryAfter).To(gomega.Equal(time.Minute))
	})

	ginkgo.It("starts the members of a gang at once or not at all", func() {
		gang := func(s *schema.StepRecord) { s.Gang = true; s.CpuMilli = 40000 }
		w.submit(record(1, 3, gang))
		gomega.Expect(w.started()).To(gomega.BeEmpty())
		w.serve("c")
		w.pass(100 * time.Millisecond)
		l := w.started()
		gomega.Expect(l).To(gomega.HaveLen(3))
		w.end(l[0].Server.ID, l[0].Task, 1, job.EndDone)
		w.commit()
		gomega.Expect(w.State(l[0].Task.Job).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("starts occurrences at their times", func() {
		m := record(1, 1)
		m.Repeats, m.IntervalMs, m.FirstDueMs = 2, 2000, start.Add(time.Second).UnixMilli()
		w.submit(m)
		gomega.Expect(w.started()).To(gomega.BeEmpty())
		w.pass(1100 * time.Millisecond)
		l := w.started()
		gomega.Expect(l).To(gomega.HaveLen(1))
		w.list(l[0].Server.ID, running(l[0], 10))
		w.end(l[0].Server.ID, l[0].Task, 1, job.EndDone)
		w.pass(500 * time.Millisecond)
		gomega.Expect(w.started()).To(gomega.BeEmpty())
		w.pass(1500 * time.Millisecond)
		w.serve("a", "b")
		w.pass(100 * time.Millisecond)
		gomega.Expect(w.started()[0].Task.Occurrence).To(gomega.Equal(1))
	})

	ginkgo.It("spreads tasks by their anti-affinity", func() {
		w.submit(record(1, 3, func(s *schema.StepRecord) { s.AntiAffinity = 1 }))
		l := w.started()
		gomega.Expect(l).To(gomega.HaveLen(2))
		gomega.Expect(l[0].Server.ID).NotTo(gomega.Equal(l[1].Server.ID))
	})

	ginkgo.It("uses only servers with the label that a step requires", func() {
		w.submit(record(1, 1, func(s *schema.StepRecord) { s.Requires = "fast" }))
		gomega.Expect(w.started()).To(gomega.BeEmpty())
		v := sample("c")
		v.Labels = []string{"fast", "rack-2"}
		w.Register(v, w.now)
		w.list("c")
		w.commit()
		gomega.Expect(w.started()[0].Server.ID).To(gomega.Equal("c"))
	})

	ginkgo.It("resumes from the checkpoint that a stop left", func() {
		w.submit(record(1, 1, func(s *schema.StepRecord) { s.Checkpointing = true }))
		s := w.started()[0]
		r := running(s, 40)
		r.Checkpoint = "half"
		w.list(s.Server.ID, r)
		w.end(s.Server.ID, s.Task, 1, job.EndLeaseExpired)
		w.commit()
		next := w.started()[0]
		gomega.Expect(next.Checkpoint).To(gomega.Equal("half"))
		gomega.Expect(next.Number).To(gomega.Equal(2))
	})
})

// A turn's start brings dozens of jobs at once, each of which waits for its commit to be answered.
var _ = ginkgo.Describe("a commit", func() {
	ginkgo.It("carries as many new jobs as records, each with its course", func() {
		w := newWorld()
		w.serve("a", "b")
		answered := 0
		for i := range most + 5 {
			w.Submit(record(i+1, 1), w.now, func(scheduler.Reply) { answered++ })
		}
		w.Plan(w.now)
		b := w.Next(most, w.now)
		gomega.Expect(b.Jobs).To(gomega.HaveLen(most))
		gomega.Expect(b.Course).To(gomega.BeEmpty())
		w.Committed(b, w.now)
		gomega.Expect(answered).To(gomega.Equal(most))

		next := newWorld()
		for _, x := range b.Jobs {
			next.Restore(x.Record, nil, next.now)
		}
		t := next.Explain(b.Jobs[0].ID, next.now).Jobs[0].Tasks[0]
		gomega.Expect([]any{t.State, t.Server, t.Run}).To(gomega.Equal([]any{"unsure", "a", int32(1)}), "its assignment is known")
	})

	ginkgo.It("writes a course of its own once it changes", func() {
		w := newWorld()
		w.serve("a")
		w.submit(record(1, 1))
		for _, o := range w.started() {
			w.end("a", o.Task, o.Number, job.EndDone)
		}
		b := w.Next(most, w.now)
		gomega.Expect([]int{len(b.Jobs), len(b.Course)}).To(gomega.Equal([]int{0, 1}))
	})
})
