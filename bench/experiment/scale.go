package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/site"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	scaleWarmup       = 3 * time.Second
	scaleIdleDuration = 8 * time.Second
	scaleChanges      = 10
	// dataCentres, fullSizeVMs and fullSizePools are the size of the full fleet.
	dataCentres   = 6
	fullSizeVMs   = 1300
	fullSizePools = 210
)

func init() {
	register("scale", "cost of the control plane by number of entries, VMs and pools", scale)
}

// siteSize is the size of one measured site.
type siteSize struct {
	entries int
	vms     int
	pools   int
}

func scale(ctx context.Context, e Options, r *Report) error {
	l := []siteSize{{7, 50, 5}, {14, 50, 5}, {28, 50, 5}, {42, 50, 5}, {7, 650, 105}, {7, fullSizeVMs, fullSizePools}, {42, fullSizeVMs, fullSizePools}}
	for _, x := range l {
		if err := measureSize(ctx, e, r, x); err != nil {
			return err
		}
	}
	return nil
}

// measureSize records the idle cost, the bytes per change and the slowest change of one site.
func measureSize(ctx context.Context, e Options, r *Report, z siteSize) error {
	p := standardPlan(e)
	p.Out = fmt.Sprintf("%s-%d-%d", e.OutDir, z.entries, z.vms)
	p.Entries = z.entries
	p.Source = syntheticSource(z)
	s, err := site.New(ctx, p)
	if err != nil {
		return err
	}
	defer s.Stop()
	sleep(ctx, scaleWarmup)
	name := fmt.Sprintf("entries%dVms%d", z.entries, z.vms)
	u, err := measureIdleCost(ctx, s, e.scale(scaleIdleDuration))
	if err != nil {
		return err
	}
	u.report(r, name)
	before, err := totalCost(ctx, s)
	if err != nil {
		return err
	}
	started := time.Now()
	times, err := measureChanges(ctx, s, scaleChanges)
	if err != nil {
		return err
	}
	after, err := totalCost(ctx, s)
	if err != nil {
		return err
	}
	n := float64(z.entries)
	quiet := u.bytes * time.Since(started).Seconds()
	r.metric(name+"BytesPerChange", roundThousandth(((after.bytes-before.bytes)/n-quiet)/scaleChanges))
	r.millis(name+"InForceWorstMs", longest(times))
	return nil
}

// longest returns the greatest duration. l must not be empty.
func longest(l []time.Duration) time.Duration {
	w := l[0]
	for _, d := range l {
		w = max(w, d)
	}
	return w
}

// syntheticSource generates rules and an inventory of the given size, spread over all data centres with 4 VMs in a rack.
func syntheticSource(z siteSize) *config.Source {
	s := &config.Source{Inventory: &schema.Inventory{}, Rules: &schema.Rules{}}
	for i := range z.pools {
		n := fmt.Sprintf("pool-%03d", i)
		s.Rules.Pools = append(s.Rules.Pools, &schema.Pool{Name: n, MaxDown: 1})
		s.Rules.Services = append(s.Rules.Services, &schema.Service{Name: n, Prefix: "/" + n + "/", Pool: n})
	}
	for i := range z.vms {
		d := i / 4 % dataCentres
		s.Inventory.Vms = append(s.Inventory.Vms, &schema.Vm{
			Name: fmt.Sprintf("vm-%04d", i), DataCentre: fmt.Sprintf("dc-%d", d), Rack: fmt.Sprintf("dc-%d-r%d", d, i/4/dataCentres),
			Address: fmt.Sprintf("127.250.%d.%d:80", i/200, 1+i%200), Pool: fmt.Sprintf("pool-%03d", i%z.pools),
			Processors: 64, MemoryGb: 128, Accelerators: 2, Slots: 8, Connections: 64,
		})
	}
	return s
}
