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

// BenchmarkTurn plays a second of a turn on 300 servers: 60 jobs of two steps of eight tasks, each task a second.
func BenchmarkTurn(b *testing.B) {
	for _, n := range []int{50, 300} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) { benchmarkTurn(b, n) })
	}
}

type openRun struct {
	start scheduler.Start
	end   time.Time
}

func benchmarkTurn(b *testing.B, servers int) {
	w := newWorld()
	names := []string{}
	for i := range servers {
		names = append(names, fmt.Sprintf("s%03d", i))
	}
	w.serve(names...)
	runs := map[string][]openRun{}
	id := 0
	b.ResetTimer()
	for range b.N {
		for step := range 50 {
			w.now = w.now.Add(20 * time.Millisecond)
			for range servers / 250 * (1 + step%2) {
				id++
				m := record(id, 8)
				m.Steps = append(m.Steps, &schema.StepRecord{Count: 8, CpuMilli: 4000, EstimateMs: 1000, After: []int32{0}})
				w.submit(m)
			}
			if step%5 == 0 {
				w.Tick(w.now)
			}
			w.commit()
			for _, s := range w.started() {
				runs[s.Server.ID] = append(runs[s.Server.ID], openRun{s, w.now.Add(time.Second)})
			}
			w.orders = scheduler.Orders{}
			for i, name := range names {
				if i%10 == step%10 {
					runs[name] = w.turn(name, runs[name])
				}
			}
			w.commit()
		}
	}
}

// turn lists a server's runs and ends.
func (w *world) turn(name string, l []openRun) []openRun {
	left := []openRun{}
	ends := []server.EndedRun{}
	at := []server.Run{}
	for _, r := range l {
		if w.now.Before(r.end) {
			left = append(left, r)
			at = append(at, running(r.start, 1+int(w.now.Sub(r.end.Add(-time.Second)).Milliseconds()/11)))
			continue
		}
		w.seqs[name]++
		ends = append(ends, server.EndedRun{Sequence: w.seqs[name], Task: r.start.Task, Number: r.start.Number, Reason: job.EndDone})
	}
	w.listEnds(name, ends, at...)
	return left
}
