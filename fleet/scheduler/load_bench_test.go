package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

// BenchmarkPeakLoad simulates one second of peak load on a number of servers. The jobs have two steps of eight tasks, and
// each task takes one second; a hundred servers receive 25 jobs. With overload they receive eight times as many, so that
// hundreds of jobs wait for capacity. With workspaces the jobs are theirs in turn.
func BenchmarkPeakLoad(b *testing.B) {
	for _, n := range []int{50, 300, 1000} {
		for _, factor := range []int{1, 8} {
			for _, workspaces := range []int{0, 38} {
				name := fmt.Sprintf("servers=%d/load=%d", n, factor)
				if workspaces > 0 {
					name += fmt.Sprintf("/workspaces=%d", workspaces)
				}
				b.Run(name, func(b *testing.B) { benchmarkPeakLoad(b, n, factor, workspaces) })
			}
		}
	}
}

// activeRun is a started run and the time at which it ends.
type activeRun struct {
	start scheduler.StartOrder
	end   time.Time
}

func benchmarkPeakLoad(b *testing.B, servers, factor, workspaces int) {
	gomega.RegisterTestingT(b)
	w := newHarness()
	if workspaces > 0 {
		l := []workspace.Workspace{}
		for i := range workspaces {
			l = append(l, workspace.Workspace{Name: workspaceName(i), Weight: float64(servers), Cap: job.Size{CPU: int64(servers) * 32000}})
		}
		w.SetTable(withWorkspaces(2, l...))
	}
	names := []string{}
	for i := range servers {
		names = append(names, fmt.Sprintf("s%03d", i))
	}
	w.addServers(names...)
	runs := map[string][]activeRun{}
	id, due := 0, 0
	b.ResetTimer()
	for range b.N {
		for step := range 50 {
			w.now = w.now.Add(20 * time.Millisecond)
			// Of 400 parts, a second has 50 times servers/2 parts: a quarter of the servers in jobs.
			for due += servers * factor / 2; due >= 100; due -= 100 {
				id++
				m := newRecord(id, 8)
				m.Steps = append(m.Steps, &schema.StepRecord{Count: 8, CpuMilli: 4000, EstimateMs: 1000, After: []int32{0}})
				if workspaces > 0 {
					m.Workspace = workspaceName(id % workspaces)
				}
				w.submit(m)
			}
			if step%5 == 0 {
				w.Tick(w.now)
			}
			w.commit()
			for _, s := range w.acceptStarts() {
				runs[s.Server.ID] = append(runs[s.Server.ID], activeRun{s, w.now.Add(time.Second)})
			}
			w.orders = scheduler.Orders{}
			for i, name := range names {
				if i%10 == step%10 {
					runs[name] = w.reportActiveRuns(name, runs[name])
				}
			}
			w.commit()
		}
	}
}

// reportActiveRuns reports a server's runs and the ends of those that are over, and returns the rest.
func (w *harness) reportActiveRuns(name string, l []activeRun) []activeRun {
	left := []activeRun{}
	ends := []server.EndedRun{}
	listed := []server.Run{}
	for _, r := range l {
		if w.now.Before(r.end) {
			left = append(left, r)
			listed = append(listed, listedRun(r.start, 1+int(w.now.Sub(r.end.Add(-time.Second)).Milliseconds()/11)))
			continue
		}
		w.endSequences[name]++
		ends = append(ends, server.EndedRun{Sequence: w.endSequences[name], Task: r.start.Task, Number: r.start.Number, Reason: job.EndDone})
	}
	w.reportListing(name, ends, listed...)
	return left
}
