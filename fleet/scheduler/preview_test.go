package scheduler_test

import (
	"fmt"
	"reflect"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

// busyHarness returns a scheduler with two servers, of which the first is fuller, and a task that waits for room.
func busyHarness() *harness {
	w := newHarness()
	w.setWorkspaces(2, dev)
	w.addServers("s-1", "s-2")
	w.submit(ofDev(newRecord(1, 1, func(s *schema.StepRecord) { s.CpuMilli, s.EstimateMs = 40000, 3000 })))
	w.acceptStarts()
	w.submit(newRecord(2, 1, longRunning, cores(30)))
	w.acceptStarts()
	w.submit(ofDev(newRecord(3, 1, longRunning, cores(60))))
	return w
}

var dev = workspace.Workspace{Name: "dev", Weight: 1000}

func ofDev(m *schema.JobRecord) *schema.JobRecord {
	m.Workspace = "dev"
	return m
}

func preview(w *harness, m *schema.JobRecord) *schema.JobPreview {
	x := w.Preview(m, w.now)
	gomega.Expect(x.Result).To(gomega.Equal(scheduler.Done))
	return x.Preview
}

// startOf returns the order to start the only task of a job.
func startOf(id int) scheduler.StartOrder {
	return scheduler.StartOrder{Task: job.Task{Job: fmt.Sprintf("%016x", id)}, Number: 1}
}

func cores(n int64) func(*schema.StepRecord) {
	return func(s *schema.StepRecord) { s.CpuMilli = n * 1000 }
}

var _ = ginkgo.Describe("Preview", func() {
	ginkgo.It("lists each task's server, the next best ones and those ruled out", func() {
		w := busyHarness()
		w.addServers("s-3")
		w.Cordon("vm-s-3", true)
		p := preview(w, newRecord(9, 2, cores(20)))
		gomega.Expect([]any{p.Accepted, p.Reason}).To(gomega.Equal([]any{true, "admitted"}))
		gomega.Expect(p.Tasks).To(gomega.HaveLen(2))
		a, b := p.Tasks[0], p.Tasks[1]
		gomega.Expect([]any{a.Server, a.Alternatives[0].Server, a.ExpectedStartMs}).To(gomega.Equal([]any{"s-1", "s-2", w.now.UnixMilli()}))
		gomega.Expect(a.Cost).To(gomega.BeNumerically("<", a.Alternatives[0].Cost))
		gomega.Expect(a.Excluded).To(gomega.Equal(map[string]int32{"kept free for maintenance or a move": 1}))
		gomega.Expect(b.Server).To(gomega.Equal("s-2"))
		gomega.Expect(b.Excluded).To(gomega.HaveKeyWithValue("with too few free processors", int32(1)))
	})

	ginkgo.It("tells what a task waits for, and its start only if nothing waits before it", func() {
		w := busyHarness()
		p := preview(w, newRecord(9, 1, cores(50)))
		gomega.Expect([]any{p.Tasks[0].WaitsFor, p.Tasks[0].ExpectedStartMs}).To(gomega.Equal([]any{"room on one of 2 servers of pool carving", int64(0)}))
		w.Cancel(fmt.Sprintf("%016x", 3), w.now, func(scheduler.Reply) {})
		w.commit()
		p = preview(w, newRecord(9, 1, cores(50)))
		gomega.Expect(p.Tasks[0].ExpectedStartMs).To(gomega.Equal(w.now.Add(3 * time.Second).UnixMilli()))
	})

	ginkgo.It("leaves a scheduled job that waits for its time as it is", func() {
		w := newHarness()
		w.addServers("a")
		m := newRecord(1, 1)
		m.Repeats, m.FirstDueMs = 1, w.now.Add(time.Second).UnixMilli()
		w.submit(m)
		w.Preview(newRecord(2, 1), w.now)
		w.advance(time.Second)
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})
	ginkgo.It("tells when a scheduled job is due", func() {
		w := busyHarness()
		m := newRecord(9, 2)
		m.Repeats, m.FirstDueMs = 1, w.now.Add(time.Minute).UnixMilli()
		p := preview(w, m)
		gomega.Expect(p.Tasks).To(gomega.HaveLen(2))
		gomega.Expect(p.Tasks[0].WaitsFor).To(gomega.HavePrefix("its time"))
		gomega.Expect(p.Tasks[0].ExpectedStartMs).To(gomega.Equal(m.FirstDueMs))
	})

	ginkgo.It("is bounded, and refuses malformed jobs as a submission does", func() {
		w := busyHarness()
		gomega.Expect(preview(w, newRecord(9, 4000, longRunning)).Tasks).To(gomega.HaveLen(32))
		var x scheduler.Reply
		m := newRecord(9, 5000)
		w.Submit(m, w.now, func(r scheduler.Reply) { x = r })
		gomega.Expect(w.Preview(m, w.now)).To(gomega.Equal(x))
	})

	ginkgo.It("tells about a job of the same id only to its workspace", func() {
		w := busyHarness()
		m := newRecord(1, 1)
		gomega.Expect(preview(w, ofDev(m)).Reason).To(gomega.Equal("the job was accepted before and is queued"))
		m.Workspace = "ops"
		p := preview(w, m)
		gomega.Expect([]any{p.Accepted, p.Reason}).To(gomega.Equal([]any{false, "the job belongs to another workspace"}))
	})

	// A preview that counted as an arrival, or left a task placed, would change what later submissions get.
	ginkgo.DescribeTable("changes nothing, and agrees with the submission that follows", func(job func() *schema.JobRecord, last func(*harness)) {
		m := func() *schema.JobRecord { return ofDev(job()) }
		setup := func() *harness {
			w := busyHarness()
			// Caches of earlier submissions are stale, and a pass is due.
			w.now = w.now.Add(time.Second)
			w.reportRuns("s-1", listedRun(startOf(1), 20))
			w.reportRuns("s-2", listedRun(startOf(2), 20))
			w.addServers("s-3")
			last(w)
			return w
		}
		w, untouched := setup(), setup()
		gomega.Expect(reflect.DeepEqual(w.Scheduler, untouched.Scheduler)).To(gomega.BeTrue(), "the setup is deterministic")
		p := preview(w, m())
		gomega.Expect(reflect.DeepEqual(w.Scheduler, untouched.Scheduler)).To(gomega.BeTrue(), "the state has changed")
		x := w.submit(m())
		gomega.Expect(x.Result == scheduler.Done).To(gomega.Equal(p.Accepted))
		if !p.Accepted {
			gomega.Expect([]any{p.Reason, p.RetryAfterMs}).To(gomega.Equal([]any{x.Reason, x.RetryAfter.Milliseconds()}))
			return
		}
		for i, t := range w.Explain(m().Id, w.now).Jobs[0].Tasks {
			gomega.Expect([]any{p.Tasks[i].Task, p.Tasks[i].Server, p.Tasks[i].WaitsFor}).To(gomega.Equal([]any{t.Task, t.Server, t.WaitsFor}))
		}
	},
		ginkgo.Entry("tasks that are placed and wait", func() *schema.JobRecord { return newRecord(9, 4, cores(20)) }, func(*harness) {}),
		ginkgo.Entry("a task behind one that waits", func() *schema.JobRecord { return newRecord(9, 1, cores(60)) }, func(*harness) {}),
		ginkgo.Entry("long-running tasks", func() *schema.JobRecord { return newRecord(2000, 3, longRunning, cores(30)) }, func(*harness) {}),
		ginkgo.Entry("a gang", func() *schema.JobRecord {
			return newRecord(9, 3, cores(5), func(s *schema.StepRecord) { s.Gang = true })
		}, func(*harness) {}),
		ginkgo.Entry("too much work", func() *schema.JobRecord { return newRecord(9, 100, cores(20)) }, func(*harness) {}),
		ginkgo.Entry("a task that is too large", func() *schema.JobRecord { return newRecord(9, 1, cores(65)) }, func(*harness) {}),
		ginkgo.Entry("an advised step", func() *schema.JobRecord { return newRecord(9, 1) }, func(w *harness) {
			w.SetTable(queue.New(3, []queue.Queue{{Name: "plans", Pool: "carving", Advice: &job.Advice{}, SlackFactor: 2, LatencyAllowance: time.Second}},
				table.Pools, queue.Limits{}, queue.WithWorkspaces(must(workspace.New([]workspace.Definition{{Workspace: dev}})))))
		}),
		ginkgo.Entry("a job right after another, with fresh caches", func() *schema.JobRecord {
			return newRecord(9, 1, func(s *schema.StepRecord) { s.EstimateMs = 100 })
		}, func(w *harness) {
			// Further submissions leave room in the sorted demands, into which an earlier one would be inserted in place.
			for id := 4; id < 9; id++ {
				w.submit(newRecord(id, 1))
			}
		}))
})
