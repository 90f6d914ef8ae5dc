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

// When load rises, callers are refused and resubmit seconds later, when their job can hardly finish within its target
// duration any more. Admitting it to a busy pool would make on-time jobs late.
var _ = ginkgo.Describe("a job resubmitted after a refusal", func() {
	work := func(id string, count int32) *schema.JobRecord {
		return &schema.JobRecord{Id: id, Queue: "plans", Steps: []*schema.StepRecord{{Count: count, CpuMilli: 16000, EstimateMs: 1000}}}
	}
	var w *harness
	finish := func() {
		l := w.acceptStarts()
		w.now = w.now.Add(time.Second)
		ends := []server.EndedRun{}
		for _, o := range l {
			w.endSequences["s-1"]++
			ends = append(ends, server.EndedRun{Sequence: w.endSequences["s-1"], Task: o.Task, Number: o.Number, Reason: job.EndDone})
		}
		w.reportListing("s-1", ends)
		w.commit()
	}
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("s-1")
		gomega.Expect(w.submit(work("00000000000000a1", 4)).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.submit(work("00000000000000a2", 3)).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.submit(work("00000000000000a3", 4)).Result).To(gomega.Equal(scheduler.Refused))
		finish()
		finish()
	})

	ginkgo.It("does not delay jobs that can still finish on time", func() {
		gomega.Expect(w.submit(work("00000000000000a4", 3)).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.submit(work("00000000000000a3", 4)).Result).To(gomega.Equal(scheduler.Refused), "overdue, and the pool is busy")
		gomega.Expect(w.submit(work("00000000000000a5", 4)).Result).To(gomega.Equal(scheduler.Done), "the same work, submitted for the first time")
	})

	ginkgo.It("is accepted when the pool has spare capacity", func() {
		gomega.Expect(w.submit(work("00000000000000a3", 4)).Result).To(gomega.Equal(scheduler.Done))
	})
})
