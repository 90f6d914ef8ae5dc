package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// taskStates returns the index, state and wait reason of each task in the job's explanation.
func (w *harness) taskStates(id string) []string {
	x := w.Explain(id, w.now)
	gomega.Expect(x.Jobs).To(gomega.HaveLen(1))
	l := []string{}
	for _, t := range x.Jobs[0].Tasks {
		s := t.Task[len(id)+1:] + " " + t.State
		if t.WaitsFor != "" {
			s += " for " + t.WaitsFor
		}
		l = append(l, s)
	}
	return l
}

var _ = ginkgo.Describe("Explain", func() {
	const id = "00000000000000a1"
	chain := func() *schema.JobRecord {
		return &schema.JobRecord{Id: id, Queue: "plans", Steps: []*schema.StepRecord{
			{Count: 2, CpuMilli: 40000, EstimateMs: 1000}, {Count: 1, CpuMilli: 1000, EstimateMs: 1000, After: []int32{0}},
		}}
	}
	var w *harness
	ginkgo.BeforeEach(func() { w = newHarness() })

	ginkgo.It("reports why no server accepts new tasks", func() {
		w.submit(chain())
		gomega.Expect(w.taskStates(id)).To(gomega.Equal([]string{
			"0.0.0 waiting for a server of pool carving that takes new work: none is registered",
			"0.0.1 waiting for a server of pool carving that takes new work: none is registered",
			"0.1.0 waiting for steps [0]",
		}))
		w.addServers("s-1", "s-2")
		w.ServerUnreachable("s-1", start, w.now, "no answer")
		w.Cordon("vm-s-2", true)
		gomega.Expect(w.taskStates(id)[0]).To(gomega.Equal("0.0.0 waiting for a server of pool carving that takes new work: " +
			"1 kept free for maintenance or a move, 1 silent"))
	})

	ginkgo.It("reports running and done tasks and those that wait for capacity", func() {
		w.addServers("s-1")
		w.submit(chain())
		gomega.Expect(w.taskStates(id)).To(gomega.Equal([]string{
			"0.0.0 sent", "0.0.1 waiting for room on one of 1 servers of pool carving", "0.1.0 waiting for steps [0]",
		}))
		w.acceptStarts()
		w.reportEnd("s-1", job.Task{Job: id}, 1, job.EndDone)
		w.commit()
		w.acceptStarts()
		gomega.Expect(w.taskStates(id)).To(gomega.Equal([]string{"0.0.0 done", "0.0.1 working", "0.1.0 waiting for steps [0]"}))
		s := w.Explain(id, w.now).Jobs[0]
		gomega.Expect([]int32{s.Waiting, s.Running, s.Done}).To(gomega.Equal([]int32{1, 1, 1}))
		gomega.Expect(s.Tasks[1].Server).To(gomega.Equal("s-1"))
	})

	ginkgo.It("reports the next due time of a repeated job", func() {
		m := chain()
		m.Repeats, m.IntervalMs, m.FirstDueMs = 2, 60000, w.now.Add(-time.Second).UnixMilli()
		w.submit(m)
		gomega.Expect(w.taskStates(id)).To(gomega.HaveLen(3))
		gomega.Expect(w.Explain(id, w.now).Jobs[0].NextDueMs).To(gomega.Equal(w.now.Add(59 * time.Second).UnixMilli()))
	})

	ginkgo.It("reports a pending request to the advice service", func() {
		w.SetTable(queue.New(2, []queue.Queue{{Name: "plans", Pool: "carving", Advice: &job.Advice{}, SlackFactor: 2, LatencyAllowance: time.Second}},
			map[string]queue.Pool{"carving": {}}, queue.Limits{}))
		w.addServers("s-1")
		w.submit(chain())
		gomega.Expect(w.taskStates(id)[0]).To(gomega.Equal("0.0.0 waiting for the advice service"))
	})

	ginkgo.It("reports an unknown job as not found", func() {
		gomega.Expect(w.Explain(id, w.now).Result).To(gomega.Equal(scheduler.NotFound))
	})
})

var _ = ginkgo.Describe("List", func() {
	ginkgo.It("returns the jobs of one queue or of all, most recent first", func() {
		w := newHarness()
		w.addServers("s-1")
		for _, id := range []string{"00000000000000a1", "00000000000000a2"} {
			w.submit(&schema.JobRecord{Id: id, Queue: "plans", Steps: []*schema.StepRecord{{Count: 1, CpuMilli: 1000, EstimateMs: 100}}})
			w.now = w.now.Add(time.Second)
		}
		w.Cancel("00000000000000a1", w.now, func(scheduler.Reply) {})
		w.commit()
		l := w.List("plans").Jobs
		gomega.Expect(l).To(gomega.HaveLen(2))
		gomega.Expect([]string{l[0].Id, l[0].Phase, l[1].Id, l[1].Phase}).To(gomega.Equal(
			[]string{"00000000000000a2", "queued", "00000000000000a1", "cancelled"},
		))
		gomega.Expect(w.List("cups").Jobs).To(gomega.BeEmpty())
		gomega.Expect(w.List("").Jobs).To(gomega.HaveLen(2))
	})
})

var _ = ginkgo.Describe("Pools", func() {
	ginkgo.It("returns the capacity and the demand of each pool", func() {
		w := newHarness()
		w.addServers("s-1", "s-2")
		w.ServerUnreachable("s-2", start, w.now, "no answer")
		w.submit(&schema.JobRecord{Id: "00000000000000a1", Queue: "plans", Steps: []*schema.StepRecord{{Count: 3, CpuMilli: 30000, EstimateMs: 100}}})
		p := w.Pools(w.now).Pools
		gomega.Expect(p).To(gomega.HaveLen(1))
		gomega.Expect([]any{p[0].Name, p[0].Servers, p[0].Usable, p[0].Silent, p[0].Cores, p[0].CoresUsed, p[0].TasksRunning, p[0].TasksWaiting}).
			To(gomega.Equal([]any{"carving", int32(2), int32(1), int32(1), 128.0, 60.0, int32(2), int32(1)}))
		gomega.Expect(p[0].CoresNeeded).To(gomega.BeNumerically(">=", 90))
	})
})
