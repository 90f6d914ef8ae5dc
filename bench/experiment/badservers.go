package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/backend"
	"github.com/tarragonbank/tarragonbank/bench/load"
)

const (
	// badServersLoad is the load of each service as a fraction of its pool's capacity.
	badServersLoad = 0.5
	// idempotentShare and onceShare split that load into requests that may be repeated and requests that may not.
	idempotentShare    = 0.8
	onceShare          = 0.2
	badServersWarmup   = 3 * time.Second
	badServersDuration = 15 * time.Second
	// minRepeatableGoodput is the least fraction of idempotent requests answered successfully in time.
	minRepeatableGoodput = 0.99
	// maxRetryRatio bounds the retries relative to the requests.
	maxRetryRatio = 0.10
	phaseBad      = "bad"
	phaseMended   = "mended"
)

// faultModes has the fault of one backend server of each pool.
var faultModes = map[string]backend.Mode{
	"cups": backend.Silent, "carving": backend.Failing, "finishing": backend.Slow,
	"export": backend.Truncating, "ledger": backend.MismatchedID,
}

func init() {
	register("badservers", "a silent, a failing, a slow, a truncating and a crossing backend server", badservers)
}

func badservers(ctx context.Context, e Options, r *Report) error {
	kinds := []load.Kind{}
	for _, s := range siteServices {
		k := constantLoad(s, badServersLoad*idempotentShare)
		kinds = append(kinds, k)
		k = constantLoad(s, badServersLoad*onceShare)
		k.Name += "-once"
		k.Idempotent = false
		kinds = append(kinds, k)
	}
	x, err := startLoad(ctx, standardPlan(e), phaseCalm, kinds, nil)
	if err != nil {
		return err
	}
	sleep(ctx, e.scale(badServersWarmup))
	x.tally.SetPhase(phaseBad)
	for p, m := range faultModes {
		x.site.Servers[x.site.PoolVMs(p)[0]].SetMode(m)
	}
	sleep(ctx, e.scale(badServersDuration))
	x.tally.SetPhase(phaseMended)
	for p := range faultModes {
		x.site.Servers[x.site.PoolVMs(p)[0]].SetMode(backend.Normal)
	}
	sleep(ctx, e.scale(badServersDuration))
	retries := 0.0
	for _, y := range x.site.Entries {
		n, err := y.MetricSum(ctx, "retries")
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
	repeatable, once := x.tally.SumKinds(phaseBad, siteServices...), x.tally.SumKinds(phaseBad, onceKinds...)
	all := x.tally.SumAll()
	recordCounts(r, "bad", x.tally.SumPhase(phaseBad))
	r.ratio("repeatableGoodput", float64(repeatable.Good), float64(repeatable.Sent))
	r.ratio("onceGoodput", float64(once.Good), float64(once.Sent))
	r.ratio("onceUnknown", float64(once.Unknown), float64(once.Sent))
	r.ratio("retries", retries, float64(all.Sent))
	r.checkTarget(float64(repeatable.Good) >= minRepeatableGoodput*float64(repeatable.Sent), "only %d of %d idempotent requests were answered successfully in time", repeatable.Good, repeatable.Sent)
	r.checkTarget(retries <= maxRetryRatio*float64(all.Sent), "%.0f retries for %d requests", retries, all.Sent)
	r.checkTarget(all.Late == 0, "%d requests were answered after their deadline", all.Late)
	r.checkTarget(out == 0, "entries still exclude servers after the faults ended, %d in all views together", out)
	return nil
}

// poolStatus is a pool in an entry's reply to /v1/pools. Out has the VMs that the entry excludes, with reasons.
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

// countExcludedVMs sums the VMs that each entry excludes from use. Entries that do not answer are left out.
func (x *loadRun) countExcludedVMs(ctx context.Context) int {
	n := 0
	for _, y := range x.site.Entries {
		var l []poolStatus
		if y.GetJSON(ctx, "/v1/pools", &l) != nil {
			continue
		}
		for _, p := range l {
			n += len(p.Out)
		}
	}
	return n
}
