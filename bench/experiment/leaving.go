package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/backend"
	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/platformsim"
)

const (
	// leavingLoad is the load of each service as a fraction of its pool's capacity.
	leavingLoad   = 0.5
	leavingWarmup = 3 * time.Second
	// leavingObservation is how long a server is observed after it begins to leave.
	leavingObservation = 6 * time.Second
	// maxLeaveDelay bounds the time in which a leaving server still gets new requests.
	maxLeaveDelay = 3 * time.Second
	// platformOutage is longer than an entry trusts the last reply of the platform.
	platformOutage = 16 * time.Second
)

func init() {
	register("leaving", "servers leave by the platform's list, by their own answers, and by both", leaving)
}

func leaving(ctx context.Context, e Options, r *Report) error {
	kinds := []load.Kind{}
	for _, s := range siteServices {
		k := constantLoad(s, leavingLoad)
		k.Idempotent = false
		kinds = append(kinds, k)
	}
	x, err := startLoad(ctx, standardPlan(e), phaseCalm, kinds, nil)
	if err != nil {
		return err
	}
	sleep(ctx, e.scale(leavingWarmup))
	listed := func(n string) {
		x.site.Platform.SetVM(platformsim.VM{Name: n, Address: x.site.VMAddress(n), Leaving: true, Boot: "1"})
	}
	said := func(n string) { x.site.Servers[n].SetMode(backend.Leaving) }
	for _, c := range []struct {
		name   string
		server string
		leave  []func(string)
	}{
		{"listed", x.site.PoolVMs("cups")[0], []func(string){listed}},
		{"said", x.site.PoolVMs("carving")[0], []func(string){said}},
		{"both", x.site.PoolVMs("export")[0], []func(string){listed, said}},
	} {
		at := time.Now()
		for _, f := range c.leave {
			f(c.server)
		}
		sleep(ctx, e.scale(leavingObservation))
		s := x.site.Servers[c.server]
		quiet := max(s.LastStarted().Sub(at), 0)
		r.millis(c.name+"QuietMs", quiet)
		r.metric(c.name+"Refused", s.Refused())
		r.checkTarget(quiet <= maxLeaveDelay, "a server whose leaving was signalled as %q still got requests after %s", c.name, quiet)
	}
	x.site.Platform.SetFaults(platformsim.Faults{Outage: true})
	gone := x.site.Servers[x.site.PoolVMs("cups")[0]]
	before := gone.Started()
	sleep(ctx, e.scale(platformOutage))
	r.metric("takenInOutage", gone.Started()-before)
	r.check(gone.Started() == before, "a server that had left got %d requests during the outage of the platform", gone.Started()-before)
	x.finish(r)
	c := x.tally.SumAll()
	recordCounts(r, "requests", c)
	r.check(c.Unknown == 0, "%d requests have an unknown outcome", c.Unknown)
	r.check(c.Broken == 0, "%d requests failed without an answer", c.Broken)
	return nil
}
