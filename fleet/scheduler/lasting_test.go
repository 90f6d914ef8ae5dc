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

var _ = ginkgo.Describe("long-running tasks", func() {
	var w *harness
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a", "b", "c")
	})

	// place starts a step of long-running tasks, one per server, of which maxUnavailable may be interrupted at a time.
	place := func(count, maxUnavailable int32) []scheduler.StartOrder {
		w.advance(time.Second)
		w.addServers("a", "b", "c")
		w.submit(newRecord(1, count, longRunning, func(s *schema.StepRecord) { s.AntiAffinity = 1; s.MayMiss = maxUnavailable }))
		l := w.acceptStarts()
		for _, s := range l {
			w.reportRuns(s.Server.ID, listedRun(s, 100))
		}
		return l
	}

	ginkgo.It("restart however they end", func() {
		l := place(1, 0)
		w.reportEnd(l[0].Server.ID, l[0].Task, 1, job.EndFailed)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("are evacuated one at a time when one of their step may be unavailable", func() {
		l := place(2, 1)
		w.Evacuate(l[0].Server.VM, w.now)
		w.Evacuate(l[1].Server.VM, w.now)
		w.collectOrders()
		gomega.Expect(w.takeStops()).To(gomega.HaveLen(1))
	})

	ginkgo.It("stay while another task of their step is on an unreachable server", func() {
		l := place(2, 1)
		w.ServerUnreachable(l[1].Server.ID, start, w.now, "cut")
		w.Evacuate(l[0].Server.VM, w.now)
		w.collectOrders()
		gomega.Expect(w.takeStops()).To(gomega.BeEmpty())
	})

	ginkgo.It("stay until stop orders of a previous owner would have taken effect", func() {
		x := newHarness()
		m := newRecord(1, 2, longRunning, func(s *schema.StepRecord) { s.MayMiss = 1 })
		p := &schema.JobProgress{}
		for i, n := range []string{"a", "b"} {
			p.Tasks = append(p.Tasks, &schema.TaskProgress{Index: int32(i), LastRun: 1, Server: n, BornMs: start.UnixMilli()})
		}
		x.Restore(m, p, x.now)
		poll := func() {
			x.addServers("c")
			for i, n := range []string{"a", "b"} {
				x.Register(newServer(n), x.now)
				x.reportRuns(n, server.Run{Task: job.Task{Job: m.Id, Index: i}, Number: 1, Percent: 100})
			}
		}
		poll()
		x.Evacuate("vm-a", x.now)
		x.collectOrders()
		gomega.Expect(x.takeStops()).To(gomega.BeEmpty(), "a previous owner may have ordered the other task to stop")
		x.advance(600 * time.Millisecond)
		poll()
		x.Evacuate("vm-a", x.now)
		x.collectOrders()
		gomega.Expect(x.takeStops()).To(gomega.HaveLen(1))
	})

	ginkgo.It("are evacuated from a draining server at once", func() {
		l := place(1, 1)
		v := newServer(l[0].Server.ID)
		v.Draining, v.MinRemaining = true, 2*time.Second
		w.Register(v, w.now)
		w.advance(100 * time.Millisecond)
		gomega.Expect(w.takeStops()).To(gomega.HaveLen(1))
		w.reportEnd(v.ID, l[0].Task, 1, job.EndStopped)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.ConsistOf(gomega.HaveField("Server.ID", gomega.Not(gomega.Equal(v.ID)))))
	})

	// The stop for a wave takes effect up to a few hundred milliseconds after the order. A stop on a draining server that is
	// ordered later could take effect first, and both tasks were away at once.
	ginkgo.It("stay on a draining server while another task of their step is being stopped, until the server leaves soon", func() {
		l := place(2, 1)
		w.Evacuate(l[0].Server.VM, w.now)
		w.collectOrders()
		gomega.Expect(w.takeStops()).To(gomega.HaveLen(1))
		v := newServer(l[1].Server.ID)
		v.Draining, v.MinRemaining = true, 4*time.Second
		w.Register(v, w.now)
		keep := func(d time.Duration) int {
			for until := w.now.Add(d); w.now.Before(until); {
				w.reportRuns(l[1].Server.ID, listedRun(l[1], 100))
				for _, n := range []string{"a", "b", "c"} {
					if n != l[0].Server.ID && n != l[1].Server.ID {
						w.addServers(n)
					}
				}
				w.advance(100 * time.Millisecond)
			}
			return len(w.takeStops())
		}
		gomega.Expect(keep(time.Second)).To(gomega.BeZero())
		gomega.Expect(keep(2 * time.Second)).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("stay while no other server has capacity", func() {
		l := place(3, 3)
		w.Evacuate(l[0].Server.VM, w.now)
		w.collectOrders()
		gomega.Expect(w.takeStops()).To(gomega.BeEmpty())
	})

	ginkgo.It("raise the need of their pool by one server when one cannot be placed", func() {
		l := place(3, 3)
		w.Evacuate(l[0].Server.VM, w.now)
		gomega.Expect(w.PoolNeeds(w.now)["carving"].Servers).To(gomega.Equal(4))
		big := func(s *schema.StepRecord) { s.MemoryMb = 90000 }
		w.submit(newRecord(2, 4, longRunning, big))
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(3))
		gomega.Expect(w.PoolNeeds(w.now)["carving"].Servers).To(gomega.Equal(4))
		w.advance(100 * time.Millisecond)
	})

	ginkgo.It("need the cores that come with their memory when memory is the scarcer resource", func() {
		w.submit(newRecord(1, 6, longRunning, func(s *schema.StepRecord) { s.CpuMilli = 1000; s.MemoryMb = 64000 }))
		gomega.Expect(w.PoolNeeds(w.now)["carving"].Cores).To(gomega.BeNumerically("~", 6*32, 1))
	})

	ginkgo.It("need the servers that their anti-affinity requires and one to move to", func() {
		place(3, 1)
		gomega.Expect(w.PoolNeeds(w.now)["carving"].Servers).To(gomega.Equal(4))
	})
})

var _ = ginkgo.Describe("serving tasks", func() {
	var w *harness
	var l []scheduler.StartOrder
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a")
		w.submit(newRecord(1, 1, longRunning, func(s *schema.StepRecord) { s.TargetMs = 100 }))
		w.submit(newRecord(2, 1, longRunning, func(s *schema.StepRecord) { s.Fills = true }))
		l = w.acceptStarts()
		gomega.Expect(l).To(gomega.HaveLen(2))
	})
	// tail lists the tasks with a tail latency of the serving one and returns the paces that are ordered then.
	tail := func(ms int64) []int {
		w.advance(800 * time.Millisecond)
		serving := listedRun(l[0], 100)
		serving.Metric = ms
		w.reportRuns("a", serving, listedRun(l[1], 100))
		w.orders.Paces = nil
		w.advance(100 * time.Millisecond)
		p := []int{}
		for _, x := range w.orders.Paces {
			p = append(p, x.Percent)
		}
		return p
	}

	ginkgo.It("throttle best-effort tasks on their server before they exceed their target, and restore them in steps", func() {
		gomega.Expect(tail(50)).To(gomega.BeEmpty())
		gomega.Expect(tail(90)).To(gomega.Equal([]int{33}))
		gomega.Expect(tail(110)).To(gomega.Equal([]int{0}))
		gomega.Expect(tail(70)).To(gomega.BeEmpty())
		gomega.Expect(tail(40)).To(gomega.Equal([]int{15}))
	})

	// A lost order, or one that an older one overtook, left them over their target for good.
	ginkgo.It("throttle best-effort tasks again while they are over their target", func() {
		gomega.Expect(tail(110)).To(gomega.Equal([]int{0}))
		gomega.Expect(tail(110)).To(gomega.Equal([]int{0}))
		gomega.Expect(tail(70)).To(gomega.BeEmpty())
	})

	ginkgo.It("get an order again that was not answered", func() {
		gomega.Expect(tail(90)).To(gomega.Equal([]int{33}))
		w.PaceUnanswered(w.orders.Paces[0])
		gomega.Expect(tail(70)).To(gomega.Equal([]int{33}))
		gomega.Expect(tail(70)).To(gomega.BeEmpty())
	})

	// They stayed throttled for good, since the next owner took their pace for full.
	ginkgo.It("leave best-effort tasks at the pace of the next owner after a takeover", func() {
		x := newHarness()
		for i, o := range []func(*schema.StepRecord){func(s *schema.StepRecord) { s.TargetMs = 100 }, func(s *schema.StepRecord) { s.Fills = true }} {
			x.Restore(newRecord(i+1, 1, longRunning, o), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, x.now)
		}
		x.Register(newServer("a"), x.now)
		w = x
		gomega.Expect(tail(40)).To(gomega.Equal([]int{100}))
		gomega.Expect(tail(40)).To(gomega.BeEmpty())
	})
})

// An owner that is behind processes listings long after they were made. It took tasks that were still starting up then for
// stalled, and stopped them when they were at work.
var _ = ginkgo.Describe("a long-running task that starts up", func() {
	ginkgo.It("is judged by the server's clock", func() {
		w := newHarness()
		w.addServers("a", "b")
		w.submit(newRecord(1, 1, longRunning))
		l := w.acceptStarts()
		id := l[0].Server.ID
		w.now = w.now.Add(500 * time.Millisecond)
		w.reportRuns(id, listedRun(l[0], 60))
		made := w.clock() + 500*time.Millisecond
		w.now = w.now.Add(5 * time.Second)
		w.ListingReceived(id, server.Listing{StartedAt: start, Clock: made, Runs: []server.Run{listedRun(l[0], 60)}}, w.now)
		w.Tick(w.now)
		w.collectOrders()
		gomega.Expect(w.takeStops()).To(gomega.BeEmpty())
	})

	ginkgo.It("is stopped when its server shows no progress for longer than a startup takes", func() {
		w := newHarness()
		w.addServers("a", "b")
		w.submit(newRecord(1, 1, longRunning))
		l := w.acceptStarts()
		for range 50 {
			w.now = w.now.Add(100 * time.Millisecond)
			w.reportRuns(l[0].Server.ID, listedRun(l[0], 60))
			w.Tick(w.now)
		}
		w.collectOrders()
		gomega.Expect(w.takeStops()).NotTo(gomega.BeEmpty())
	})
})
