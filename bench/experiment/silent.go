package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
)

const (
	// silentLoad is the load of each service's idempotent requests as a fraction of its pool's capacity.
	silentLoad        = 0.4
	silentServiceTime = 50 * time.Millisecond
	silentWarmup      = 4 * time.Second
	// recoveryLimit is the time after which requests have to succeed again.
	recoveryLimit = time.Second
	// silentInterval is the time from one silencing of all connections to the next.
	silentInterval = 4 * time.Second
	silentRounds   = 3
	phaseSilenced  = "silenced"
	phaseRecovered = "recovered"
	// minRecoveredGoodput is the least fraction of requests answered successfully in time after recoveryLimit.
	minRecoveredGoodput = 0.99
)

func init() {
	register("silent", "all open connections stop carrying data for good, while new ones work", silent)
}

func silent(ctx context.Context, e Options, r *Report) error {
	kinds := []load.Kind{}
	for _, s := range siteServices {
		k := constantLoad(s, silentLoad)
		k.ServiceTime = silentServiceTime
		kinds = append(kinds, k)
		k.Name += "-once"
		k.Idempotent = false
		k.Rate = func(time.Duration) float64 { return silentLoad * poolRate / 4 }
		kinds = append(kinds, k)
	}
	p := standardPlan(e)
	p.Proxies = true
	p.PeerProxies = true
	x, err := startLoad(ctx, p, phaseCalm, kinds, nil)
	if err != nil {
		return err
	}
	sleep(ctx, e.scale(silentWarmup))
	connections := 0
	for range silentRounds {
		x.tally.SetPhase(phaseSilenced)
		for _, q := range x.site.Proxies {
			connections += q.Blackhole()
		}
		sleep(ctx, recoveryLimit)
		x.tally.SetPhase(phaseRecovered)
		sleep(ctx, e.scale(silentInterval)-recoveryLimit)
	}
	out := x.countExcludedVMs(ctx)
	x.finish(r)
	r.metric("connectionsSilenced", connections)
	r.metric("serversOut", out)
	for _, p := range []string{phaseCalm, phaseSilenced, phaseRecovered} {
		recordCounts(r, p, x.tally.SumPhase(p))
	}
	c := x.tally.SumPhase(phaseRecovered)
	r.ratio("recoveredGoodput", float64(c.Good), float64(c.Sent))
	r.checkTarget(float64(c.Good) >= minRecoveredGoodput*float64(c.Sent), "from %s after connections were silenced, only %d of %d requests were answered successfully in time", recoveryLimit, c.Good, c.Sent)
	r.checkTarget(out == 0, "entries exclude servers that work, %d in all views together", out)
	return nil
}
