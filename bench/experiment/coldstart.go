package experiment

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/platformsim"
	"github.com/tarragonbank/tarragonbank/bench/site"
)

const coldLimit = 5 * time.Second

func init() {
	register("coldstart", "all entries replaced at once; one new entry while the platform is away", coldstart)
}

func coldstart(ctx context.Context, e Environment, r *Report) error {
	s, err := site.New(ctx, horncraft(e))
	if err != nil {
		return err
	}
	defer s.Stop()
	if _, err := changes(ctx, s, 3); err != nil {
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
	if err := restart(ctx, s, s.Entries, last); err != nil {
		return err
	}
	r.ms("allReadyMs", time.Since(started))
	r.target(time.Since(started) < coldLimit, "all entries were ready only after %s", time.Since(started))
	s.Platform.SetFaults(platformsim.Faults{Outage: true})
	pause(ctx, time.Second)
	s.Entries[0].Kill()
	started = time.Now()
	if err := restart(ctx, s, s.Entries[:1], last); err != nil {
		return err
	}
	r.ms("oneReadyWithoutPlatformMs", time.Since(started))
	s.Platform.SetFaults(platformsim.Faults{})
	v, err := s.PostSource(ctx, s.Entries[0], nil)
	if err != nil {
		return err
	}
	r.expect(v > last, "the change after the restarts has revision %d, not above %d", v, last)
	return everywhere(ctx, s, v)
}

// restart starts entries and waits until they have the revision in force.
func restart(ctx context.Context, s *site.Site, l []*site.Entry, v uint64) error {
	ctx, stop := context.WithTimeout(ctx, appliesWait)
	defer stop()
	for _, y := range l {
		if err := y.Start(); err != nil {
			return err
		}
	}
	return s.AwaitRevision(ctx, v, l)
}
