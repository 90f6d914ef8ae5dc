package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// A listing that was read late told that a run had ended as done, and the task was started again all the same.
var _ = ginkgo.Describe("a run that was given up and has ended as done", func() {
	var (
		w     *harness
		first []scheduler.StartOrder
	)
	// giveUp runs a job on server a and gives its runs up, since their server is silent for longer than the lease.
	giveUp := func(count int32, f ...func(*schema.StepRecord)) {
		w = newHarness()
		w.addServers("a")
		w.submit(newRecord(1, count, f...))
		first = w.acceptStarts()
		gomega.Expect(first).To(gomega.HaveLen(int(count)))
		w.ServerUnreachable("a", start, w.now, "timeout")
		w.advance(slowLease + 2*time.Second)
	}

	ginkgo.It("finishes its task instead of the start of another run", func() {
		giveUp(1)
		w.addServers("b")
		w.Plan(w.now)
		w.reportEnd("a", first[0].Task, first[0].Number, job.EndDone)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		gomega.Expect(w.JobPhase(newRecord(1, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("finishes its task and stops the run that replaced it", func() {
		giveUp(1)
		w.addServers("b")
		w.commit()
		second := w.acceptStarts()
		gomega.Expect(second).To(gomega.HaveLen(1))
		w.reportEnd("a", first[0].Task, first[0].Number, job.EndDone)
		w.commit()
		gomega.Expect(w.takeStops()).To(gomega.ContainElement(scheduler.StopOrder{Server: second[0].Server, Task: second[0].Task, Number: 2}))
		gomega.Expect(w.JobPhase(newRecord(1, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("finishes its whole gang", func() {
		giveUp(3, func(s *schema.StepRecord) { s.Gang = true })
		w.reportEnd("a", first[0].Task, first[0].Number, job.EndDone)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		gomega.Expect(w.JobPhase(newRecord(1, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("leaves its task to be started again if it failed, or if the task is to last", func() {
		giveUp(1)
		w.addServers("b")
		w.reportEnd("a", first[0].Task, first[0].Number, job.EndFailed)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
		giveUp(1, longRunning)
		w.addServers("b")
		w.reportEnd("a", first[0].Task, first[0].Number, job.EndDone)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("finishes its task under the next owner", func() {
		giveUp(1)
		w.addServers("b")
		w.commit()
		second := w.acceptStarts()
		next := newHarness()
		next.now = w.now
		next.addServers("a", "b")
		next.Restore(newRecord(1, 1), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 2, Server: "b", BornMs: start.UnixMilli()}}}, next.now)
		next.reportRuns("b", listedRun(second[0], 10))
		next.reportEnd("a", first[0].Task, first[0].Number, job.EndDone)
		next.commit()
		gomega.Expect(next.takeStops()).To(gomega.HaveLen(1))
		gomega.Expect(next.JobPhase(newRecord(1, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})
})
