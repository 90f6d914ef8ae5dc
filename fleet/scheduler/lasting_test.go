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

var _ = ginkgo.Describe("lasting tasks", func() {
	var w *world
	ginkgo.BeforeEach(func() {
		w = newWorld()
		w.serve("a", "b", "c")
	})

	// place starts a step of lasting tasks, one on each server.
	place := func(count, miss int32) []scheduler.Start {
		w.pass(time.Second)
		w.serve("a", "b", "c")
		w.submit(record(1, count, lasting, func(s *schema.StepRecord) { s.AntiAffinity = 1; s.MayMiss = miss }))
		l := w.started()
		for _, s := range l {
			w.list(s.Server.ID, running(s, 100))
		}
		return l
	}

	ginkgo.It("run again however they end", func() {
		l := place(1, 0)
		w.end(l[0].Server.ID, l[0].Task, 1, job.EndFailed)
		w.commit()
		gomega.Expect(w.started()).To(gomega.HaveLen(1))
	})

	ginkgo.It("are evacuated one after the other as their step can miss them", func() {
		l := place(2, 1)
		w.Evacuate(l[0].Server.VM, w.now)
		w.Evacuate(l[1].Server.VM, w.now)
		w.take()
		gomega.Expect(w.stopped()).To(gomega.HaveLen(1))
	})

	ginkgo.It("stay while another of their step is on a silent server", func() {
		l := place(2, 1)
		w.Unreachable(l[1].Server.ID, start, w.now, "cut")
		w.Evacuate(l[0].Server.VM, w.now)
		w.take()
		gomega.Expect(w.stopped()).To(gomega.BeEmpty())
	})

	ginkgo.It("stay until the stops of an earlier owner would have shown", func() {
		x := newWorld()
		m := record(1, 2, lasting, func(s *schema.StepRecord) { s.MayMiss = 1 })
		p := &schema.JobProgress{}
		for i, n := range []string{"a", "b"} {
			p.Tasks = append(p.Tasks, &schema.TaskProgress{Index: int32(i), LastRun: 1, Server: n, BornMs: start.UnixMilli()})
		}
		x.Restore(m, p, x.now)
		look := func() {
			x.serve("c")
			for i, n := range []string{"a", "b"} {
				x.Register(sample(n), x.now)
				x.list(n, server.Run{Task: job.Task{Job: m.Id, Index: i}, Number: 1, Percent: 100})
			}
		}
		look()
		x.Evacuate("vm-a", x.now)
		x.take()
		gomega.Expect(x.stopped()).To(gomega.BeEmpty(), "the other may be about to end by an earlier order")
		x.pass(600 * time.Millisecond)
		look()
		x.Evacuate("vm-a", x.now)
		x.take()
		gomega.Expect(x.stopped()).To(gomega.HaveLen(1))
	})

	ginkgo.It("leave a draining server at once", func() {
		l := place(1, 1)
		v := sample(l[0].Server.ID)
		v.Draining, v.MinRemaining = true, 2*time.Second
		w.Register(v, w.now)
		w.pass(100 * time.Millisecond)
		gomega.Expect(w.stopped()).To(gomega.HaveLen(1))
		w.end(v.ID, l[0].Task, 1, job.EndStopped)
		w.commit()
		gomega.Expect(w.started()).To(gomega.ConsistOf(gomega.HaveField("Server.ID", gomega.Not(gomega.Equal(v.ID)))))
	})

	ginkgo.It("stay where they are while there is no other place for them", func() {
		l := place(3, 3)
		w.Evacuate(l[0].Server.VM, w.now)
		w.take()
		gomega.Expect(w.stopped()).To(gomega.BeEmpty())
	})

	ginkgo.It("have their pool ask for one more server when one finds no place", func() {
		l := place(3, 3)
		w.Evacuate(l[0].Server.VM, w.now)
		gomega.Expect(w.Needs(w.now)["carving"].Servers).To(gomega.Equal(4))
		big := func(s *schema.StepRecord) { s.MemoryMb = 90000 }
		w.submit(record(2, 4, lasting, big))
		gomega.Expect(w.started()).To(gomega.HaveLen(3))
		gomega.Expect(w.Needs(w.now)["carving"].Servers).To(gomega.Equal(4))
		w.pass(100 * time.Millisecond)
	})

	ginkgo.It("need the cores that come with their memory where memory runs out first", func() {
		w.submit(record(1, 6, lasting, func(s *schema.StepRecord) { s.CpuMilli = 1000; s.MemoryMb = 64000 }))
		gomega.Expect(w.Needs(w.now)["carving"].Cores).To(gomega.BeNumerically("~", 6*32, 1))
	})

	ginkgo.It("need as many servers as their anti-affinity asks for and one to move to", func() {
		place(3, 1)
		gomega.Expect(w.Needs(w.now)["carving"].Servers).To(gomega.Equal(4))
	})
})

var _ = ginkgo.Describe("serving tasks", func() {
	ginkgo.It("have what fills beside them slowed before they are over their target, and let go again slowly", func() {
		w := newWorld()
		w.serve("a")
		w.submit(record(1, 1, lasting, func(s *schema.StepRecord) { s.TargetMs = 100 }))
		w.submit(record(2, 1, lasting, func(s *schema.StepRecord) { s.Fills = true }))
		l := w.started()
		gomega.Expect(l).To(gomega.HaveLen(2))
		tail := func(ms int64) []int {
			w.pass(800 * time.Millisecond)
			serving := running(l[0], 100)
			serving.Metric = ms
			w.list("a", serving, running(l[1], 100))
			w.orders.Paces = nil
			w.pass(100 * time.Millisecond)
			p := []int{}
			for _, x := range w.orders.Paces {
				p = append(p, x.Percent)
			}
			return p
		}
		gomega.Expect(tail(50)).To(gomega.BeEmpty())
		gomega.Expect(tail(90)).To(gomega.Equal([]int{33}))
		gomega.Expect(tail(110)).To(gomega.Equal([]int{0}))
		gomega.Expect(tail(70)).To(gomega.BeEmpty())
		gomega.Expect(tail(40)).To(gomega.Equal([]int{15}))
	})
})
