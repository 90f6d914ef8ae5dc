package experiment

import (
	"context"
	"net/netip"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
)

const (
	overloadDuration = 20 * time.Second
	isolatedWarmup   = 3 * time.Second
	isolatedLoad     = 0.3
	donorPool        = "ledger"
	oldPoolGrace     = 5 * time.Second
)

func init() {
	register("isolated", "VMs move while an entry hears neither peers nor the platform, but reaches the VMs", isolated)
}

func isolated(ctx context.Context, e Options, r *Report) error {
	need := constantLoad(overloadedPool, 1.1)
	need.Rate = func(d time.Duration) float64 {
		if d < e.scale(isolatedWarmup) {
			return 0
		}
		return 2 * poolRate
	}
	p := standardPlan(e)
	p.Proxies = true
	p.PeerProxies = true
	x, err := startLoad(ctx, p, phaseCalm, []load.Kind{need, constantLoad(donorPool, isolatedLoad)}, nil)
	if err != nil {
		return err
	}
	setMaintenanceRules(x.site, distantPeriod)
	if _, err := x.site.Change(ctx, x.site.Entries[0], nil); err != nil {
		return err
	}
	sleep(ctx, e.scale(isolatedWarmup))
	x.isolate(x.site.Entries[6].Caller.Addr())
	sleep(ctx, e.scale(overloadDuration)+oldPoolGrace)
	var l []vmStatus
	if err := x.site.Entries[0].Ask(ctx, "/v1/vms", &l); err != nil {
		return err
	}
	lent, late := 0, 0
	for _, v := range l {
		if v.Pool == v.Home {
			continue
		}
		lent++
		if x.site.Servers[v.Name].LastOf(donorPool).After(v.Moved.Add(oldPoolGrace)) {
			late++
		}
	}
	x.finish(r)
	r.metric("lent", lent)
	r.metric("usedByOldPoolTooLate", late)
	recordCounts(r, "spare", x.tally.Counts(phaseCalm, donorPool))
	r.checkTarget(lent > 0, "no VM moved")
	r.check(late == 0, "%d VMs still had work of their old pool %s after they had moved", late, oldPoolGrace)
	return nil
}

// isolate cuts an entry from all peers and the platform, but not from backend servers.
func (x *loadRun) isolate(a netip.Addr) {
	entries := map[string]netip.Addr{platformName: {}}
	for _, y := range x.site.Entries {
		entries[y.Name] = y.Caller.Addr()
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
