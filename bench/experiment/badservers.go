package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/backend"
	"github.com/tarragonbank/tarragonbank/bench/load"
)

const (
	badServersLoad       = 0.5
	badServersDuration   = 15 * time.Second
	minRepeatableGoodput = 0.99
	maxRetryRatio        = 0.10
	phaseBad             = "bad"
	phaseMended          = "mended"
)

// badModes puts one server of each pool into a mode.
var faultModes = map[string]backend.Mode{
	"cups": backend.Silent, "carving": backend.Failing, "finishing": backend.Slow,
	"export": backend.Truncating, "ledger": backend.Crossing,
}

func init() {
	register("badservers", "a silent, a failing, a slow, a truncating and a crossing server", badservers)
}

func badservers(ctx context.Context, e Options, r *Report) error {
	kinds := []load.Kind{}
	for _, s := range siteServices {
		k := constantLoad(s, badServersLoad*0.8)
		kinds = append(kinds, k)
		k = constantLoad(s, badServersLoad*0.2)
		k.Name += "-once"
		k.Idempotent = false
		kinds = append(kinds, k)
	}
	x, err := startLoad(ctx, standardPlan(e), phaseCalm, kinds, nil)
	if err != nil {
		return err
	}
	sleep(ctx, e.scale(3*time.Second))
	x.tally.SetPhase(phaseBad)
	for p, m := range faultModes {
		x.site.Servers[x.site.Pool(p)[0]].SetMode(m)
	}
	sleep(ctx, e.scale(badServersDuration))
	x.tally.SetPhase(phaseMended)
	for p := range faultModes {
		x.site.Servers[x.site.Pool(p)[0]].SetMode(backend.Normal)
	}
	sleep(ctx, e.scale(badServersDuration))
	retries := 0.0
	for _, y := range x.site.Entries {
		n, err := y.Metric(ctx, "retries")
		if err != nil {
			return err
		}
		retries += n
	}
	out := x.countExcludedVMs(ctx)
	r.metric("outAfterMending", out)
	x.finish(r)
	onceKinds := []string{}
	for _, s := range siteServices {
		onceKinds = append(onceKinds, s+"-once")
	}
	repeatable, once := x.tally.Kinds(phaseBad, siteServices...), x.tally.Kinds(phaseBad, onceKinds...)
	all := x.tally.All()
	recordCounts(r, "bad", x.tally.Phase(phaseBad))
	r.ratio("repeatableGoodput", float64(repeatable.Good), float64(repeatable.Sent))
	r.ratio("onceGoodput", float64(once.Good), float64(once.Sent))
	r.ratio("onceUnknown", float64(once.Unknown), float64(once.Sent))
	r.ratio("retries", retries, float64(all.Sent))
	r.checkTarget(float64(repeatable.Good) >= minRepeatableGoodput*float64(repeatable.Sent), "repeatable requests kept only %d of %d", repeatable.Good, repeatable.Sent)
	r.checkTarget(retries <= maxRetryRatio*float64(all.Sent), "%.0f retries for %d requests", retries, all.Sent)
	r.checkTarget(all.Late == 0, "%d answers came late", all.Late)
	r.checkTarget(out == 0, "%d views still have a mended server out", out)
	return nil
}

// poolView is a pool as an entry sees it.
type poolStatus struct {
	Name string            `json:"name"`
	Out  map[string]string `json:"out"`
	Load struct {
		Free    int `json:"free"`
		Usable  int `json:"usable"`
		Busy    int `json:"busy"`
		Waiting int `json:"waiting"`
	} `json:"load"`
}

// outOf counts the VMs that entries do not use, over all entries.
func (x *loadRun) countExcludedVMs(ctx context.Context) int {
	n := 0
	for _, y := range x.site.Entries {
		var l []poolStatus
		if y.Ask(ctx, "/v1/pools", &l) != nil {
			continue
		}
		for _, p := range l {
			n += len(p.Out)
		}
	}
	return n
}
