package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// Guards against waiting for the lease of a server although its VM runs the next one already, and against taking a server
// for ended without proof, which would run its tasks twice.
var _ = ginkgo.Describe("a later server on the VM of a lost one", func() {
	var w *harness
	var lost scheduler.StartOrder
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a")
		w.submit(newRecord(1, 1, longRunning))
		lost = w.acceptStarts()[0]
		w.reportRuns("a", listedRun(lost, 100))
		w.addServers("c")
	})

	// next returns a registration on the VM of server a.
	next := func(startedAt time.Time) server.Server {
		v := newServer("b")
		v.VM, v.StartedAt = "vm-a", startedAt
		return v
	}
	answer := func(v server.Server) {
		w.ListingReceived(v.ID, server.Listing{StartedAt: v.StartedAt, Clock: w.now.Sub(v.StartedAt) + time.Millisecond}, w.now)
	}
	// starts returns the orders within the next 300 ms, in which no lease expires.
	starts := func() []scheduler.StartOrder {
		w.advance(300 * time.Millisecond)
		return w.acceptStarts()
	}
	lose := func() {
		w.advance(700 * time.Millisecond)
		w.ServerUnreachable("a", start, w.now, "timeout")
		w.Unregister("a", w.now)
	}

	ginkgo.It("lets its tasks restart at once when it answers", func() {
		lose()
		v := next(w.now)
		w.Register(v, w.now)
		answer(v)
		gomega.Expect(starts()).To(gomega.ConsistOf(gomega.HaveField("Task", lost.Task)))
	})

	ginkgo.It("lets them restart after a takeover once both are known", func() {
		x := newHarness()
		x.Restore(newRecord(1, 1, longRunning), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, x.now)
		w = x
		w.advance(time.Second)
		w.addServers("c")
		v := next(w.now)
		w.Register(v, w.now)
		answer(v)
		gomega.Expect(starts()).To(gomega.BeEmpty(), "the lost server's VM is not known")
		w.Register(newServer("a"), w.now)
		gomega.Expect(starts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("proves nothing as long as only its registration is known", func() {
		lose()
		w.Register(next(w.now), w.now)
		gomega.Expect(starts()).To(gomega.BeEmpty())
	})

	ginkgo.It("proves nothing if it started earlier", func() {
		lose()
		v := next(start.Add(-time.Second))
		w.Register(v, w.now)
		answer(v)
		gomega.Expect(starts()).To(gomega.BeEmpty())
	})

	ginkgo.It("proves nothing if the VMs have no names", func() {
		unnamed := newServer("a")
		unnamed.VM = ""
		w.Register(unnamed, w.now)
		lose()
		v := next(w.now)
		v.VM = ""
		w.Register(v, w.now)
		answer(v)
		gomega.Expect(starts()).To(gomega.BeEmpty())
	})

	ginkgo.It("proves nothing about a server that has answered since, as after a step of the VM's clock", func() {
		w.now = w.now.Add(1100 * time.Millisecond)
		v := next(start.Add(time.Second))
		w.Register(v, w.now)
		answer(v)
		h, _ := w.PreparePoll(v.ID, w.now)
		gomega.Expect(h.LeaseUntil).NotTo(gomega.BeZero(), "it has answered")
		w.now = w.now.Add(10 * time.Millisecond)
		w.reportRuns("a", listedRun(lost, 100))
		lose()
		gomega.Expect(starts()).To(gomega.BeEmpty())
	})
})
