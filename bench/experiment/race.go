package experiment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/platformsim"
	"github.com/tarragonbank/tarragonbank/bench/site"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	raceLength    = 15 * time.Second
	raceOperators = 3
	raceLost      = 0.15
	raceTries     = 6
)

func init() {
	register("race", "operators change the configuration at once, on stale bases, while answers are lost", race)
}

// ledger is what operators were told of their changes.
type ledger struct {
	lock     sync.Mutex
	accepted map[string]uint64
	refused  int
	open     int
}

func race(ctx context.Context, e Environment, r *Report) error {
	s, err := site.New(ctx, horncraft(e))
	if err != nil {
		return err
	}
	defer s.Stop()
	w := watchRevisions(ctx, s)
	s.Platform.SetFaults(platformsim.Faults{LostResponseRate: raceLost})
	l := &ledger{accepted: map[string]uint64{}}
	until := time.Now().Add(e.scaled(raceLength))
	inventory, rules, err := s.RenderSource()
	if err != nil {
		return err
	}
	var operators sync.WaitGroup
	for n := range raceOperators {
		operators.Add(1)
		go func() {
			defer operators.Done()
			for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
				l.change(ctx, s, n, i, inventory, rules)
			}
		}()
	}
	operators.Wait()
	s.Platform.SetFaults(platformsim.Faults{})
	h := chain(s)
	if err := everywhere(ctx, s, h[0].Revision); err != nil {
		r.violate("an accepted change did not get everywhere: %s", err)
	}
	w.report(r)
	l.check(r, h)
	return nil
}

// change asks for one change, again with the same mark while it is not known whether it was accepted.
func (l *ledger) change(ctx context.Context, s *site.Site, operator, i int, inventory, rules string) {
	y := s.Entries[(operator*2+i)%len(s.Entries)]
	v, err := y.Status(ctx)
	if err != nil {
		return
	}
	mark := fmt.Sprintf("operator-%d-%d", operator, i)
	text := fmt.Sprintf("%s\n[[teams]]\nname = \"team-%d-%d\"\nquota = 0.0\n", rules, operator, i)
	for range raceTries {
		n, err := s.PostConfig(ctx, y, inventory, text, []site.ChangeOption{site.WithBase(v.Revision), site.WithChangeID(mark)})
		if l.settled(mark, n, err) {
			return
		}
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.open++
}

func (l *ledger) settled(mark string, n uint64, err error) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	var f *site.RefusedError
	switch {
	case err == nil:
		l.accepted[mark] = n
		return true
	case errors.As(err, &f) && f.Kind == "base":
		l.refused++
		return true
	default:
		return false
	}
}

// chain reads the heads of all operators' changes from the store, the newest first.
func chain(s *site.Site) []*schema.Head {
	l := []*schema.Head{}
	b, _ := s.Platform.Value(config.HeadKey)
	x, err := config.ReadPointer(b)
	if err != nil {
		return l
	}
	b, ok := s.Platform.Value(config.SectionKey(config.AsDigest(x.Digest)))
	for ok {
		h, err := config.ReadHead(b)
		if err != nil {
			break
		}
		if h.OperatorRevision == h.Revision {
			l = append(l, h)
		}
		b, ok = s.Platform.Value(config.SectionKey(config.AsDigest(h.Previous)))
	}
	return l
}

// check compares what operators were told with the chain of heads.
func (l *ledger) check(r *Report, h []*schema.Head) {
	r.figure("accepted", len(l.accepted))
	r.figure("refusedAsStale", l.refused)
	r.figure("unsettled", l.open)
	r.figure("lastRevision", h[0].Revision)
	marks := map[string]uint64{}
	for _, x := range h {
		_, twice := marks[x.Mark]
		r.expect(!twice, "change %s took effect twice", x.Mark)
		marks[x.Mark] = x.Revision
	}
	for m, n := range l.accepted {
		r.expect(marks[m] == n, "change %s was accepted as revision %d and is kept as %d", m, n, marks[m])
	}
	r.expect(len(h)-1 <= len(l.accepted)+l.open, "%d changes took effect, %d were accepted and %d are open", len(h)-1, len(l.accepted), l.open)
}
