package experiment

import (
	"context"
	"strings"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
)

const (
	// skewLoad is the load of each service as a fraction of its pool's capacity.
	skewLoad          = 0.8
	skewPhaseDuration = 10 * time.Second
	// halfLoadWeight gives one entry as much load as all others together, which have weight 1.
	halfLoadWeight = entryCount - 1
	phaseEven      = "even"
	phaseSkewed    = "skewed"
)

func init() {
	register("skew", "entries with equal and with unequal load; baselines demand, fixed and none", skew)
}

func skew(ctx context.Context, e Options, r *Report) error {
	policies := []string{"lending"}
	if e.Baseline != "" {
		policies = append(policies, e.Baseline)
	}
	for _, p := range policies {
		b := e
		b.OutDir += "-" + p
		if err := runSkew(ctx, b, r, p); err != nil {
			return err
		}
	}
	return nil
}

// runSkew measures both phases on one site with the given share policy.
func runSkew(ctx context.Context, e Options, r *Report, policy string) error {
	p := standardPlan(e)
	p.Settings = "sharePolicy = \"" + policy + "\"\n"
	kinds := []load.Kind{}
	for _, s := range siteServices {
		kinds = append(kinds, constantLoad(s, skewLoad))
	}
	x, err := startLoad(ctx, p, phaseRest, kinds, nil)
	if err != nil {
		return err
	}
	sleep(ctx, settleDuration)
	for _, phase := range []string{phaseEven, phaseSkewed} {
		if phase == phaseSkewed {
			x.tally.SetPhase(phaseRest)
			x.balancer.SetWeight(x.site.Entries[0].CallerAddress, halfLoadWeight)
			sleep(ctx, settleDuration)
		}
		x.tally.SetPhase(phase)
		refused, bytes := x.backendRefusals(), x.controlBytes(ctx)
		started := time.Now()
		sleep(ctx, e.scale(skewPhaseDuration))
		seconds := time.Since(started).Seconds()
		n := x.controlBytes(ctx) - bytes
		r.metric(policy+capitalize(phase)+"ControlBytesPerSecond", roundThousandth(n/seconds/entryCount))
		c := x.tally.SumPhase(phase)
		r.ratio(policy+capitalize(phase)+"BackendRefusals", float64(x.backendRefusals()-refused), float64(c.Sent))
	}
	x.finish(r)
	for _, phase := range []string{phaseEven, phaseSkewed} {
		c := x.tally.SumPhase(phase)
		r.ratio(policy+capitalize(phase)+"Goodput", float64(c.Good), float64(c.Sent))
		r.millis(policy+capitalize(phase)+"P99Ms", c.Latency(99))
	}
	return nil
}

// backendRefusals returns the number of requests that the backend servers refused.
func (x *loadRun) backendRefusals() int64 {
	n := int64(0)
	for _, s := range x.site.Servers {
		n += s.Refused()
	}
	return n
}

// controlBytes returns the bytes of control traffic that all entries sent and received. Entries that cannot be asked are
// left out.
func (x *loadRun) controlBytes(ctx context.Context) float64 {
	sum := 0.0
	for _, y := range x.site.Entries {
		for _, m := range []string{"control_bytes_sent", "control_bytes_received"} {
			v, err := y.MetricSum(ctx, m)
			if err == nil {
				sum += v
			}
		}
	}
	return sum
}

// capitalize returns s with its first letter in upper case, as a word within a camel case name. s must not be empty.
func capitalize(s string) string {
	return strings.ToUpper(s[:1]) + s[1:]
}
