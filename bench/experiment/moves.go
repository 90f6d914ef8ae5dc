package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
)

const (
	movesPart   = 1.1
	movesPeriod = 8 * time.Second
	floodPool   = "carving"
)

func init() {
	register("moves", "short peaks that must move no VM, then a long need that must", moves)
}

// vmView is a VM as an entry shows it.
type vmView struct {
	Name  string    `json:"name"`
	Pool  string    `json:"pool"`
	Home  string    `json:"home"`
	Moved time.Time `json:"moved"`
}

func moves(ctx context.Context, e Environment, r *Report) error {
	peaks, long := e.scaled(2*movesPeriod), e.scaled(2*movesPeriod+movesFlood)
	k := steady(floodPool, 0)
	k.Rate = func(d time.Duration) float64 {
		switch {
		case d < peaks && d%movesPeriod < movesShortPeak:
			return meanPart * floodFactor * poolRate
		case d >= peaks && d < long:
			return movesPart * poolRate
		default:
			return 0.05 * poolRate
		}
	}
	kinds := []load.Kind{k}
	for _, s := range horncraftServices {
		if s != floodPool {
			kinds = append(kinds, steady(s, 0.2))
		}
	}
	x, err := start(ctx, horncraft(e), "peaks", kinds, nil)
	if err != nil {
		return err
	}
	maintained(x.site, longPeriod)
	if _, err := x.site.PostSource(ctx, x.site.Entries[0], nil); err != nil {
		return err
	}
	started := time.Now()
	pause(ctx, peaks-time.Second)
	lent, err := x.lent(ctx)
	if err != nil {
		return err
	}
	r.figure("lentInPeaks", lent)
	r.target(lent == 0, "%d VMs moved for peaks of some seconds", lent)
	pause(ctx, time.Until(started.Add(peaks+e.scaled(movesFlood)*3/5)))
	x.tally.SetPhase("long")
	pause(ctx, time.Until(started.Add(long)))
	if lent, err = x.lent(ctx); err != nil {
		return err
	}
	r.figure("lentInNeed", lent)
	r.target(lent > 0, "no VM moved for a long need")
	x.tally.SetPhase(rest)
	pause(ctx, e.scaled(movesSettle))
	if lent, err = x.lent(ctx); err != nil {
		return err
	}
	r.figure("lentAfterwards", lent)
	r.target(lent == 0, "%d VMs are still lent", lent)
	x.finish(r)
	for _, p := range []string{"peaks", "long", rest} {
		outcomes(r, p, x.tally.Counts(p, floodPool))
	}
	c := x.tally.Counts("long", floodPool)
	r.share("longGoodput", float64(c.Good), float64(c.Sent))
	r.expect(x.tally.SumAll().Unknown == 0, "%d requests have an unknown outcome", x.tally.SumAll().Unknown)
	return nil
}

// lent counts the VMs that serve a pool that is not their own.
func (x *running) lent(ctx context.Context) (int, error) {
	var l []vmView
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
