package soak

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
)

const (
	// minOrderGap and maxOrderGap bound the time between spells of late answers to orders for VMs.
	minOrderGap = 2 * time.Second
	maxOrderGap = 8 * time.Second
	// maxAnswerDelay bounds the delay of these answers; entries wait for less.
	minAnswerDelay = 500 * time.Millisecond
	maxAnswerDelay = 2 * time.Second
	// maxLateOrders bounds how long the answers are late before the owner ends.
	maxLateOrders = 3 * time.Second
)

// handOverLateOrders lets the owner repeat orders for the VMs of a wave whose answers are late, and then ends it, by a signal or at once. It draws from a
// stream of its own so that the other faults of a seed do not depend on it.
func (r *run) handOverLateOrders(ctx context.Context) {
	l := []string{}
	for _, v := range r.site.Platform.Options.VMs {
		if v.Pool == jobsite.StandbyPool {
			l = append(l, v.Name)
		}
	}
	for {
		wait(ctx, r.drawOrderTime(minOrderGap, maxOrderGap))
		if ctx.Err() != nil {
			return
		}
		d := r.drawOrderTime(minAnswerDelay, maxAnswerDelay)
		r.site.Platform.SetVMOrderDelay(d)
		r.requestWave(l, 1+r.orderRandom.IntN(2))
		wait(ctx, r.drawOrderTime(0, maxLateOrders))
		end := r.shutDown
		if r.orderRandom.IntN(2) == 0 {
			end = r.kill
		}
		r.recordFault("owner ends while orders for VMs are late", d)
		if f := end(r.owner()); f != nil {
			f()
		}
		r.site.Platform.SetVMOrderDelay(0)
	}
}

func (r *run) drawOrderTime(least, most time.Duration) time.Duration {
	return least + time.Duration(r.orderRandom.Int64N(int64(most-least)))
}
