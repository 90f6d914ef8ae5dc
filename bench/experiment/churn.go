package experiment

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/site"
)

const (
	churnLength = 25 * time.Second
	churnPause  = 700 * time.Millisecond
	churnStop   = 3 * time.Second
	churnLimit  = 3 * time.Second
)

func init() {
	register("churn", "entries killed, paused and replaced at random under changes", churn)
}

func churn(ctx context.Context, e Environment, r *Report) error {
	s, err := site.New(ctx, horncraft(e))
	if err != nil {
		return err
	}
	defer s.Stop()
	w := watchRevisions(ctx, s)
	d := rand.New(rand.NewPCG(e.Seed, 11))
	last := uint64(1)
	accepted, unsettled := 0, 0
	until := time.Now().Add(e.scaled(churnLength))
	for i := 0; time.Now().Before(until); i++ {
		if err := disturb(ctx, s.Entries[d.IntN(len(s.Entries))], d.IntN(3)); err != nil {
			return err
		}
		s.Source.Rules.Pools[0].MaxDown = int32(1 + i%2)
		v, err := s.PostSource(ctx, s.Entries[d.IntN(len(s.Entries))], nil)
		if err != nil {
			unsettled++
			continue
		}
		accepted++
		r.expect(v > last, "accepted revision %d is not above %d", v, last)
		last = max(last, v)
	}
	started := time.Now()
	if err := everywhere(ctx, s, last); err != nil {
		r.violate("an accepted change did not get everywhere: %s", err)
	}
	r.ms("settledMs", time.Since(started))
	r.target(time.Since(started) < churnLimit+churnStop, "the last change was everywhere only after %s", time.Since(started))
	r.figure("accepted", accepted)
	r.figure("notAccepted", unsettled)
	w.report(r)
	return nil
}

// disturb kills and replaces an entry, or stops it for longer than its peers wait, or lets it leave.
func disturb(ctx context.Context, y *site.Entry, kind int) error {
	switch kind {
	case 0:
		y.Kill()
		return y.Start()
	case 1:
		y.Signal(syscall.SIGSTOP)
		time.AfterFunc(churnStop, func() { y.Signal(syscall.SIGCONT) })
	default:
		pause(ctx, churnPause)
	}
	return nil
}
