package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
)

const (
	// meanLoad is the usual load of each service as a fraction of its pool's capacity.
	meanLoad = 0.3
	// floodFactor is the load of a flooded service relative to its usual load.
	floodFactor    = 5
	floodDuration  = 3 * time.Second
	floodGap       = 2 * time.Second
	calmDuration   = 8 * time.Second
	settleDuration = 2 * time.Second
	// floodWarmup is left out of the utilisation measured during a flood.
	floodWarmup = 500 * time.Millisecond
	// openSettings turn off sharing and admission control.
	openSettings = "sharePolicy = \"none\"\nadmissionPolicy = \"open\"\n"
	// phaseCalm is the phase before faults or floods begin. Other phases are compared with it.
	phaseCalm = "calm"
	// phaseRest covers the time outside the other phases.
	phaseRest = "rest"
	// minGoodputRatio and maxLatencyRatio bound the goodput and the p99 latency of the other services, relative to
	// phaseCalm.
	minGoodputRatio = 0.99
	maxLatencyRatio = 2
	// minPoolUtilisation is the least fraction of its pool that a flooded service has to use.
	minPoolUtilisation = 0.95
	// maxWastedRatio is the greatest fraction of slot time that may go to answers after their deadline.
	maxWastedRatio = 0.02
	// maxRefusalLatency bounds the p99 latency of refusals.
	maxRefusalLatency = 5 * time.Millisecond
)

var siteServices = []string{"cups", "carving", "finishing", "export", "ledger"}

func init() {
	register("flood", "each service in turn sends five times its mean load, first at the lowest and then at the highest priority", flood)
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

// floodSchedule gives the time and rate of the floods, which are numbered by priority and then by service.
type floodSchedule struct {
	started time.Time
	e       Options
}

// window returns the start and end of the n-th flood, relative to the start of the load.
func (f floodSchedule) window(n int) (from, to time.Duration) {
	from = f.e.scale(settleDuration + calmDuration + time.Duration(n)*(floodDuration+floodGap))
	return from, from + f.e.scale(floodDuration)
}

// rate returns the requests a second that the n-th flood adds to the usual load, by time since the start of the load.
func (f floodSchedule) rate(n int) func(time.Duration) float64 {
	from, to := f.window(n)
	return func(d time.Duration) float64 {
		if d < from || d >= to {
			return 0
		}
		return meanLoad * (floodFactor - 1) * poolRate
	}
}

// floodKinds returns the usual load of each service and one kind of request for each flood.
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

// runFlood runs all floods on one site with the given settings. A prefix marks a baseline run: it is put before the
// names of the metrics, and the targets are not checked.
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

// measureUtilisation returns the requests that a pool began between the two times, relative to the pool's capacity.
// Both times count from started.
func (x *loadRun) measureUtilisation(ctx context.Context, pool string, from, to time.Duration, started time.Time) float64 {
	sleep(ctx, time.Until(started.Add(from)))
	before := x.countTaken(pool)
	begun := time.Now()
	sleep(ctx, time.Until(started.Add(to)))
	return float64(x.countTaken(pool)-before) / (poolRate * time.Since(begun).Seconds())
}

// countTaken returns the number of requests that the backend servers of a pool have begun.
func (x *loadRun) countTaken(pool string) int64 {
	n := int64(0)
	for _, v := range x.site.PoolVMs(pool) {
		n += x.site.Servers[v].Started()
	}
	return n
}

// reportFlood records the metrics of a flood run. own has the utilisation that each flooded service reached.
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
	all := x.tally.SumAll()
	spent, wasted := x.site.Recorder.BusySeconds()
	r.metric(name("othersGoodputKept"), roundThousandth(worst))
	r.metric(name("othersP99Factor"), roundThousandth(worstLatency))
	r.metric(name("ownGoodputOfCapacity"), roundThousandth(least))
	r.metric(name("ownGoodputOfEachFlood"), roundAll(own))
	r.metric(name("backendRefusals"), x.backendRefusals())
	r.ratio(name("normalKeptInLowFlood"), sums["low"][0], sums["low"][1])
	r.ratio(name("normalKeptInUrgentFlood"), sums["urgent"][0], sums["urgent"][1])
	r.ratio(name("wastedSlotTime"), wasted, spent)
	r.millis(name("refusalP99Ms"), all.RefusalLatency(99))
	recordCounts(r, name("all"), all)
	if prefix != "" {
		return
	}
	r.checkTarget(worst >= minGoodputRatio, "a service that was not flooded kept only %.3f of its goodput", worst)
	r.checkTarget(worstLatency <= maxLatencyRatio, "the p99 latency of a service that was not flooded grew by a factor of %.2f", worstLatency)
	r.checkTarget(least >= minPoolUtilisation, "a flooded service used only %.3f of its pool's capacity", least)
	r.checkTarget(wasted <= maxWastedRatio*spent, "%.3f of the slot time was spent on answers after their deadline", wasted/spent)
	r.checkTarget(all.RefusalLatency(99) <= maxRefusalLatency, "the p99 latency of refusals is %s", all.RefusalLatency(99))
}

// compareOthers compares each service that is not flooded with itself in phaseCalm, and lowers worst and raises
// worstLatency to the worst ratio found.
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
