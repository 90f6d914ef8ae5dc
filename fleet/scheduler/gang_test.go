package scheduler_test

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

func gang(s *schema.StepRecord) {
	s.Gang = true
	s.CpuMilli = 40000
}

// maxAttempts is the limit of the queue in table.
const maxAttempts = 3

// endGang reports the ends of a gang's run in one listing of each server, beginning with the member first. Members for which
// fails is false end because another one did.
func (w *harness) endGang(l []scheduler.StartOrder, first int, fails func(member int) bool) {
	for i := range l {
		s := l[(first+i)%len(l)]
		reason := job.EndFailed
		if !fails(s.Task.Index) {
			reason = job.EndGangBroken
		}
		w.reportEnd(s.Server.ID, s.Task, s.Number, reason)
	}
}

var _ = ginkgo.Describe("a gang that fails", func() {
	var w *harness
	id := newRecord(1, 1).Id

	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a", "b", "c", "d")
		w.submit(newRecord(1, 4, gang))
	})

	// Its runs were counted in the task whose end came first, so that a gang was started more often than a task may fail.
	ginkgo.DescribeTable("is started as often as a task may fail", func(first func(run int) int, fails func(run, member int) bool) {
		runs := 0
		for l := w.acceptStarts(); len(l) > 0 && runs < 20; l = w.acceptStarts() {
			gomega.Expect(l).To(gomega.HaveLen(4))
			w.endGang(l, first(runs), func(member int) bool { return fails(runs, member) })
			w.commit()
			runs++
			w.advance(time.Second)
		}
		gomega.Expect(runs).To(gomega.Equal(maxAttempts))
		gomega.Expect(w.JobPhase(id).Phase).To(gomega.Equal(job.Failed))
	},
		ginkgo.Entry("if all members fail in the same order", func(int) int { return 0 }, func(_, _ int) bool { return true }),
		ginkgo.Entry("if another member's end comes first each time", func(run int) int { return run }, func(_, _ int) bool { return true }),
		ginkgo.Entry("if another member fails each time", func(int) int { return 0 }, func(run, member int) bool { return member == run%4 }))

	// A successor counted the run again that its predecessor had counted, or not at all.
	ginkgo.DescribeTable("has as many attempts after a takeover", func(ended int) {
		x := newStored()
		w = newHarness()
		w.addServers("a", "b", "c", "d")
		w.Submit(newRecord(1, 4, gang), w.now, func(scheduler.Reply) {})
		w.commitTo(x)
		runs := 0
		for l := w.acceptStarts(); len(l) > 0 && runs < 20; l = w.acceptStarts() {
			// Two members fail, others in each run. The owner is lost after the ends of some; the rest is listed to its successor.
			l = slices.Concat(l[runs%4:], l[:runs%4])
			fails := func(member int) bool { return member == l[0].Task.Index || member == l[1].Task.Index }
			runs++
			w.endGang(l[:ended], 0, fails)
			w.commitTo(x)
			sequences := w.endSequences
			w = x.successor(w.now)
			w.endSequences = sequences
			for _, n := range []string{"a", "b", "c", "d"} {
				w.Register(newServer(n), w.now)
			}
			reported := map[string]bool{}
			for _, s := range l[ended:] {
				reported[s.Server.ID] = true
			}
			w.endGang(l[ended:], 0, fails)
			for _, n := range []string{"a", "b", "c", "d"} {
				if !reported[n] {
					w.reportRuns(n)
				}
			}
			if runs < maxAttempts {
				gomega.Expect(w.JobPhase(id).Phase).NotTo(gomega.Equal(job.Failed))
			}
			w.commitTo(x)
		}
		gomega.Expect(runs).To(gomega.Equal(maxAttempts))
		gomega.Expect(w.JobPhase(id).Phase).To(gomega.Equal(job.Failed))
	},
		ginkgo.Entry("before the first end", 0), ginkgo.Entry("between the ends of the members that fail", 1),
		ginkgo.Entry("before the ends of the others", 2), ginkgo.Entry("after all ends", 4))
})
