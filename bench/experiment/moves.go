package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
)

const (
	// sustainedLoad is the demand of the long phase as a fraction of the pool's capacity.
	sustainedLoad = 1.1
	// peakInterval is the time from the start of one short peak to the start of the next.
	peakInterval = 8 * time.Second
	// idleLoad is the load of the overloaded pool between its peaks and at the end, otherLoad that of the other pools.
	idleLoad  = 0.05
	otherLoad = 0.2
	// overloadedPool is the pool that gets more load than it has capacity.
	overloadedPool = "carving"
)

func init() {
	register("moves", "short demand peaks that must not move VMs, then sustained demand that must", moves)
}

// vmStatus is a VM in an entry's reply to /v1/vms.
type vmStatus struct {
	Name  string    `json:"name"`
	Pool  string    `json:"pool"`
	Home  string    `json:"home"`
	Moved time.Time `json:"moved"`
}

func moves(ctx context.Context, e Options, r *Report) error {
	peaks, long := e.scale(2*peakInterval), e.scale(2*peakInterval+sustainedDuration)
	k := constantLoad(overloadedPool, 0)
	k.Rate = func(d time.Duration) float64 {
		switch {
		case d < peaks && d%peakInterval < peakDuration:
			return meanLoad * floodFactor * poolRate
		case d >= peaks && d < long:
			return sustainedLoad * poolRate
		default:
			return idleLoad * poolRate
		}
	}
	kinds := []load.Kind{k}
	for _, s := range siteServices {
		if s != overloadedPool {
			kinds = append(kinds, constantLoad(s, otherLoad))
		}
	}
	x, err := startLoad(ctx, standardPlan(e), "peaks", kinds, nil)
	if err != nil {
		return err
	}
	setMaintenanceRules(x.site, distantPeriod)
	if _, err := x.site.PostSource(ctx, x.site.Entries[0], nil); err != nil {
		return err
	}
	started := time.Now()
	sleep(ctx, peaks-time.Second)
	lent, err := x.lentVMs(ctx)
	if err != nil {
		return err
	}
	r.metric("lentInPeaks", lent)
	r.checkTarget(lent == 0, "%d VMs were lent because of peaks of a few seconds", lent)
	sleep(ctx, time.Until(started.Add(peaks+e.scale(sustainedDuration)*3/5)))
	x.tally.SetPhase("long")
	sleep(ctx, time.Until(started.Add(long)))
	if lent, err = x.lentVMs(ctx); err != nil {
		return err
	}
	r.metric("lentInNeed", lent)
	r.checkTarget(lent > 0, "no VM was lent under sustained demand")
	x.tally.SetPhase(phaseRest)
	sleep(ctx, e.scale(returnDuration))
	if lent, err = x.lentVMs(ctx); err != nil {
		return err
	}
	r.metric("lentAfterwards", lent)
	r.checkTarget(lent == 0, "%d VMs are still lent after demand fell", lent)
	x.finish(r)
	for _, p := range []string{"peaks", "long", phaseRest} {
		recordCounts(r, p, x.tally.Counts(p, overloadedPool))
	}
	c := x.tally.Counts("long", overloadedPool)
	r.ratio("longGoodput", float64(c.Good), float64(c.Sent))
	r.check(x.tally.SumAll().Unknown == 0, "%d requests have an unknown outcome", x.tally.SumAll().Unknown)
	return nil
}

// lentVMs returns the number of VMs that serve another pool than their home pool.
func (x *loadRun) lentVMs(ctx context.Context) (int, error) {
	var l []vmStatus
	if err := x.site.Entries[0].GetJSON(ctx, "/v1/vms", &l); err != nil {
		return 0, err
	}
	n := 0
	for _, v := range l {
		if v.Pool != v.Home {
			n++
		}
	}
	return n, nil
}
