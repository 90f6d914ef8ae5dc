package experiment

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/soak"
)

// soakDuration is how long faults are injected.
const soakDuration = 20 * time.Second

// checksCaps turns on the check of the workspaces' caps.
const checksCaps = true

func init() {
	register("soak", "jobs under random faults of entries, backend servers, links and the store", runSoak)
}

func runSoak(ctx context.Context, e Options, r *Report) error {
	x, err := soak.Run(ctx, soak.Options{Binaries: e.BinDir, Out: e.OutDir, Seed: e.Seed, FaultDuration: e.scale(soakDuration), Untimed: e.SkipTargets, ChecksCaps: checksCaps})
	if err != nil {
		return err
	}
	r.metric("faults", len(x.Faults))
	r.metric("jobsAccepted", x.Accepted)
	r.metric("jobsRefused", x.Refused)
	r.metric("jobsUnsure", x.OutcomeUnknown)
	r.metric("tasksStarted", x.TaskStarts)
	for _, status := range slices.Sorted(maps.Keys(x.KeyAnswers)) {
		r.metric(fmt.Sprintf("keyAnswers%d", status), x.KeyAnswers[status])
	}
	for _, status := range slices.Sorted(maps.Keys(x.QueueAnswers)) {
		r.metric(fmt.Sprintf("queueAnswers%d", status), x.QueueAnswers[status])
	}
	for _, v := range x.Violations {
		r.addViolation("%s", v)
	}
	if len(x.Violations) > 0 {
		for _, f := range x.Faults {
			r.addViolation("injected fault: %s", f)
		}
	}
	return nil
}
