package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// BenchmarkPeakLoad simulates one second of peak load on 50 and on 300 servers. The jobs have two steps of eight tasks,
// and each task takes one second; 300 servers receive 75 jobs.
func BenchmarkPeakLoad(b *testing.B) {
	for _, n := range []int{50, 300} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) { benchmarkPeakLoad(b, n) })
	}
}

// activeRun is a started run and the time at which it ends.
type activeRun struct {
	start scheduler.StartOrder
	end   time.Time
}

func benchmarkPeakLoad(b *testing.B, servers int) {
	w := newHarness()
	names := []string{}
	for i := range servers {
		names = append(names, fmt.Sprintf("s%03d", i))
	}
	w.addServers(names...)
	runs := map[string][]activeRun{}
	id := 0
	b.ResetTimer()
	for range b.N {
		for step := range 50 {
			w.now = w.now.Add(20 * time.Millisecond)
			for range servers / 250 * (1 + step%2) {
				id++
				m := newRecord(id, 8)
				m.Steps = append(m.Steps, &schema.StepRecord{Count: 8, CpuMilli: 4000, EstimateMs: 1000, After: []int32{0}})
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
