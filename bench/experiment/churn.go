package experiment

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/site"
)

const (
	churnDuration = 25 * time.Second
	churnInterval = 700 * time.Millisecond
	// stopDuration is how long an entry is stopped, which is longer than its peers wait for it.
	stopDuration = 3 * time.Second
	// convergenceLimit bounds the time until all entries have the last change in force, after stopDuration for an entry
	// that is still stopped.
	convergenceLimit = 3 * time.Second
)

func init() {
	register("churn", "entries killed and restarted or paused at random during configuration changes", churn)
}

func churn(ctx context.Context, e Options, r *Report) error {
	s, err := site.New(ctx, standardPlan(e))
	if err != nil {
		return err
	}
	defer s.Stop()
	w := watchRevisions(ctx, s)
	d := rand.New(rand.NewPCG(e.Seed, 11))
	last := uint64(1)
	accepted, unsettled := 0, 0
	until := time.Now().Add(e.scale(churnDuration))
	for i := 0; time.Now().Before(until); i++ {
		if err := disruptEntry(ctx, s.Entries[d.IntN(len(s.Entries))], d.IntN(3)); err != nil {
			return err
		}
		s.Source.Rules.Pools[0].MaxDown = int32(1 + i%2)
		v, err := s.PostSource(ctx, s.Entries[d.IntN(len(s.Entries))], nil)
		if err != nil {
			unsettled++
			continue
		}
		accepted++
		r.check(v > last, "accepted revision %d is not above %d", v, last)
		last = max(last, v)
	}
	started := time.Now()
	if err := awaitAllEntries(ctx, s, last); err != nil {
		r.addViolation("an accepted change did not reach all entries: %s", err)
	}
	r.millis("settledMs", time.Since(started))
	r.checkTarget(time.Since(started) < convergenceLimit+stopDuration, "the last change reached all entries only after %s", time.Since(started))
	r.metric("accepted", accepted)
	r.metric("notAccepted", unsettled)
	w.report(r)
	return nil
}

// disruptEntry kills and restarts the entry for kind 0, stops it with SIGSTOP for stopDuration for kind 1, and otherwise
// waits for churnInterval without a fault.
func disruptEntry(ctx context.Context, y *site.Entry, kind int) error {
	switch kind {
	case 0:
		y.Kill()
		return y.Start()
	case 1:
		y.Signal(syscall.SIGSTOP)
		time.AfterFunc(stopDuration, func() { y.Signal(syscall.SIGCONT) })
	default:
		sleep(ctx, churnInterval)
	}
	return nil
}
