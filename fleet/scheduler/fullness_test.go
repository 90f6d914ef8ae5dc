package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// A pass remembers for which demands a pool has no server. It must not rule out tasks that are smaller, or that waited only
// behind one with stricter constraints.
var _ = ginkgo.Describe("a pass over a nearly full pool", func() {
	ginkgo.DescribeTable("places what fits behind a task that does not", func(first func(*schema.StepRecord), placed int) {
		w := newHarness()
		w.addServers("a", "b")
		w.submit(newRecord(1, 2, func(s *schema.StepRecord) { s.CpuMilli = 44000; s.AntiAffinity = 1 }))
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(2))
		w.submit(newRecord(2, 3, first))
		begun := len(w.acceptStarts())
		w.now = w.now.Add(time.Millisecond)
		w.submit(newRecord(3, 2, func(s *schema.StepRecord) { s.CpuMilli = 10000 }))
		gomega.Expect(len(w.acceptStarts())).To(gomega.Equal(placed), "beside %d of the first", begun)
	},
		ginkgo.Entry("a larger one", func(s *schema.StepRecord) { s.CpuMilli = 30000 }, 2),
		ginkgo.Entry("one as large with anti-affinity", func(s *schema.StepRecord) { s.CpuMilli = 10000; s.AntiAffinity = 1 }, 2),
		ginkgo.Entry("one that needs a label", func(s *schema.StepRecord) { s.CpuMilli = 1000; s.Requires = "other" }, 2),
		ginkgo.Entry("one as large with the pool full", func(s *schema.StepRecord) { s.CpuMilli = 20000 }, 0))
})

// While every pool has a backlog of late work, the VMs that hold it are missing where the next turn begins.
var _ = ginkgo.Describe("the need of a pool", func() {
	ginkgo.It("counts a quarter of the resources of overdue work", func() {
		w := newHarness()
		w.addServers("a")
		m := newRecord(1, 40, func(s *schema.StepRecord) { s.CpuMilli = 32000; s.EstimateMs = 100 })
		w.Restore(m, &schema.JobProgress{}, w.now)
		before := w.PoolNeeds(w.now)["carving"].Cores
		gomega.Expect(before).To(gomega.BeNumerically("~", 40*32, 1))
		w.now = w.now.Add(20 * time.Second)
		gomega.Expect(w.PoolNeeds(w.now)["carving"].Cores).To(gomega.BeNumerically("~", 10*32, 1))
	})
})

// A pass over new steps alone must not be the only one that sees a server which takes work again.
var _ = ginkgo.It("a task that waits is placed once a server lists its runs again, though nothing else happens", func() {
	w := newHarness()
	w.addServers("a")
	w.now = w.now.Add(3 * time.Second)
	w.submit(newRecord(1, 1))
	gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
	w.submit(newRecord(2, 1, func(s *schema.StepRecord) { s.Requires = "other" }))
	w.reportRuns("a")
	w.commit()
	gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
})
