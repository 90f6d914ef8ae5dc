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
	// isolatedLoad is the load of the donor pool as a fraction of its capacity.
	isolatedLoad = 0.3
	// overloadFactor is the load of the overloaded pool as a multiple of its capacity.
	overloadFactor = 2
	// donorPool is the pool whose VMs are lent.
	donorPool = "ledger"
	// oldPoolGrace is the time after a move in which entries that have not heard of it may still use the VM for its old
	// pool. It equals the time for which the new pool leaves the VM alone.
	oldPoolGrace = 5 * time.Second
)

func init() {
	register("isolated", "VMs are lent while one entry is cut off from peers and the platform, but reaches backend servers", isolated)
}

func isolated(ctx context.Context, e Options, r *Report) error {
	need := constantLoad(overloadedPool, 1.1)
	need.Rate = func(d time.Duration) float64 {
		if d < e.scale(isolatedWarmup) {
			return 0
		}
		return overloadFactor * poolRate
	}
	p := standardPlan(e)
	p.Proxies = true
	p.PeerProxies = true
	x, err := startLoad(ctx, p, phaseCalm, []load.Kind{need, constantLoad(donorPool, isolatedLoad)}, nil)
	if err != nil {
		return err
	}
	setMaintenanceRules(x.site, distantPeriod)
	if _, err := x.site.PostSource(ctx, x.site.Entries[0], nil); err != nil {
		return err
	}
	sleep(ctx, e.scale(isolatedWarmup))
	x.isolate(x.site.Entries[6].CallerAddress.Addr())
	sleep(ctx, e.scale(overloadDuration)+oldPoolGrace)
	var l []vmStatus
	if err := x.site.Entries[0].GetJSON(ctx, "/v1/vms", &l); err != nil {
		return err
	}
	lent, late := 0, 0
	for _, v := range l {
		if v.Pool == v.Home {
			continue
		}
		lent++
		if x.site.Servers[v.Name].LastStartedFor(donorPool).After(v.Moved.Add(oldPoolGrace)) {
			late++
		}
	}
	x.finish(r)
	r.metric("lent", lent)
	r.metric("usedByOldPoolTooLate", late)
	recordCounts(r, "spare", x.tally.Counts(phaseCalm, donorPool))
	r.checkTarget(lent > 0, "no VM was lent")
	r.check(late == 0, "%d VMs began requests of their old pool more than %s after their move", late, oldPoolGrace)
	return nil
}

// isolate cuts the links between one entry and its peers and the platform, but not those to backend servers.
func (x *loadRun) isolate(a netip.Addr) {
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
