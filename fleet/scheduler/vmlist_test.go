package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// listVM applies a reading of the list of VMs with the VM of server a, on which the list shows the server with the ID.
func (w *harness) listVM(x vm.PlatformState, serverID string) {
	w.VMsListed(map[string]vm.PlatformStatus{"vm-a": {Name: "vm-a", State: x, ServerID: serverID}}, w.now, w.now)
	w.commit()
}

// newHarnessWithRun returns a harness in which server a runs a long-running task and server b is idle.
func newHarnessWithRun() (*harness, scheduler.StartOrder) {
	w := newHarness()
	w.addServers("a")
	w.submit(newRecord(1, 1, longRunning))
	o := w.acceptStarts()[0]
	w.reportRuns("a", listedRun(o, 100))
	return w, o
}

// keepServing lets time pass while server b answers.
func (w *harness) keepServing(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); {
		w.advance(100 * time.Millisecond)
		w.addServers("b")
		w.commit()
	}
}

// The owner and a server are lost together. The next owner knows the server's runs from the store only, and waited for all
// leases that its predecessor may have renewed, though the platform lists the VM as down.
var _ = ginkgo.Describe("a long-running task whose server was lost together with the owner", func() {
	restore := func(startedAt time.Time) *harness {
		w := newHarness()
		w.Restore(newRecord(1, 1, longRunning), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: startedAt.UnixMilli()}}}, w.now)
		v := newServer("a")
		v.StartedAt = startedAt
		w.Register(v, w.now)
		w.addServers("b")
		return w
	}

	ginkgo.It("restarts once the platform lists the VM as down", func() {
		w := restore(start.Add(-time.Minute))
		w.keepServing(time.Second)
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.listVM(vm.Down, "")
		gomega.Expect(w.acceptStarts()).To(gomega.ConsistOf(gomega.HaveField("Server.ID", "b")))
	})

	ginkgo.It("waits for the lease if the list may be older than the server", func() {
		w := restore(start.Add(-time.Second))
		w.listVM(vm.Down, "")
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("a server that the list of VMs no longer shows", func() {
	ginkgo.DescribeTable("loses its runs", func(x vm.PlatformState, serverID string) {
		w, o := newHarnessWithRun()
		w.listVM(vm.Up, "a")
		w.keepServing(4 * time.Second)
		w.ServerUnreachable("a", start, w.now, "no answer")
		w.listVM(x, serverID)
		gomega.Expect(w.acceptStarts()).To(gomega.ConsistOf(gomega.HaveField("Number", o.Number+1)))
		_, poll := w.PreparePoll("a", w.now)
		gomega.Expect(poll).To(gomega.BeFalse())
	},
		ginkgo.Entry("if the VM is down", vm.Down, ""),
		ginkgo.Entry("if the VM is moving", vm.Moving, ""),
		ginkgo.Entry("if another server runs on the VM", vm.Up, "c"))

	ginkgo.DescribeTable("keeps its runs", func(known time.Duration, shown string, reachable bool, x vm.PlatformState, serverID string) {
		w, _ := newHarnessWithRun()
		w.listVM(vm.Up, shown)
		w.keepServing(known)
		if reachable {
			w.addServers("b")
		} else {
			w.ServerUnreachable("a", start, w.now, "no answer")
		}
		w.listVM(x, serverID)
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
	},
		ginkgo.Entry("if it answers", 4*time.Second, "a", true, vm.Down, ""),
		ginkgo.Entry("if the list shows it", 4*time.Second, "a", false, vm.Up, "a"),
		ginkgo.Entry("if the list shows no server on a VM that has just come up", 4*time.Second, "a", false, vm.Up, ""),
		ginkgo.Entry("if the list has never shown it and may be older", 4*time.Second, "z", false, vm.Down, ""),
		ginkgo.Entry("if it is as young as the list may be old", 2*time.Second, "a", false, vm.Down, ""))

	// Servers that run nothing are polled less often than others, so tasks were placed on them after they had crashed.
	ginkgo.It("gets no runs before it has missed a poll", func() {
		w := newHarness()
		w.addServers("a")
		w.listVM(vm.Up, "a")
		w.advance(9 * time.Second)
		w.addServers("a")
		w.listVM(vm.Down, "")
		w.submit(newRecord(1, 1))
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.advance(2 * time.Second)
		w.reportRuns("a")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1), "the list was wrong")
	})

	ginkgo.It("is polled again once the list shows it again", func() {
		w, _ := newHarnessWithRun()
		w.listVM(vm.Up, "a")
		w.keepServing(4 * time.Second)
		w.ServerUnreachable("a", start, w.now, "no answer")
		w.listVM(vm.Down, "")
		w.listVM(vm.Up, "a")
		_, poll := w.PreparePoll("a", w.now)
		gomega.Expect(poll).To(gomega.BeTrue())
	})

	ginkgo.It("is used again after a restart under its ID", func() {
		w, _ := newHarnessWithRun()
		w.listVM(vm.Up, "a")
		w.keepServing(4 * time.Second)
		w.ServerUnreachable("a", start, w.now, "no answer")
		w.listVM(vm.Down, "")
		v := newServer("a")
		v.StartedAt = w.now
		w.Register(v, w.now)
		w.ListingReceived("a", server.Listing{StartedAt: w.now, Clock: time.Second}, w.now)
		gomega.Expect(w.ServerLoad("a", w.now).Usable).To(gomega.BeTrue())
	})
})

// A start order was repeated after the server's runs had been given up, and a server that had restarted under its ID carried it out
// while the task ran elsewhere.
var _ = ginkgo.Describe("a start order without an answer whose server the list of VMs shows as ended", func() {
	var w *harness
	var o scheduler.StartOrder
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a")
		w.listVM(vm.Up, "a")
		w.advance(4 * time.Second)
		w.addServers("a")
		w.submit(newRecord(1, 1))
		gomega.Expect(w.orders.Starts).To(gomega.HaveLen(1))
		o = w.orders.Starts[0]
		w.orders.Starts = nil
		w.ServerUnreachable("a", start, w.now, "no answer")
		w.addServers("b")
	})
	restart := func() server.Server {
		v := newServer("a")
		v.StartedAt = w.now
		w.Register(v, w.now)
		return v
	}
	starts := func() []scheduler.StartOrder {
		w.commit()
		return w.acceptStarts()
	}

	ginkgo.It("is not repeated, and keeps its task from other servers until it can no longer arrive", func() {
		gomega.Expect(w.AwaitsStart(o)).To(gomega.BeFalse())
		w.listVM(vm.Down, "")
		gomega.Expect(starts()).To(gomega.BeEmpty())
		w.StartAnswered(o, scheduler.NoAnswer, 0, w.now)
		w.advance(200 * time.Millisecond)
		w.listVM(vm.Down, "")
		gomega.Expect(starts()).To(gomega.BeEmpty(), "the last attempt may still arrive")
		w.keepServing(200 * time.Millisecond)
		w.listVM(vm.Down, "")
		gomega.Expect(starts()).To(gomega.ConsistOf(gomega.HaveField("Server.ID", "b")))
	})

	ginkgo.It("keeps its task from other servers if the reading of the list began earlier", func() {
		readAt := w.now
		w.StartAnswered(o, scheduler.NoAnswer, 0, w.now)
		w.keepServing(2 * time.Second)
		w.VMsListed(map[string]vm.PlatformStatus{"vm-a": {Name: "vm-a", State: vm.Down}}, readAt, w.now)
		gomega.Expect(starts()).To(gomega.BeEmpty())
	})

	ginkgo.It("leaves its task to the server that has carried it out after a restart", func() {
		w.listVM(vm.Down, "")
		v := restart()
		w.keepServing(2 * time.Second)
		w.ListingReceived("a", server.Listing{StartedAt: v.StartedAt, Clock: 2 * time.Second, Runs: []server.Run{listedRun(o, 10)}}, w.now)
		gomega.Expect(starts()).To(gomega.BeEmpty())
		gomega.Expect(w.takeStops()).To(gomega.BeEmpty())
		w.ListingReceived("a", server.Listing{
			StartedAt: v.StartedAt, Clock: 3 * time.Second, Ends: []server.EndedRun{{Sequence: 1, Task: o.Task, Number: o.Number, Reason: job.EndDone}},
		}, w.now)
		w.commit()
		gomega.Expect(w.JobPhase(o.Task.Job).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("leaves its task to a server that answers it after a restart, whatever is known of the earlier incarnation", func() {
		w.StartAnswered(o, scheduler.Started, 100*time.Millisecond, w.now)
		w.reportRuns("a")
		gomega.Expect(starts()).To(gomega.BeEmpty(), "a late listing of the earlier incarnation")
		h, _ := w.PreparePoll("a", w.now)
		gomega.Expect(h.AcknowledgedEnd).To(gomega.BeZero())
		w.ServerUnreachable("a", start, w.now, "no answer")
		w.VMsListed(map[string]vm.PlatformStatus{"vm-a": {Name: "vm-a", State: vm.Down}}, w.now.Add(-time.Second), w.now)
		gomega.Expect(starts()).To(gomega.BeEmpty(), "an earlier reading of the list")
		v := restart()
		w.ListingReceived("a", server.Listing{StartedAt: v.StartedAt, Clock: time.Second, Runs: []server.Run{listedRun(o, 10)}}, w.now)
		gomega.Expect(starts()).To(gomega.BeEmpty())
		gomega.Expect(w.takeStops()).To(gomega.BeEmpty())
	})

	ginkgo.It("frees its task if no reading of the list shows the VM any more", func() {
		w.listVM(vm.Down, "")
		w.keepServing(6 * time.Second)
		gomega.Expect(starts()).To(gomega.BeEmpty(), "a run that had begun may still have its lease")
		w.keepServing(2 * time.Second)
		gomega.Expect(starts()).To(gomega.ConsistOf(gomega.HaveField("Server.ID", "b")))
	})

	ginkgo.It("leaves its server in use if that goes on listing its runs in spite of a misleading clock", func() {
		w.StartAnswered(o, scheduler.Started, 100*time.Millisecond, w.now)
		for range 80 {
			w.advance(100 * time.Millisecond)
			w.reportRuns("a", listedRun(o, 10))
		}
		gomega.Expect(starts()).To(gomega.BeEmpty())
		gomega.Expect(w.ServerLoad("a", w.now).Usable).To(gomega.BeTrue())
	})

	// The run was given up at once, and ran twice.
	ginkgo.It("keeps its task from other servers if its server lists it in spite of a misleading clock and then falls silent", func() {
		w.StartAnswered(o, scheduler.Started, 100*time.Millisecond, w.now)
		w.reportRuns("a", listedRun(o, 10))
		w.ServerUnreachable("a", start, w.now, "connection reset")
		w.keepServing(6 * time.Second)
		gomega.Expect(starts()).To(gomega.BeEmpty(), "the run may still have its lease")
		w.keepServing(time.Second)
		gomega.Expect(starts()).To(gomega.ConsistOf(gomega.HaveField("Server.ID", "b")))
	})

	ginkgo.It("leaves its task to other servers at once if another server runs on the VM", func() {
		w.listVM(vm.Up, "c")
		gomega.Expect(starts()).To(gomega.ConsistOf(gomega.HaveField("Server.ID", "b")))
	})
})

var _ = ginkgo.DescribeTable("a start order without an answer is not repeated", func(withdraw func(w *harness, o scheduler.StartOrder)) {
	w := newHarness()
	w.addServers("a")
	w.submit(newRecord(1, 1))
	o := w.orders.Starts[0]
	gomega.Expect(w.AwaitsStart(o)).To(gomega.BeTrue())
	withdraw(w, o)
	gomega.Expect(w.AwaitsStart(o)).To(gomega.BeFalse())
},
	ginkgo.Entry("once its job is cancelled", func(w *harness, o scheduler.StartOrder) { w.Cancel(o.Task.Job, w.now, func(scheduler.Reply) {}) }),
	ginkgo.Entry("once the server is unreachable", func(w *harness, _ scheduler.StartOrder) { w.ServerUnreachable("a", start, w.now, "no answer") }),
	ginkgo.Entry("once the server has restarted", func(w *harness, _ scheduler.StartOrder) { w.ServerRestarted("a", start, start.Add(time.Second), w.now) }),
	ginkgo.Entry("once the VM is taken down", func(w *harness, _ scheduler.StartOrder) { w.ServerTerminated("a", start, w.now) }),
	ginkgo.Entry("once a listing shows the run", func(w *harness, o scheduler.StartOrder) { w.reportRuns("a", listedRun(o, 1)) }))
