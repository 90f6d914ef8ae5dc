package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/platformsim"
)

const (
	// keyedRate is in requests a second; each is sent copiesPerKey times.
	keyedRate        = 250.0
	keyedServiceTime = 20 * time.Millisecond
	onceDuration     = 20 * time.Second
	// onceLostAnswers is the fraction of store writes that take effect but are not answered.
	onceLostAnswers = 0.1
	killInterval    = 4 * time.Second
	// maxStoreWritesPerSecond bounds the store writes for claims of keys without faults.
	maxStoreWritesPerSecond = 300.0
	phaseQuiet              = "quiet"
	phaseFaults             = "faults"
	phaseOutage             = "outage"
	restartDelay            = time.Second
	copiesPerKey            = 2
	outageDuration          = 3 * time.Second
)

func init() {
	register("once", "requests with idempotency keys sent twice, while entries are killed and store answers are lost", once)
}

func once(ctx context.Context, e Options, r *Report) error {
	keyed := load.Kind{
		Name: "keyed", Service: "export", Path: "/export/papers", Deadline: requestDeadline, ServiceTime: keyedServiceTime,
		Keyed: true, Copies: copiesPerKey, Rate: func(time.Duration) float64 { return keyedRate },
	}
	unkeyed := keyed
	unkeyed.Name = "unkeyed"
	unkeyed.Keyed = false
	unkeyed.Copies = 1
	unkeyed.Rate = func(time.Duration) float64 { return keyedRate / 5 }
	x, err := startLoad(ctx, standardPlan(e), phaseRest, []load.Kind{keyed, unkeyed}, nil)
	if err != nil {
		return err
	}
	sleep(ctx, time.Second)
	x.tally.SetPhase(phaseQuiet)
	before, started := x.site.Platform.Calls(), time.Now()
	sleep(ctx, e.scale(onceDuration/2))
	after, seconds := x.site.Platform.Calls(), time.Since(started).Seconds()
	writes := float64(after.Writes-before.Writes) / seconds
	r.metric("storeWritesPerSecond", roundThousandth(writes))
	r.metric("storeReadsPerSecond", roundThousandth(float64(after.Reads-before.Reads)/seconds))
	r.checkTarget(writes <= maxStoreWritesPerSecond, "claims of keys took %.0f store writes a second", writes)
	x.tally.SetPhase(phaseFaults)
	x.site.Platform.SetFaults(platformsim.Faults{LostResponseRate: onceLostAnswers})
	if err := x.killEntries(ctx, e.scale(onceDuration), rand.New(rand.NewPCG(e.Seed, 7))); err != nil {
		return err
	}
	x.tally.SetPhase(phaseRest)
	x.site.Platform.SetFaults(platformsim.Faults{Outage: true})
	sleep(ctx, requestDeadline)
	x.tally.SetPhase(phaseOutage)
	sleep(ctx, e.scale(outageDuration))
	x.tally.SetPhase(phaseRest)
	sleep(ctx, requestDeadline)
	x.site.Platform.SetFaults(platformsim.Faults{})
	sleep(ctx, time.Second)
	keys := x.site.Recorder.KeyCount()
	x.finish(r)
	r.metric("keysRun", keys)
	for _, p := range []string{phaseQuiet, phaseFaults, phaseOutage} {
		c := x.tally.Counts(p, "keyed")
		recordCounts(r, p+"Keyed", c)
		r.metric(p+"KeyedDuplicates", c.Reasons["duplicateKey"])
	}
	c := x.tally.Counts(phaseOutage, "keyed")
	r.check(c.Good == 0, "%d keyed requests ran during the store outage, when no key could be claimed", c.Good)
	r.millis("refusedInOutageP99Ms", c.RefusalLatency(99))
	quiet := x.tally.Counts(phaseQuiet, "keyed")
	r.checkTarget(quiet.Good*copiesPerKey >= quiet.Sent*9/10, "only %d of %d keyed requests ran", quiet.Good*copiesPerKey, quiet.Sent)
	return nil
}

// killEntries kills and restarts randomly chosen entries, one at a time, for d.
func (x *loadRun) killEntries(ctx context.Context, d time.Duration, r *rand.Rand) error {
	until := time.Now().Add(d)
	for time.Now().Before(until) && ctx.Err() == nil {
		y := x.site.Entries[r.IntN(len(x.site.Entries))]
		y.Kill()
		sleep(ctx, restartDelay)
		if err := y.Start(); err != nil {
			return err
		}
		sleep(ctx, killInterval-restartDelay)
	}
	return nil
}
