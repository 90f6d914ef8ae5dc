package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Accepted jobs, each within the limits, took all memory of the owner, and that of each next one.
var _ = ginkgo.Describe("the memory of jobs", func() {
	const memory = 1 << 20
	var w *harness
	ginkgo.BeforeEach(func() {
		l := bounds
		l.JobMemoryBytes = memory
		w = newHarnessWith(l)
		w.addServers("s-1")
	})
	small := func(s *schema.StepRecord) { s.CpuMilli, s.Lasting = 1, true }

	ginkgo.It("leaves room for small jobs beside large ones", func() {
		last := scheduler.Reply{}
		accepted := 0
		for last = w.submit(newRecord(1, 300, small)); last.Result == scheduler.Done; last = w.submit(newRecord(accepted+1, 300, small)) {
			accepted++
			gomega.Expect(accepted).To(gomega.BeNumerically("<", 100))
		}
		gomega.Expect(accepted).To(gomega.BeNumerically(">", 0))
		gomega.Expect([]any{last.Result, last.Cause, last.RetryAfter}).To(gomega.Equal([]any{scheduler.Refused, scheduler.CauseMemory, 5 * time.Second}))
		gomega.Expect(w.submit(newRecord(1000, 1, small)).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.submit(newRecord(1, 300, small)).Result).To(gomega.Equal(scheduler.Done), "accepted before")
	})

	ginkgo.It("is free again once jobs are forgotten", func() {
		id := 1
		for ; w.submit(newRecord(id, 300, small)).Result == scheduler.Done; id++ {
			gomega.Expect(id).To(gomega.BeNumerically("<", 100))
		}
		for i := 1; i < id; i++ {
			w.Cancel(newRecord(i, 1).Id, w.now, func(scheduler.Reply) {})
		}
		w.commit()
		w.acceptStarts()
		w.reportRuns("s-1")
		w.commit()
		w.advance(bounds.JobRetention + time.Second)
		w.commit()
		gomega.Expect(w.submit(newRecord(id, 300, small)).Result).To(gomega.Equal(scheduler.Done))
	})

	// A scheduled job of 10,000 occurrences in the past opened them all at once.
	ginkgo.It("opens overdue occurrences one after the other", func() {
		m := newRecord(1, 300, func(s *schema.StepRecord) { s.CpuMilli = 1 })
		m.Repeats, m.IntervalMs, m.FirstDueMs = 10000, 1, 1
		gomega.Expect(w.submit(m).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(len(w.acceptStarts())).To(gomega.BeNumerically("<=", memory/640))
	})
})
