package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
)

const (
	meanLoad           = 0.3
	floodFactor        = 5
	floodDuration      = 3 * time.Second
	floodGap           = 2 * time.Second
	calmDuration       = 8 * time.Second
	settleDuration     = 2 * time.Second
	floodWarmup        = 500 * time.Millisecond
	openSettings       = "sharePolicy = \"none\"\nadmissionPolicy = \"open\"\n"
	phaseCalm          = "calm"
	phaseRest          = "rest"
	minGoodputRatio    = 0.99
	maxLatencyRatio    = 2
	minPoolUtilisation = 0.95
	maxWastedRatio     = 0.02
	maxRefusalLatency  = 5 * time.Millisecond
)

var siteServices = []string{"cups", "carving", "finishing", "export", "ledger"}

func init() {
	register("flood", "each service in turn asks for five times its mean, of the least and of the most urgent work", flood)
}

func flood(ctx context.Context, e Options, r *Report) error {
	if err := runFlood(ctx, e, r, "", ""); err != nil {
		return err
	}
	if e.Baseline == "" {
		return nil
	}
	b := e
	b.OutDir += "-baseline"
	return runFlood(ctx, b, r, "baseline", openSettings)
}

// floods switches the floods of each service and priority on and off.
type floodSchedule struct {
	started time.Time
	e       Options
}

// window is when the n-th flood of a run lasts.
func (f floodSchedule) window(n int) (from, to time.Duration) {
	from = f.e.scale(settleDuration + calmDuration + time.Duration(n)*(floodDuration+floodGap))
	return from, from + f.e.scale(floodDuration)
}

// rate is the extra rate of the n-th flood.
func (f floodSchedule) rate(n int) func(time.Duration) float64 {
	from, to := f.window(n)
	return func(d time.Duration) float64 {
		if d < from || d >= to {
			return 0
		}
		return meanLoad * (floodFactor - 1) * poolRate
	}
}

func floodKinds(e Options) []load.Kind {
	f := floodSchedule{e: e}
	l := []load.Kind{}
	for _, s := range siteServices {
		l = append(l, constantLoad(s, meanLoad))
	}
	for i, p := range []string{"low", "urgent"} {
		for j, s := range siteServices {
			k := constantLoad(s, 0)
			k.Name = s + "-" + p
			k.Priority = p
			k.Rate = f.rate(i*len(siteServices) + j)
			l = append(l, k)
		}
	}
	return l
}

func runFlood(ctx context.Context, e Options, r *Report, prefix, settings string) error {
	p := standardPlan(e)
	p.Settings = settings
	x, err := startLoad(ctx, p, phaseRest, floodKinds(e), nil)
	if err != nil {
		return err
	}
	started := time.Now()
	at := func(d time.Duration) { sleep(ctx, time.Until(started.Add(d))) }
	at(e.scale(settleDuration))
	x.tally.SetPhase(phaseCalm)
	own := []float64{}
	f := floodSchedule{e: e}
	for n := range 2 * len(siteServices) {
		from, to := f.window(n)
		at(from)
		s := siteServices[n%len(siteServices)]
		x.tally.SetPhase(s + "-" + []string{"low", "urgent"}[n/len(siteServices)])
		own = append(own, x.measureUtilisation(ctx, s, from+floodWarmup, to, started))
		x.tally.SetPhase(phaseRest)
	}
	at(e.scale(settleDuration) + e.scale(calmDuration) + 10*e.scale(floodDuration+floodGap))
	if prefix == "" {
		x.finish(r)
	} else {
		x.finish(newReport("baseline", e))
	}
	reportFlood(x, r, prefix, own)
	return nil
}

// served is the part of a pool's slots that began work between the two times.
func (x *loadRun) measureUtilisation(ctx context.Context, pool string, from, to time.Duration, started time.Time) float64 {
	sleep(ctx, time.Until(started.Add(from)))
	before := x.countTaken(pool)
	begun := time.Now()
	sleep(ctx, time.Until(started.Add(to)))
	return float64(x.countTaken(pool)-before) / (poolRate * time.Since(begun).Seconds())
}

func (x *loadRun) countTaken(pool string) int64 {
	n := int64(0)
	for _, v := range x.site.Pool(pool) {
		n += x.site.Servers[v].Taken()
	}
	return n
}

func reportFlood(x *loadRun, r *Report, prefix string, own []float64) {
	name := func(s string) string {
		if prefix == "" {
			return s
		}
		return prefix + capitalize(s)
	}
	worst, worstLatency := 1.0, 0.0
	sums := map[string][2]float64{}
	for _, p := range []string{"low", "urgent"} {
		for _, s := range siteServices {
			phase := s + "-" + p
			compareOthers(x, s, phase, &worst, &worstLatency)
			mine := x.tally.Counts(phase, s)
			sums[p] = [2]float64{sums[p][0] + float64(mine.Good), sums[p][1] + float64(mine.Sent)}
		}
	}
	least := own[0]
	for _, v := range own {
		least = min(least, v)
	}
	all := x.tally.All()
	spent, wasted := x.site.Ledger.Busy()
	r.metric(name("othersGoodputKept"), roundThousandth(worst))
	r.metric(name("othersP99Factor"), roundThousandth(worstLatency))
	r.metric(name("ownGoodputOfCapacity"), roundThousandth(least))
	r.metric(name("ownGoodputOfEachFlood"), roundAll(own))
	r.metric(name("backendRefusals"), x.backendRefusals())
	r.ratio(name("normalKeptInLowFlood"), sums["low"][0], sums["low"][1])
	r.ratio(name("normalKeptInUrgentFlood"), sums["urgent"][0], sums["urgent"][1])
	r.ratio(name("wastedSlotTime"), wasted, spent)
	r.millis(name("refusalP99Ms"), all.Refusal(99))
	recordCounts(r, name("all"), all)
	if prefix != "" {
		return
	}
	r.checkTarget(worst >= minGoodputRatio, "another service kept only %.3f of its goodput", worst)
	r.checkTarget(worstLatency <= maxLatencyRatio, "another service's p99 grew %.2f times", worstLatency)
	r.checkTarget(least >= minPoolUtilisation, "a flooded service used only %.3f of its pool", least)
	r.checkTarget(wasted <= maxWastedRatio*spent, "%.3f of the slots' time was wasted", wasted/spent)
	r.checkTarget(all.Refusal(99) <= maxRefusalLatency, "refusals took %s at p99", all.Refusal(99))
}

// others compares the services that are not flooded with themselves in the calm.
func compareOthers(x *loadRun, flooded, phase string, worst, worstLatency *float64) {
	for _, s := range siteServices {
		if s == flooded {
			continue
		}
		a, b := x.tally.Counts(phaseCalm, s), x.tally.Counts(phase, s)
		before := float64(a.Good) / float64(a.Sent)
		now := float64(b.Good) / float64(b.Sent)
		*worst = min(*worst, now/before)
		*worstLatency = max(*worstLatency, float64(b.Latency(99))/float64(a.Latency(99)))
	}
}

func roundAll(l []float64) []float64 {
	r := []float64{}
	for _, v := range l {
		r = append(r, roundThousandth(v))
	}
	return r
}
