package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/soak"
)

// soakTime is for how long the faults of a soak strike.
const soakTime = 20 * time.Second

func init() {
	register("soak", "jobs under random faults of entries, servers, links and the store", runSoak)
}

func runSoak(ctx context.Context, e Environment, r *Report) error {
	x, err := soak.Run(ctx, soak.Options{Binaries: e.Binaries, Out: e.Out, Seed: e.Seed, FaultDuration: e.scaled(soakTime), Untimed: e.Untimed})
	if err != nil {
		return err
	}
	r.figure("faults", len(x.Faults))
	r.figure("jobsAccepted", x.Accepted)
	r.figure("jobsRefused", x.Refused)
	r.figure("jobsUnsure", x.Unsure)
	r.figure("tasksStarted", x.TaskStarts)
	for _, v := range x.Violations {
		r.violate("%s", v)
	}
	if len(x.Violations) > 0 {
		for _, f := range x.Faults {
			r.violate("fault: %s", f)
		}
	}
	return nil
}
