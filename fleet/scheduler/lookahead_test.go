package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

func sized(cpu int64) func(*schema.StepRecord) {
	return func(s *schema.StepRecord) { s.CpuMilli = cpu }
}

// Load: a server of 64 cores, kept full by tasks of 8 cores of which one ends each 100 ms, while a task of 40 cores waits.
var _ = ginkgo.Describe("placement that looks ahead", func() {
	var w *harness
	var running []activeRun
	var largeID string
	step := func() {
		w.now = w.now.Add(100 * time.Millisecond)
		w.submit(newRecord(int(w.now.UnixMilli()), 1, sized(8000)))
		w.Tick(w.now)
		w.commit()
		for _, o := range w.acceptStarts() {
			running = append(running, activeRun{o, w.now.Add(800 * time.Millisecond)})
		}
		for _, n := range []string{"a", "b"} {
			l := []activeRun{}
			for _, r := range running {
				if r.start.Server.ID == n {
					l = append(l, r)
				}
			}
			left := w.reportActiveRuns(n, l)
			for _, r := range running {
				if r.start.Server.ID != n {
					left = append(left, r)
				}
			}
			running = left
		}
	}
	largeStartsWithin := func(steps int) bool {
		for range steps {
			step()
			for _, r := range running {
				if r.start.Task.Job == largeID {
					return true
				}
			}
		}
		return false
	}
	begin := func(lookAhead bool, names ...string) {
		limits := bounds
		limits.LookAhead = lookAhead
		w, running = newHarnessWith(limits), nil
		w.addServers(names...)
		for range 16 {
			step()
		}
		m := newRecord(1, 1, sized(40000))
		largeID = m.Id
		w.submit(m)
	}
	explained := func() string { return w.Explain(largeID, w.now).Jobs[0].Tasks[0].WaitsFor }

	ginkgo.It("starts a large task though small ones would fill each gap", func() {
		begin(false, "a")
		gomega.Expect(largeStartsWithin(30)).To(gomega.BeFalse())
		begin(true, "a")
		gomega.Expect(largeStartsWithin(12)).To(gomega.BeTrue())
	})
	ginkgo.It("says which server a large task waits for", func() {
		begin(true, "a")
		gomega.Eventually(func() string { step(); return explained() }).Should(gomega.ContainSubstring("server a, which is reserved for it"))
	})
	// A reservation of a server that takes no new work would keep its task waiting and hold nothing.
	ginkgo.DescribeTable("drops the reservation of a server that takes no new work", func(lose func(v server.Server)) {
		begin(true, "a")
		step()
		gomega.Expect(explained()).To(gomega.ContainSubstring("reserved for it"))
		lose(newServer("a"))
		w.now = w.now.Add(50 * time.Millisecond)
		w.Tick(w.now)
		w.commit()
		gomega.Expect(explained()).NotTo(gomega.ContainSubstring("reserved for it"))
	},
		ginkgo.Entry("cordoned", func(server.Server) { w.Cordon("vm-a", true) }),
		ginkgo.Entry("draining", func(v server.Server) { v.Draining = true; w.Register(v, w.now) }),
		ginkgo.Entry("unreachable", func(v server.Server) { w.ServerUnreachable("a", v.StartedAt, w.now, "lost") }),
		ginkgo.Entry("moved to another pool", func(v server.Server) { v.Pool = "other"; w.Register(v, w.now) }),
		ginkgo.Entry("restarted", func(v server.Server) { v.StartedAt = w.now; w.Register(v, w.now) }))
})
