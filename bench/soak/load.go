package soak

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
)

const (
	leastPause = 50 * time.Millisecond
	mostPause  = 500 * time.Millisecond
	// burst is how many jobs come at once now and then.
	burst = 8
	// mostLasting is how many jobs last.
	mostLasting = 3
	// again is after which time some accepted jobs are submitted once more.
	again = 2 * time.Second
)

// offer submits jobs of all kinds, cancels some, and submits some again, until the context ends.
func (r *run) offer(ctx context.Context) {
	for ctx.Err() == nil {
		n := 1
		if r.load.IntN(20) == 0 {
			n = burst
		}
		for range n {
			r.submit()
		}
		wait(ctx, leastPause+time.Duration(r.load.Int64N(int64(mostPause-leastPause))))
	}
	r.callers.Wait()
}

func (r *run) submit() {
	q, id := jobsite.Pools[r.load.IntN(len(jobsite.Pools))], r.callers.ID()
	var j jobsite.Job
	switch k := r.load.IntN(10); {
	case k < 5:
		j = jobsite.TwoStep(id, q, r.load)
	case k < 6:
		j = jobsite.Gang(id, q, r.load)
	case k < 8:
		j = jobsite.Checkpointing(id, q)
	case k < 9:
		j = jobsite.Speculative(id, q)
	default:
		if len(r.lasting) >= mostLasting {
			return
		}
		j = jobsite.LongRunning(id, q)
	}
	// What was submitted is followed to its answer, also when the faults are over.
	x := r.callers.Submit(r.ctx, j)
	if j.Steps[0].Lasting {
		r.lasting = append(r.lasting, x)
		return
	}
	switch r.load.IntN(12) {
	case 0:
		d := time.Duration(r.load.Int64N(int64(2 * time.Second)))
		time.AfterFunc(d, func() { r.callers.Cancel(r.ctx, x) })
	case 1:
		time.AfterFunc(again, func() { r.callers.Resubmit(r.ctx, x) })
	}
}
