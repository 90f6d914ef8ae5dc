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

// At a turn's start callers are refused and come back seconds later, when their job can hardly be in time any more.
var _ = ginkgo.Describe("a job that comes again after a refusal", func() {
	work := func(id string, count int32) *schema.JobRecord {
		return &schema.JobRecord{Id: id, Queue: "plans", Steps: []*schema.StepRecord{{Count: count, CpuMilli: 16000, EstimateMs: 1000}}}
	}
	var w *world
	finish := func() {
		l := w.started()
		w.now = w.now.Add(time.Second)
		ends := []server.EndedRun{}
		for _, o := range l {
			w.seqs["s-1"]++
			ends = append(ends, server.EndedRun{Sequence: w.seqs["s-1"], Task: o.Task, Number: o.Number, Reason: job.EndDone})
		}
		w.listEnds("s-1", ends)
		w.commit()
	}
	ginkgo.BeforeEach(func() {
		w = newWorld()
		w.serve("s-1")
		gomega.Expect(w.submit(work("00000000000000a1", 4)).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.submit(work("00000000000000a2", 3)).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.submit(work("00000000000000a3", 4)).Result).To(gomega.Equal(scheduler.Refused))
		finish()
		finish()
	})

	ginkgo.It("takes no time from jobs that can still be in time", func() {
		gomega.Expect(w.submit(work("00000000000000a4", 3)).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.submit(work("00000000000000a3", 4)).Result).To(gomega.Equal(scheduler.Refused), "late, and the pool is busy")
		gomega.Expect(w.submit(work("00000000000000a5", 4)).Result).To(gomega.Equal(scheduler.Done), "the same work that comes first now")
	})

	ginkgo.It("is taken where the pool has time to spare", func() {
		gomega.Expect(w.submit(work("00000000000000a3", 4)).Result).To(gomega.Equal(scheduler.Done))
	})
})
