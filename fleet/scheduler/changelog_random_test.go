package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// A successor must know of each task all that was committed, whichever of the log's entries hold it.
var _ = ginkgo.It("a successor restores what was committed, at any moment", func() {
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 1))
		w, x := newHarness(), newStored()
		if seed >= 6 {
			// The ends of most jobs are in the log alone.
			w.batchLimit = 2
		}
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		w.addServers(names...)
		running := []scheduler.StartOrder{}
		for step := range 1500 {
			w.now = w.now.Add(20 * time.Millisecond)
			if random.IntN(6) == 0 {
				m := newRecord(int(seed)*100000+step+1, 1+random.Int32N(6))
				m.Steps = append(m.Steps, &schema.StepRecord{Count: 1 + random.Int32N(8), CpuMilli: 4000, EstimateMs: 1000, After: []int32{0}})
				w.Submit(m, w.now, func(scheduler.Reply) {})
			}
			w.commitTo(x)
			running = append(running, w.acceptStarts()...)
			for i := 0; i < len(running); i++ {
				if random.IntN(40) != 0 {
					continue
				}
				reason := job.EndDone
				if random.IntN(30) == 0 {
					reason = job.EndFailed
				}
				o := running[i]
				running = append(running[:i], running[i+1:]...)
				w.endSequences[o.Server.ID]++
				w.reportListing(o.Server.ID, []server.EndedRun{{
					Sequence: w.endSequences[o.Server.ID], Task: o.Task, Number: o.Number, Reason: reason,
				}}, listedRuns(running, o.Server.ID)...)
			}
			for _, n := range names {
				w.reportRuns(n, listedRuns(running, n)...)
			}
			w.commitTo(x)
			running = append(running, w.acceptStarts()...)
			if step%50 != 49 {
				continue
			}
			s := x.successor(w.now)
			for id := range x.jobs {
				want, got := w.Explain(id, w.now).Jobs[0], s.Explain(id, w.now).Jobs[0]
				for i, t := range want.Tasks {
					g := got.Tasks[i]
					gomega.Expect(fmt.Sprint(g.Run, g.Server, g.Failures, g.State == "done")).To(
						gomega.Equal(fmt.Sprint(t.Run, t.Server, t.Failures, t.State == "done")), "seed %d step %d task %s", seed, step, t.Task,
					)
				}
			}
		}
	}
})

// listedRuns returns the runs on a server as it lists them.
func listedRuns(l []scheduler.StartOrder, name string) []server.Run {
	r := []server.Run{}
	for _, o := range l {
		if o.Server.ID == name {
			r = append(r, listedRun(o, 50))
		}
	}
	return r
}
