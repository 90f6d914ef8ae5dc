package experiment

import (
	"context"
	"net/netip"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
)

const (
	isolatedNeed  = 20 * time.Second
	isolatedWarm  = 3 * time.Second
	isolatedPart  = 0.3
	isolatedSpare = "ledger"
	movedHold     = 5 * time.Second
)

func init() {
	register("isolated", "VMs move while an entry hears neither peers nor the platform, but reaches the VMs", isolated)
}

func isolated(ctx context.Context, e Environment, r *Report) error {
	need := steady(floodPool, 1.1)
	need.Rate = func(d time.Duration) float64 {
		if d < e.scaled(isolatedWarm) {
			return 0
		}
		return 2 * poolRate
	}
	p := horncraft(e)
	p.Proxies = true
	p.PeerProxies = true
	x, err := start(ctx, p, calm, []load.Kind{need, steady(isolatedSpare, isolatedPart)}, nil)
	if err != nil {
		return err
	}
	maintained(x.site, longPeriod)
	if _, err := x.site.PostSource(ctx, x.site.Entries[0], nil); err != nil {
		return err
	}
	pause(ctx, e.scaled(isolatedWarm))
	x.isolate(x.site.Entries[6].CallerAddress.Addr())
	pause(ctx, e.scaled(isolatedNeed)+movedHold)
	var l []vmView
	if err := x.site.Entries[0].GetJSON(ctx, "/v1/vms", &l); err != nil {
		return err
	}
	lent, late := 0, 0
	for _, v := range l {
		if v.Pool == v.Home {
			continue
		}
		lent++
		if x.site.Servers[v.Name].LastStartedFor(isolatedSpare).After(v.Moved.Add(movedHold)) {
			late++
		}
	}
	x.finish(r)
	r.figure("lent", lent)
	r.figure("usedByOldPoolTooLate", late)
	outcomes(r, "spare", x.tally.Counts(calm, isolatedSpare))
	r.target(lent > 0, "no VM moved")
	r.expect(late == 0, "%d VMs still had work of their old pool %s after they had moved", late, movedHold)
	return nil
}

// isolate cuts an entry from all peers and the platform, but not from backend servers.
func (x *running) isolate(a netip.Addr) {
	entries := map[string]netip.Addr{platformName: {}}
	for _, y := range x.site.Entries {
		entries[y.Name] = y.CallerAddress.Addr()
	}
	for n, q := range x.site.Proxies {
		to, ok := entries[n]
		if !ok {
			continue
		}
		q.SetFaults(func(from netip.Addr) proxy.Fault {
			return proxy.Fault{Cut: from == a || to == a}
		})
	}
}
