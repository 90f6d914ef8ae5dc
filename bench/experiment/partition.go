package experiment

import (
	"context"
	"net/netip"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
)

const (
	// partitionLoad is the load of each service as a fraction of its pool's capacity.
	partitionLoad   = 0.2
	cutDuration     = 8 * time.Second
	healDuration    = 5 * time.Second
	partitionWarmup = 3 * time.Second
	// maxCatchUpDelay bounds the time from the end of a cut until all entries have the last change in force.
	maxCatchUpDelay = 3 * time.Second
	// minPartitionGoodput is the least fraction of requests answered in time, with and without a cut.
	minPartitionGoodput = 0.98
	cutDataCentre       = "arusha-1"
)

func init() {
	register("partition", "a data centre cut off from the others, from the platform and from both, during configuration changes", partition)
}

// linkCut says which links of cutDataCentre are cut: those to other data centres, those to the platform, or both.
type linkCut struct {
	name     string
	others   bool
	platform bool
}

func partition(ctx context.Context, e Options, r *Report) error {
	p := standardPlan(e)
	p.Proxies = true
	p.PeerProxies = true
	kinds := []load.Kind{}
	for _, s := range siteServices {
		kinds = append(kinds, constantLoad(s, partitionLoad))
	}
	x, err := startLoad(ctx, p, phaseCalm, kinds, nil)
	if err != nil {
		return err
	}
	w := watchRevisions(ctx, x.site)
	sleep(ctx, e.scale(partitionWarmup))
	last := uint64(1)
	for i, c := range []linkCut{{"others", true, false}, {"platform", false, true}, {"both", true, true}} {
		x.tally.SetPhase(c.name + "Settling")
		x.applyCut(c)
		sleep(ctx, e.scale(cutDuration)/2)
		x.tally.SetPhase(c.name)
		x.site.Source.Rules.Pools[0].MaxDown = int32(1 + i%2)
		if last, err = x.site.PostSource(ctx, x.entryOutsideCut(), nil); err != nil {
			return err
		}
		sleep(ctx, e.scale(cutDuration)/2)
		r.metric(c.name+"BehindWhileCut", x.countBehind(ctx, last))
		x.tally.SetPhase(c.name + "Healing")
		x.applyCut(linkCut{})
		healed := time.Now()
		if err := awaitAllEntries(ctx, x.site, last); err != nil {
			return err
		}
		r.millis(c.name+"HealedMs", time.Since(healed))
		r.checkTarget(time.Since(healed) <= maxCatchUpDelay, "after the cut from %s ended, the last entry caught up only after %s", c.name, time.Since(healed))
		sleep(ctx, e.scale(healDuration))
	}
	w.report(r)
	x.finish(r)
	for _, c := range []string{phaseCalm, "others", "platform", "both"} {
		t := x.tally.SumPhase(c)
		recordCounts(r, c, t)
		r.ratio(c+"Goodput", float64(t.Good), float64(t.Sent))
		r.checkTarget(float64(t.Good) >= minPartitionGoodput*float64(t.Sent), "in phase %q only %d of %d requests were answered successfully in time", c, t.Good, t.Sent)
	}
	return nil
}

// applyCut cuts the links in c and restores all others.
func (x *loadRun) applyCut(c linkCut) {
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

// platformName is the name of the platform's proxy among the proxies of the site.
const platformName = "platform"
