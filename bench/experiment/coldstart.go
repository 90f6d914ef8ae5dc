package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/platformsim"
	"github.com/tarragonbank/tarragonbank/bench/site"
)

// maxColdStart bounds the time until all entries have the configuration in force after they were restarted together.
const maxColdStart = 5 * time.Second

func init() {
	register("coldstart", "all entries restarted at once, then one entry restarted during an outage of the platform", coldstart)
}

func coldstart(ctx context.Context, e Options, r *Report) error {
	s, err := site.New(ctx, standardPlan(e))
	if err != nil {
		return err
	}
	defer s.Stop()
	if _, err := measureChanges(ctx, s, 3); err != nil {
		return err
	}
	before, err := s.Entries[0].Status(ctx)
	if err != nil {
		return err
	}
	last := before.Revision
	for _, y := range s.Entries {
		y.Kill()
	}
	started := time.Now()
	if err := restartEntries(ctx, s, s.Entries, last); err != nil {
		return err
	}
	r.millis("allReadyMs", time.Since(started))
	r.checkTarget(time.Since(started) < maxColdStart, "all entries had the configuration in force only after %s", time.Since(started))
	s.Platform.SetFaults(platformsim.Faults{Outage: true})
	sleep(ctx, time.Second)
	s.Entries[0].Kill()
	started = time.Now()
	if err := restartEntries(ctx, s, s.Entries[:1], last); err != nil {
		return err
	}
	r.millis("oneReadyWithoutPlatformMs", time.Since(started))
	s.Platform.SetFaults(platformsim.Faults{})
	v, err := s.PostSource(ctx, s.Entries[0], nil)
	if err != nil {
		return err
	}
	r.check(v > last, "the change after the restarts has revision %d, not above %d", v, last)
	return awaitAllEntries(ctx, s, v)
}

// restartEntries starts entries that were killed and waits until they have the revision in force.
func restartEntries(ctx context.Context, s *site.Site, l []*site.Entry, v uint64) error {
	ctx, stop := context.WithTimeout(ctx, convergenceTimeout)
	defer stop()
	for _, y := range l {
		if err := y.Start(); err != nil {
			return err
		}
	}
	return s.AwaitRevision(ctx, v, l)
}
