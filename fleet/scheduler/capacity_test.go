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

// These tests guard against starts that bring a server over the capacity that it reports. Some servers start whatever
// they are ordered to.
var _ = ginkgo.Describe("the capacity of servers", func() {
	var w *harness
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a")
	})

	// sized sets the CPU of a step's tasks, in thousandths of a core.
	sized := func(cpu int64) func(*schema.StepRecord) {
		return func(s *schema.StepRecord) { s.CpuMilli = cpu }
	}
	resize := func(cpu int64) {
		v := newServer("a")
		v.Capacity.CPU = cpu
		w.Register(v, w.now)
	}
	// submitUncommitted submits a job whose assignments are made, and returns the batch that stores them.
	submitUncommitted := func(m *schema.JobRecord) *scheduler.Batch {
		w.Submit(m, w.now, func(scheduler.Reply) {})
		w.Plan(w.now)
		return w.NextBatch(batchLimit, w.now)
	}

	ginkgo.It("counts for placement as soon as a server reports that it has shrunk", func() {
		w.submit(newRecord(1, 1, sized(20000)))
		s := w.acceptStarts()[0]
		w.reportRuns("a", listedRun(s, 10))
		resize(30000)
		w.submit(newRecord(2, 1, sized(20000)))
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		gomega.Expect(w.takeStops()).To(gomega.BeEmpty(), "what runs may continue")
	})

	ginkgo.It("is used at once when a server reports that it has grown", func() {
		resize(10000)
		w.submit(newRecord(1, 1, longRunning, sized(10000)))
		w.acceptStarts()
		w.submit(newRecord(2, 1, longRunning, sized(10000)))
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		resize(20000)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("limits the starts whose assignment is stored after the server has shrunk", func() {
		b := submitUncommitted(newRecord(1, 3, sized(20000)))
		resize(40000)
		w.BatchCommitted(b, w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(2))
	})

	ginkgo.It("withdraws a whole gang if the server of a member has shrunk", func() {
		b := submitUncommitted(newRecord(1, 3, sized(20000), func(s *schema.StepRecord) { s.Gang = true }))
		resize(40000)
		w.BatchCommitted(b, w.now)
		w.collectOrders()
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty())
		resize(60000)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(3))
	})

	ginkgo.It("includes the run of a speculative task that was restarted elsewhere, until a listing no longer has it", func() {
		w.submit(newRecord(1, 1, sized(40000), func(s *schema.StepRecord) { s.Speculative = true }))
		s := w.acceptStarts()[0]
		w.reportRuns("a", listedRun(s, 10))
		w.ServerUnreachable("a", start, w.now, "timeout")
		w.advance(1500 * time.Millisecond)
		w.reportRuns("a", listedRun(s, 20))
		w.submit(newRecord(2, 1, sized(40000)))
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty(), "the run is being stopped")
		gomega.Expect(w.takeStops()).To(gomega.HaveLen(1))
		w.reportEnd("a", s.Task, s.Number, job.EndStopped)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("is not known to be free while a run of unknown size is being stopped", func() {
		k := job.Task{Job: "00000000000000aa"}
		w.reportRuns("a", server.Run{Task: k, Number: 4})
		w.submit(newRecord(1, 1))
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.reportEnd("a", k, 4, job.EndStopped)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("limits a stored assignment once a listing shows a run of unknown size", func() {
		b := submitUncommitted(newRecord(1, 1))
		w.reportRuns("a", server.Run{Task: job.Task{Job: "00000000000000aa"}, Number: 4})
		w.BatchCommitted(b, w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
	})

	ginkgo.It("includes a run that is being stopped until its end is listed", func() {
		w.submit(newRecord(1, 1, sized(40000)))
		s := w.acceptStarts()[0]
		w.reportRuns("a", listedRun(s, 10))
		w.Cancel(newRecord(1, 1).Id, w.now, func(scheduler.Reply) {})
		w.submit(newRecord(2, 1, sized(40000)))
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.reportEnd("a", s.Task, s.Number, job.EndStopped)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("includes an unanswered start until its order has expired", func() {
		w.submit(newRecord(1, 1, sized(40000)))
		s := w.orders.Starts[0]
		w.orders.Starts = nil
		w.StartAnswered(s, scheduler.NoAnswer, 0, w.now)
		w.Cancel(newRecord(1, 1).Id, w.now, func(scheduler.Reply) {})
		w.submit(newRecord(2, 1, sized(40000)))
		w.advance(time.Second)
		w.reportRuns("a")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty(), "the order may still be carried out")
		w.advance(500 * time.Millisecond)
		w.reportRuns("a")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("includes the runs of a previous owner", func() {
		x := newHarness()
		x.Restore(newRecord(1, 1, sized(40000)), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, x.now)
		x.Register(newServer("a"), x.now)
		x.submit(newRecord(2, 1, sized(40000)))
		gomega.Expect(x.acceptStarts()).To(gomega.BeEmpty(), "no listing has arrived")
		x.reportRuns("a", server.Run{Task: job.Task{Job: newRecord(1, 1).Id}, Number: 1, Percent: 10})
		x.commit()
		gomega.Expect(x.acceptStarts()).To(gomega.BeEmpty())
	})

	ginkgo.It("waits for a listing when a server turns out to run on after its termination was ordered", func() {
		w.submit(newRecord(1, 1, longRunning, sized(40000)))
		s := w.acceptStarts()[0]
		w.ServerTerminated("a", start, w.now)
		w.ServerMayRun("a")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.reportRuns("a", listedRun(s, 100))
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty(), "the run is being stopped")
		w.reportEnd("a", s.Task, s.Number, job.EndStopped)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("is not known for an incarnation that a listing reveals until it registers", func() {
		later := start.Add(time.Second)
		report := func() {
			w.PreparePoll("a", w.now)
			w.ListingReceived("a", server.Listing{StartedAt: later, Clock: w.clock()}, w.now)
		}
		report()
		w.now = w.now.Add(100 * time.Millisecond)
		report()
		w.submit(newRecord(1, 1, sized(40000)))
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		v := newServer("a")
		v.StartedAt, v.Capacity.CPU = later, 20000
		w.Register(v, w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		v.Capacity.CPU = 40000
		w.Register(v, w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("that has shrunk does not make a job hopeless, since it may grow again", func() {
		resize(1000)
		gomega.Expect(w.submit(newRecord(1, 1, longRunning, sized(60000))).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.submit(newRecord(2, 1, longRunning, sized(70000))).Result).To(gomega.Equal(scheduler.Refused))
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		resize(64000)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("that has shrunk does not make a job hopeless where a new owner has seen no larger one", func() {
		x := newHarness()
		v := newServer("a")
		v.Capacity.CPU = 1000
		x.Register(v, x.now)
		x.reportRuns("a")
		x.SetVMCapacities(map[string]job.Size{v.VM: newServer("a").Capacity})
		gomega.Expect(x.submit(newRecord(1, 1, longRunning, sized(60000))).Result).To(gomega.Equal(scheduler.Done))
	})

	ginkgo.It("that has shrunk below what long-running tasks take does not reduce what other servers offer", func() {
		w.submit(newRecord(1, 1, longRunning, sized(60000)))
		w.acceptStarts()
		resize(4000)
		w.addServers("b")
		w.now = w.now.Add(100 * time.Millisecond)
		gomega.Expect(w.submit(newRecord(2, 3, sized(16000))).Result).To(gomega.Equal(scheduler.Done))
	})
})

var _ = ginkgo.Describe("anti-affinity", func() {
	ginkgo.It("includes a run that was restarted elsewhere, until a listing no longer has it", func() {
		w := newHarness()
		w.addServers("a")
		w.submit(newRecord(1, 1, func(s *schema.StepRecord) { s.Speculative, s.AntiAffinity = true, 1 }))
		s := w.acceptStarts()[0]
		w.reportRuns("a", listedRun(s, 10))
		w.ServerUnreachable("a", start, w.now, "timeout")
		w.advance(1500 * time.Millisecond)
		w.reportRuns("a", listedRun(s, 20))
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
	})
})
