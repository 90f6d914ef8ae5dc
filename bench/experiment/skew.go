package experiment

import (
	"context"
	"strings"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
)

const (
	skewPart   = 0.8
	skewPhase  = 10 * time.Second
	halfWeight = entryCount - 1
	even       = "even"
	skewed     = "skewed"
)

func init() {
	register("skew", "entries that see equal and unequal load; baselines demand, fixed and none", skew)
}

func skew(ctx context.Context, e Environment, r *Report) error {
	policies := []string{"lending"}
	if e.Baseline != "" {
		policies = append(policies, e.Baseline)
	}
	for _, p := range policies {
		b := e
		b.Out += "-" + p
		if err := skewOnce(ctx, b, r, p); err != nil {
			return err
		}
	}
	return nil
}

func skewOnce(ctx context.Context, e Environment, r *Report, policy string) error {
	p := horncraft(e)
	p.Settings = "sharePolicy = \"" + policy + "\"\n"
	kinds := []load.Kind{}
	for _, s := range horncraftServices {
		kinds = append(kinds, steady(s, skewPart))
	}
	x, err := start(ctx, p, rest, kinds, nil)
	if err != nil {
		return err
	}
	pause(ctx, settleLength)
	for _, phase := range []string{even, skewed} {
		if phase == skewed {
			x.tally.SetPhase(rest)
			x.balancer.SetWeight(x.site.Entries[0].CallerAddress, halfWeight)
			pause(ctx, settleLength)
		}
		x.tally.SetPhase(phase)
		refused, bytes := x.refused(), x.controlBytes(ctx)
		started := time.Now()
		pause(ctx, e.scaled(skewPhase))
		seconds := time.Since(started).Seconds()
		n := x.controlBytes(ctx) - bytes
		r.figure(policy+title(phase)+"ControlBytesPerSecond", round(n/seconds/entryCount))
		c := x.tally.SumPhase(phase)
		r.share(policy+title(phase)+"BackendRefusals", float64(x.refused()-refused), float64(c.Sent))
	}
	x.finish(r)
	for _, phase := range []string{even, skewed} {
		c := x.tally.SumPhase(phase)
		r.share(policy+title(phase)+"Goodput", float64(c.Good), float64(c.Sent))
		r.ms(policy+title(phase)+"P99Ms", c.Latency(99))
	}
	return nil
}

// refused is how many requests the backend servers refused.
func (x *running) refused() int64 {
	n := int64(0)
	for _, s := range x.site.Servers {
		n += s.Refused()
	}
	return n
}

// controlBytes is what all entries sent and received for control.
func (x *running) controlBytes(ctx context.Context) float64 {
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

// title begins a word of a camel case name.
func title(s string) string {
	return strings.ToUpper(s[:1]) + s[1:]
}
