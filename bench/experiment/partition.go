package experiment

import (
	"context"
	"net/netip"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
)

const (
	partitionPart = 0.2
	partitionCut  = 8 * time.Second
	partitionHeal = 5 * time.Second
	partitionWarm = 3 * time.Second
	healLimit     = 3 * time.Second
	partitionKept = 0.98
	cutDataCentre = "arusha-1"
)

func init() {
	register("partition", "a data centre cut from the others, from the platform, from both, with changes meanwhile", partition)
}

// cut is what a data centre is cut from.
type cut struct {
	name     string
	others   bool
	platform bool
}

func partition(ctx context.Context, e Environment, r *Report) error {
	p := horncraft(e)
	p.Proxies = true
	p.PeerProxies = true
	kinds := []load.Kind{}
	for _, s := range horncraftServices {
		kinds = append(kinds, steady(s, partitionPart))
	}
	x, err := start(ctx, p, calm, kinds, nil)
	if err != nil {
		return err
	}
	w := watchRevisions(ctx, x.site)
	pause(ctx, e.scaled(partitionWarm))
	last := uint64(1)
	for i, c := range []cut{{"others", true, false}, {"platform", false, true}, {"both", true, true}} {
		x.tally.SetPhase(c.name + "Settling")
		x.cut(c)
		pause(ctx, e.scaled(partitionCut)/2)
		x.tally.SetPhase(c.name)
		x.site.Source.Rules.Pools[0].MaxDown = int32(1 + i%2)
		if last, err = x.site.PostSource(ctx, x.outside(), nil); err != nil {
			return err
		}
		pause(ctx, e.scaled(partitionCut)/2)
		r.figure(c.name+"BehindWhileCut", x.behind(ctx, last))
		x.tally.SetPhase(c.name + "Healing")
		x.cut(cut{})
		healed := time.Now()
		if err := everywhere(ctx, x.site, last); err != nil {
			return err
		}
		r.ms(c.name+"HealedMs", time.Since(healed))
		r.target(time.Since(healed) <= healLimit, "after the cut from %s the last entry caught up only after %s", c.name, time.Since(healed))
		pause(ctx, e.scaled(partitionHeal))
	}
	w.report(r)
	x.finish(r)
	for _, c := range []string{calm, "others", "platform", "both"} {
		t := x.tally.SumPhase(c)
		outcomes(r, c, t)
		r.share(c+"Goodput", float64(t.Good), float64(t.Sent))
		r.target(float64(t.Good) >= partitionKept*float64(t.Sent), "cut from %s, only %d of %d requests were answered well", c, t.Good, t.Sent)
	}
	return nil
}

// cut brings about what the data centre is cut from, and heals the rest.
func (x *running) cut(c cut) {
	home := map[string]string{platformName: ""}
	for _, v := range x.site.Source.Inventory.Vms {
		home[v.Name] = v.DataCentre
	}
	for _, y := range x.site.Entries {
		home[y.Name] = y.DataCentre
	}
	for n, q := range x.site.Proxies {
		q.SetFaults(func(from netip.Addr) proxy.Fault {
			inside := x.site.DataCentreOf(from) == cutDataCentre
			if n == platformName {
				return proxy.Fault{Cut: c.platform && inside}
			}
			return proxy.Fault{Cut: c.others && inside != (home[n] == cutDataCentre)}
		})
	}
}

const platformName = "platform"
