package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/backend"
	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/platformsim"
)

const (
	leavingPart  = 0.5
	leavingWait  = 6 * time.Second
	leavingQuiet = 3 * time.Second
	// leavingOutage is longer than an entry takes the platform's last word as fresh.
	leavingOutage = 16 * time.Second
)

func init() {
	register("leaving", "servers leave by the platform's list, by what they say, and by both", leaving)
}

func leaving(ctx context.Context, e Environment, r *Report) error {
	kinds := []load.Kind{}
	for _, s := range horncraftServices {
		k := steady(s, leavingPart)
		k.Idempotent = false
		kinds = append(kinds, k)
	}
	x, err := start(ctx, horncraft(e), calm, kinds, nil)
	if err != nil {
		return err
	}
	pause(ctx, e.scaled(3*time.Second))
	listed := func(n string) {
		x.site.Platform.SetVM(platformsim.VM{Name: n, Address: x.site.VMAddress(n), Leaving: true, Boot: "1"})
	}
	said := func(n string) { x.site.Servers[n].SetMode(backend.Leaving) }
	for _, c := range []struct {
		name   string
		server string
		leave  []func(string)
	}{
		{"listed", x.site.Pool("cups")[0], []func(string){listed}},
		{"said", x.site.Pool("carving")[0], []func(string){said}},
		{"both", x.site.Pool("export")[0], []func(string){listed, said}},
	} {
		at := time.Now()
		for _, f := range c.leave {
			f(c.server)
		}
		pause(ctx, e.scaled(leavingWait))
		s := x.site.Servers[c.server]
		quiet := max(s.LastStarted().Sub(at), 0)
		r.ms(c.name+"QuietMs", quiet)
		r.figure(c.name+"Refused", s.Refused())
		r.target(quiet <= leavingQuiet, "a server that left by %s still took work after %s", c.name, quiet)
	}
	x.site.Platform.SetFaults(platformsim.Faults{Outage: true})
	gone := x.site.Servers[x.site.Pool("cups")[0]]
	before := gone.Started()
	pause(ctx, e.scaled(leavingOutage))
	r.figure("takenInOutage", gone.Started()-before)
	r.expect(gone.Started() == before, "a server that had left took %d requests once the platform was away", gone.Started()-before)
	x.finish(r)
	c := x.tally.SumAll()
	outcomes(r, "requests", c)
	r.expect(c.Unknown == 0, "%d requests have an unknown outcome", c.Unknown)
	r.expect(c.Broken == 0, "%d requests got no answer", c.Broken)
	return nil
}
