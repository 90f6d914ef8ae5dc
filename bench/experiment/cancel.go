package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
)

const (
	// cancelAfter is how long the callers that leave wait for an answer.
	cancelAfter = 100 * time.Millisecond
	// cancelLoad is the load of callers that leave as a fraction of the pool's capacity.
	cancelLoad     = 3.0
	cancelDuration = 5 * time.Second
	// cancelWarmup comes before the wave of cancellations, cancelRecovery after it.
	cancelWarmup   = 3 * time.Second
	cancelRecovery = 3 * time.Second
	// cleanupWait is the time after the load in which entries have to release all slots.
	cleanupWait = 500 * time.Millisecond
	phaseWave   = "wave"
	// minGoodputAfterCancel is the least fraction of requests answered successfully in time after the wave.
	minGoodputAfterCancel = 0.95
)

func init() {
	register("cancel", "a wave of callers that cancel their requests before they are answered", cancel)
}

func cancel(ctx context.Context, e Options, r *Report) error {
	k := constantLoad("cups", 0)
	k.Name = "leavers"
	k.CancelAfter = cancelAfter
	k.Rate = func(d time.Duration) float64 {
		if d < e.scale(cancelWarmup) || d > e.scale(cancelWarmup+cancelDuration) {
			return 0
		}
		return cancelLoad * poolRate
	}
	x, err := startLoad(ctx, standardPlan(e), phaseCalm, []load.Kind{k, constantLoad("cups", meanLoad)}, nil)
	if err != nil {
		return err
	}
	sleep(ctx, e.scale(cancelWarmup))
	x.tally.SetPhase(phaseWave)
	sleep(ctx, e.scale(cancelDuration))
	x.tally.SetPhase(phaseRest)
	sleep(ctx, e.scale(cancelRecovery))
	x.stop()
	x.done.Wait()
	sleep(ctx, cleanupWait)
	held := 0
	for _, y := range x.site.Entries {
		var l []poolStatus
		if err := y.GetJSON(ctx, "/v1/pools", &l); err != nil {
			return err
		}
		for _, p := range l {
			held += p.Load.Busy + p.Load.Waiting
		}
	}
	x.finish(r)
	stayed := x.tally.Counts(phaseWave, "cups")
	after := x.tally.Counts(phaseRest, "cups")
	recordCounts(r, "stayed", stayed)
	r.metric("leaversSent", x.tally.Counts(phaseWave, "leavers").Sent)
	r.metric("ghosts", held)
	r.ratio("afterGoodput", float64(after.Good), float64(after.Sent))
	r.checkTarget(held == 0, "%d cancelled requests still hold a slot or wait for one", held)
	r.checkTarget(float64(after.Good) >= minGoodputAfterCancel*float64(after.Sent), "after the wave of cancellations only %d of %d requests were answered successfully in time", after.Good, after.Sent)
	return nil
}
