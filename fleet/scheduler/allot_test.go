package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

// replayDecisions replays a random load above the capacity of two servers and returns every reply, order and decision. edit
// changes each job before it is submitted.
func replayDecisions(t *queue.Table, edit func(*schema.JobRecord)) []string {
	r := rand.New(rand.NewPCG(7, 7))
	w := newHarness()
	w.SetTable(t)
	w.addServers("s-1", "s-2")
	runs := map[string][]activeRun{}
	l := []string{}
	refused := []*schema.JobRecord{}
	submit := func(m *schema.JobRecord) {
		x := w.submit(m)
		l = append(l, fmt.Sprint(m.Id, x.Result, x.RetryAfter, x.Reason))
		if x.Result == scheduler.Refused {
			refused = append(refused, m)
		}
	}
	for i := range 400 {
		w.now = w.now.Add(20 * time.Millisecond)
		for range r.IntN(3) {
			m := newRecord(len(l)+1, 1+r.Int32N(8), func(s *schema.StepRecord) {
				s.Fills, s.Gang, s.Lasting = r.IntN(9) == 0, r.IntN(9) == 0, r.IntN(40) == 0
			})
			edit(m)
			submit(m)
		}
		if len(refused) > 0 && i%10 == 0 {
			m := refused[0]
			refused = refused[1:]
			submit(m)
		}
		w.Tick(w.now)
		w.commit()
		for _, s := range w.acceptStarts() {
			l = append(l, fmt.Sprint("start", s))
			runs[s.Server.ID] = append(runs[s.Server.ID], activeRun{s, w.now.Add(time.Second)})
		}
		for _, n := range []string{"s-1", "s-2"} {
			runs[n] = w.reportActiveRuns(n, runs[n])
		}
		w.commit()
	}
	return append(l, fmt.Sprint(w.takeStops(), w.orders.Decisions, w.PoolNeeds(w.now)))
}

var _ = ginkgo.Describe("the shares of workspaces", func() {
	// Load: some three times what the servers hold, with gangs, long-running and best-effort tasks.
	ginkgo.It("change no decision for jobs without a workspace, nor if workspaces are not in use", func() {
		keep := func(*schema.JobRecord) {}
		expected := replayDecisions(table, keep)
		gomega.Expect(replayDecisions(capped(2, 1), keep)).To(gomega.Equal(expected))
		gomega.Expect(replayDecisions(table, func(m *schema.JobRecord) { m.Workspace = "a" })).To(gomega.Equal(expected))
	})

	heavy := func(id int, name string) *schema.JobRecord {
		return of(name, newRecord(id, 4, func(s *schema.StepRecord) { s.CpuMilli = 8000 }))
	}
	var w *harness
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.SetTable(withWorkspaces(2, workspace.Workspace{Name: "a", Weight: 100}, workspace.Workspace{Name: "b", Weight: 100}, workspace.Workspace{Name: "c", Weight: 2}))
		w.addServers("s-1", "s-2")
	})

	// Load: one workspace submits three times as much as the other, together more than the pool holds.
	ginkgo.DescribeTable("keep room for a workspace that stays within its share beside one that floods", func(size func(*schema.StepRecord)) {
		runs := map[string][]activeRun{}
		refused := map[string]int{}
		var last scheduler.Reply
		for i := range 400 {
			w.now = w.now.Add(20 * time.Millisecond)
			name := "a"
			if i%8 == 0 {
				name = "b"
			}
			if i%2 == 0 {
				if r := w.submit(of(name, newRecord(i+1, 4, size))); r.Result == scheduler.Refused {
					refused[name]++
					last = r
				}
			}
			w.Tick(w.now)
			w.commit()
			for _, s := range w.acceptStarts() {
				runs[s.Server.ID] = append(runs[s.Server.ID], activeRun{s, w.now.Add(time.Second)})
			}
			for _, n := range []string{"s-1", "s-2"} {
				runs[n] = w.reportActiveRuns(n, runs[n])
			}
			w.commit()
		}
		ginkgo.GinkgoWriter.Println(refused, last.Reason)
		gomega.Expect(refused["a"]).To(gomega.BeNumerically(">", 20))
		gomega.Expect(refused["b"]).To(gomega.BeNumerically("<", 10), "of 50")
		gomega.Expect(last.RetryAfter).To(gomega.And(gomega.BeNumerically(">=", 375*time.Millisecond), gomega.BeNumerically("<=", 6250*time.Millisecond)))
	},
		ginkgo.Entry("of processors", func(s *schema.StepRecord) { s.CpuMilli = 2000 }),
		ginkgo.Entry("of memory", func(s *schema.StepRecord) { s.CpuMilli, s.MemoryMb = 100, 4000 }))

	ginkgo.It("refuse nobody while there is room for all", func() {
		for i := range 3 {
			gomega.Expect(w.submit(heavy(i+1, "a")).Result).To(gomega.Equal(scheduler.Done))
		}
	})

	// Load: a workspace submits more jobs a second than its weight.
	ginkgo.It("leave what exceeds the rate of a workspace to the room that is left, after all other finite work", func() {
		id := 0
		submit := func(name string) scheduler.Reply {
			id++
			return w.submit(of(name, newRecord(id, 4, func(s *schema.StepRecord) { s.CpuMilli = 4000 })))
		}
		accepted := 0
		for range 20 {
			if submit("c").Result == scheduler.Done {
				accepted++
			}
		}
		gomega.Expect(accepted).To(gomega.And(gomega.BeNumerically(">", 5), gomega.BeNumerically("<", 20)))
		w.acceptStarts()
		gomega.Expect(submit("b").Result).To(gomega.Equal(scheduler.Done), "room for the next arrival")
		s := w.Workspaces(w.now).Workspaces
		gomega.Expect(s).To(gomega.HaveLen(3))
		gomega.Expect(s[2].Refused).To(gomega.Equal(map[string]int64{scheduler.CauseExcess.String(): int64(20 - accepted)}))
		gomega.Expect([]any{s[2].Name, s[2].Jobs, s[2].Running.CpuMilli > 0}).To(gomega.Equal([]any{"c", int32(accepted), true}))
	})

	ginkgo.It("count the cap of a workspace when they accept a job", func() {
		w.SetTable(withWorkspaces(3, workspace.Workspace{Name: "a", Weight: 100, Cap: job.Size{CPU: 32000}}, workspace.Workspace{Name: "b", Weight: 100}))
		gomega.Expect(w.submit(heavy(1, "a")).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(w.submit(heavy(2, "a")).Result).To(gomega.Equal(scheduler.Done))
		r := w.submit(heavy(3, "a"))
		gomega.Expect([]any{r.Result, r.Cause}).To(gomega.Equal([]any{scheduler.Refused, scheduler.CauseCap}))
		gomega.Expect(w.submit(heavy(4, "b")).Result).To(gomega.Equal(scheduler.Done))
	})

	ginkgo.It("leave the excess of a previous owner after other work at the successor", func() {
		w = newHarness()
		w.SetTable(capped(2, 1000))
		for i := range 2 {
			m := of("b", newRecord(i+1, 16))
			m.Excess = i == 0
			w.Restore(m, nil, w.now)
		}
		w.addServers("s-1")
		w.commit()
		l := w.acceptStarts()
		gomega.Expect(l).To(gomega.HaveLen(16))
		gomega.Expect(l[0].Task.Job).To(gomega.Equal(newRecord(2, 1).Id))
	})

	ginkgo.It("are known to the successor from the restored jobs", func() {
		m := heavy(1, "a")
		m.Pool = "carving"
		w.Restore(m, nil, w.now)
		s := w.Workspaces(w.now).Workspaces[0]
		gomega.Expect(s.Shares).To(gomega.HaveLen(1))
		gomega.Expect(s.Shares[0].Used).To(gomega.BeNumerically(">", 0))
	})
})
