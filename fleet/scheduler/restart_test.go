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

// Guards against running a task twice because a server that restarted under its ID carries out an order to the incarnation before.
var _ = ginkgo.Describe("a server that restarts under its ID", func() {
	var w *harness
	var o scheduler.StartOrder
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a")
		w.submit(newRecord(1, 1))
		o = w.acceptStarts()[0]
		w.addServers("b")
		w.now = w.now.Add(time.Second)
	})

	restarted := func() server.Server {
		v := newServer("a")
		v.StartedAt = w.now
		return v
	}
	starts := func() []scheduler.StartOrder {
		w.commit()
		return w.acceptStarts()
	}

	ginkgo.DescribeTable("keeps a run that it has begun by an earlier order", func(learn func(server.Server)) {
		v := restarted()
		learn(v)
		gomega.Expect(starts()).To(gomega.BeEmpty())
		w.ListingReceived("a", server.Listing{StartedAt: v.StartedAt, Clock: time.Millisecond, Runs: []server.Run{listedRun(o, 10)}}, w.now)
		gomega.Expect(starts()).To(gomega.BeEmpty())
		gomega.Expect(w.takeStops()).To(gomega.BeEmpty())
		w.ListingReceived("a", server.Listing{
			StartedAt: v.StartedAt, Clock: 2 * time.Millisecond, Ends: []server.EndedRun{{Sequence: 1, Task: o.Task, Number: o.Number, Reason: job.EndDone}},
		}, w.now)
		w.commit()
		gomega.Expect(w.JobPhase(o.Task.Job).Phase).To(gomega.Equal(job.Completed))
	},
		ginkgo.Entry("if it registers", func(v server.Server) { w.Register(v, w.now) }),
		ginkgo.Entry("if it answers a call to the earlier incarnation", func(v server.Server) { w.ServerRestarted("a", start, v.StartedAt, w.now) }),
		ginkgo.Entry("if it restarts once more", func(v server.Server) {
			x := v
			x.StartedAt = v.StartedAt.Add(-time.Millisecond)
			w.Register(x, w.now)
			w.Register(v, w.now)
		}))

	ginkgo.It("keeps a run that a previous owner ordered from the earlier incarnation", func() {
		x := newHarness()
		x.now = x.now.Add(10 * time.Second)
		x.Restore(newRecord(1, 1), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, x.now)
		w = x
		w.addServers("b")
		v := restarted()
		w.Register(v, w.now)
		gomega.Expect(starts()).To(gomega.BeEmpty())
		w.ListingReceived("a", server.Listing{StartedAt: v.StartedAt, Clock: time.Millisecond, Runs: []server.Run{listedRun(o, 10)}}, w.now)
		gomega.Expect(starts()).To(gomega.BeEmpty())
		gomega.Expect(w.takeStops()).To(gomega.BeEmpty())
	})

	ginkgo.It("keeps a run of the earlier incarnation that is restored after one of the later", func() {
		x := newHarness()
		x.Restore(newRecord(2, 1), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli() + 500}}}, x.now)
		x.Restore(newRecord(1, 1), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, x.now)
		w = x
		w.addServers("b")
		gomega.Expect(starts()).To(gomega.BeEmpty())
	})

	ginkgo.It("frees the run once the longest lease has expired if it never answers", func() {
		w.Register(restarted(), w.now)
		since := w.now
		for len(starts()) == 0 {
			w.advance(100 * time.Millisecond)
			w.reportRuns("b")
			gomega.Expect(w.now.Sub(since)).To(gomega.BeNumerically("<", bounds.MaxLease+3*time.Second))
		}
		gomega.Expect(w.now.Sub(since)).To(gomega.BeNumerically(">", bounds.MaxLease))
	})

	ginkgo.It("is called with the number of its restarts, also after it was forgotten", func() {
		v := restarted()
		w.Register(v, w.now)
		h, _ := w.PreparePoll("a", w.now)
		gomega.Expect(h.Server.Restarts).To(gomega.Equal(1))
		w.ListingReceived("a", server.Listing{StartedAt: v.StartedAt, Clock: time.Millisecond}, w.now)
		w.Unregister("a", w.now)
		w.advance(40 * time.Second)
		w.Register(v, w.now)
		h, _ = w.PreparePoll("a", w.now)
		gomega.Expect(h.Server.Restarts).To(gomega.Equal(1))
	})

	// The later incarnation erased the end of a run that it had begun by an order to the earlier one, and the task was run again.
	ginkgo.It("gets no acknowledgement of the earlier incarnation's ends while a start order is not answered", func() {
		acknowledged := func() uint64 {
			w.commit()
			h, _ := w.PreparePoll("a", w.now)
			return h.AcknowledgedEnd
		}
		w.reportEnd("a", o.Task, o.Number, job.EndDone)
		gomega.Expect(acknowledged()).To(gomega.Equal(uint64(1)))
		w.Unregister("b", w.now)
		w.submit(newRecord(2, 1))
		gomega.Expect(w.orders.Starts).To(gomega.ConsistOf(gomega.HaveField("Server.ID", "a")))
		gomega.Expect(acknowledged()).To(gomega.BeZero())
		w.acceptStarts()
		gomega.Expect(acknowledged()).To(gomega.Equal(uint64(1)))
	})

	ginkgo.It("gets no acknowledgement of the earlier incarnation's ends while it is unreachable", func() {
		w.ListingReceived("a", server.Listing{
			StartedAt: start, Clock: w.clock(), Ends: []server.EndedRun{{Sequence: 1, Task: o.Task, Number: o.Number, Reason: job.EndDone}},
		}, w.now)
		w.commit()
		h, _ := w.PreparePoll("a", w.now)
		gomega.Expect(h.AcknowledgedEnd).To(gomega.Equal(uint64(1)))
		w.ServerUnreachable("a", start, w.now, "connection refused")
		h, _ = w.PreparePoll("a", w.now)
		gomega.Expect(h.AcknowledgedEnd).To(gomega.BeZero())
	})
})

// Servers report their clocks in whole milliseconds. An answer within the millisecond of a listing was taken for one of the next
// incarnation, and the server got no renewals and no runs for 6 s.
var _ = ginkgo.Describe("a server that answers a start order within a millisecond of its listing", func() {
	ginkgo.It("has not restarted", func() {
		w := newHarness()
		w.addServers("a")
		listed := w.clock()
		w.now = w.now.Add(700 * time.Microsecond)
		w.submit(newRecord(1, 1))
		gomega.Expect(w.orders.Starts).To(gomega.HaveLen(1))
		w.now = w.now.Add(200 * time.Microsecond)
		w.StartAnswered(w.orders.Starts[0], scheduler.Started, listed, w.now)
		gomega.Expect(w.ServerLoad("a", w.now).Usable).To(gomega.BeTrue())
		h, _ := w.PreparePoll("a", w.now)
		gomega.Expect(h.LeaseUntil).NotTo(gomega.BeZero())
	})
})

// Guards against a server that is never used again because its clock was set back before it restarted under its ID.
var _ = ginkgo.Describe("a server that restarts under its ID with an earlier start time", func() {
	var w *harness
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a")
		w.now = w.now.Add(time.Second)
	})

	at := func(startedAt time.Time) server.Server {
		v := newServer("a")
		v.StartedAt = startedAt
		return v
	}
	earlier := at(start.Add(-time.Hour))
	// polled returns the start time of the incarnation that is polled.
	polled := func() time.Time {
		h, _ := w.PreparePoll("a", w.now)
		return h.Server.StartedAt
	}
	expectUsed := func() {
		gomega.Expect(polled()).To(gomega.Equal(earlier.StartedAt))
		w.ListingReceived("a", server.Listing{StartedAt: earlier.StartedAt, Clock: time.Millisecond}, w.now)
		w.submit(newRecord(1, 1))
		gomega.Expect(w.acceptStarts()).To(gomega.ConsistOf(gomega.HaveField("Server.StartedAt", earlier.StartedAt)))
	}

	ginkgo.It("is used once it has registered", func() {
		w.Register(earlier, w.now)
		expectUsed()
	})

	ginkgo.It("is used once it has answered and registered, also if a registration of before comes in between", func() {
		w.ServerRestarted("a", start, earlier.StartedAt, w.now)
		w.Register(at(start), w.now)
		w.Register(earlier, w.now)
		expectUsed()
	})

	ginkgo.It("is used if an order has ended it before", func() {
		w.ServerTerminated("a", start, w.now)
		w.ServerMayRun("a")
		w.ServerRestarted("a", start, earlier.StartedAt, w.now)
		w.Register(earlier, w.now)
		expectUsed()
	})

	ginkgo.It("is used by the next owner, which knows the earlier incarnation from a run", func() {
		w = newHarness()
		w.Restore(newRecord(2, 1), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, w.now)
		w.Register(earlier, w.now)
		gomega.Expect(polled()).To(gomega.Equal(earlier.StartedAt))
	})

	ginkgo.It("is not replaced by an answer to a call of before", func() {
		w.Register(earlier, w.now)
		w.ServerRestarted("a", start, start.Add(time.Second), w.now)
		expectUsed()
	})

	ginkgo.It("is replaced by the incarnation that answers in its place, whichever start time that has", func() {
		w = newHarness()
		w.Restore(newRecord(2, 1), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, w.now)
		w.Register(earlier, w.now)
		w.ServerRestarted("a", earlier.StartedAt, start, w.now)
		w.Register(earlier, w.now)
		w.Register(at(start), w.now)
		gomega.Expect(polled()).To(gomega.Equal(start))
	})
})
