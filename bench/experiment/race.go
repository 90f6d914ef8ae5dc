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
	raceDuration  = 15 * time.Second
	raceOperators = 3
	// raceLostAnswers is the fraction of store writes that take effect but are not answered.
	raceLostAnswers = 0.15
	// maxAttempts bounds how often an operator sends one change.
	maxAttempts = 6
)

func init() {
	register("race", "operators change the configuration concurrently, some on a stale base, while store answers are lost", race)
}

// changeOutcomes collects what operators were told about their changes: the accepted revision by mark, the number
// refused for a stale base, and the number that stayed unknown.
type changeOutcomes struct {
	lock      sync.Mutex
	accepted  map[string]uint64
	refused   int
	unsettled int
}

func race(ctx context.Context, e Options, r *Report) error {
	s, err := site.New(ctx, standardPlan(e))
	if err != nil {
		return err
	}
	defer s.Stop()
	w := watchRevisions(ctx, s)
	s.Platform.SetFaults(platformsim.Faults{LostResponseRate: raceLostAnswers})
	l := &changeOutcomes{accepted: map[string]uint64{}}
	until := time.Now().Add(e.scale(raceDuration))
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
				l.submit(ctx, s, n, i, inventory, rules)
			}
		}()
	}
	operators.Wait()
	s.Platform.SetFaults(platformsim.Faults{})
	h := operatorHeads(s)
	if err := awaitAllEntries(ctx, s, h[0].Revision); err != nil {
		r.addViolation("an accepted change did not reach all entries: %s", err)
	}
	w.report(r)
	l.check(r, h)
	return nil
}

// submit sends one change, and retries it with the same mark until it is accepted or refused or attempts run out.
func (l *changeOutcomes) submit(ctx context.Context, s *site.Site, operator, i int, inventory, rules string) {
	y := s.Entries[(operator*2+i)%len(s.Entries)]
	v, err := y.Status(ctx)
	if err != nil {
		return
	}
	mark := fmt.Sprintf("operator-%d-%d", operator, i)
	text := fmt.Sprintf("%s\n[[teams]]\nname = \"team-%d-%d\"\nquota = 0.0\n", rules, operator, i)
	for range maxAttempts {
		n, err := s.PostConfig(ctx, y, inventory, text, []site.ChangeOption{site.WithBase(v.Revision), site.WithChangeID(mark)})
		if l.record(mark, n, err) {
			return
		}
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.unsettled++
}

// record stores the outcome of one attempt. It returns false if it is not known whether the change was accepted.
func (l *changeOutcomes) record(mark string, n uint64, err error) bool {
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

// operatorHeads reads the history of heads from the store and returns those that an operator's change made, newest
// first.
func operatorHeads(s *site.Site) []*schema.Head {
	l := []*schema.Head{}
	b, _ := s.Platform.Value(config.HeadPointerKey)
	x, err := config.DecodeHeadPointer(b)
	if err != nil {
		return l
	}
	b, ok := s.Platform.Value(config.SectionKey(config.DigestFromBytes(x.Digest)))
	for ok {
		h, err := config.DecodeHead(b)
		if err != nil {
			break
		}
		if h.OperatorRevision == h.Revision {
			l = append(l, h)
		}
		b, ok = s.Platform.Value(config.SectionKey(config.DigestFromBytes(h.Previous)))
	}
	return l
}

// check compares what operators were told with the history of heads.
func (l *changeOutcomes) check(r *Report, h []*schema.Head) {
	r.metric("accepted", len(l.accepted))
	r.metric("refusedAsStale", l.refused)
	r.metric("unsettled", l.unsettled)
	r.metric("lastRevision", h[0].Revision)
	marks := map[string]uint64{}
	for _, x := range h {
		_, twice := marks[x.Mark]
		r.check(!twice, "change %s took effect twice", x.Mark)
		marks[x.Mark] = x.Revision
	}
	for m, n := range l.accepted {
		r.check(marks[m] == n, "change %s was accepted as revision %d but is stored as revision %d", m, n, marks[m])
	}
	r.check(len(h)-1 <= len(l.accepted)+l.unsettled, "%d changes took effect, but only %d were accepted and %d are unsettled", len(h)-1, len(l.accepted), l.unsettled)
}
