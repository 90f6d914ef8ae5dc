package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
)

const (
	cancelAfter           = 100 * time.Millisecond
	cancelLoad            = 3.0
	cancelDuration        = 5 * time.Second
	cleanupWait           = 500 * time.Millisecond
	phaseWave             = "wave"
	minGoodputAfterCancel = 0.95
)

func init() {
	register("cancel", "waves of callers that leave before they are answered", cancel)
}

func cancel(ctx context.Context, e Options, r *Report) error {
	k := constantLoad("cups", 0)
	k.Name = "leavers"
	k.CancelAfter = cancelAfter
	k.Rate = func(d time.Duration) float64 {
		if d < e.scale(3*time.Second) || d > e.scale(3*time.Second+cancelDuration) {
			return 0
		}
		return cancelLoad * poolRate
	}
	x, err := startLoad(ctx, standardPlan(e), phaseCalm, []load.Kind{k, constantLoad("cups", meanLoad)}, nil)
	if err != nil {
		return err
	}
	sleep(ctx, e.scale(3*time.Second))
	x.tally.SetPhase(phaseWave)
	sleep(ctx, e.scale(cancelDuration))
	x.tally.SetPhase(phaseRest)
	sleep(ctx, e.scale(3*time.Second))
	x.stop()
	x.done.Wait()
	sleep(ctx, cleanupWait)
	ghosts := 0
	for _, y := range x.site.Entries {
		var l []poolStatus
		if err := y.Ask(ctx, "/v1/pools", &l); err != nil {
			return err
		}
		for _, p := range l {
			ghosts += p.Load.Busy + p.Load.Waiting
		}
	}
	x.finish(r)
	stayed := x.tally.Counts(phaseWave, "cups")
	after := x.tally.Counts(phaseRest, "cups")
	recordCounts(r, "stayed", stayed)
	r.metric("leaversSent", x.tally.Counts(phaseWave, "leavers").Sent)
	r.metric("ghosts", ghosts)
	r.ratio("afterGoodput", float64(after.Good), float64(after.Sent))
	r.checkTarget(ghosts == 0, "%d requests whose callers left still hold slots or wait", ghosts)
	r.checkTarget(float64(after.Good) >= minGoodputAfterCancel*float64(after.Sent), "after the wave only %d of %d requests were answered well", after.Good, after.Sent)
	return nil
}
