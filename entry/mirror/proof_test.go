package mirror_test

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/mirror"
	pause "github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// refusingSink refuses the value "bad" and holds the one before.
type refusingSink struct {
	recordingSink
	refused bool
}

func (k *refusingSink) Changed(e store.Event) { k.refused = string(e.Value) == "bad" }
func (k *refusingSink) Refused() bool         { return k.refused }

// slowStore delays the answers to watches of a scripted store.
type slowStore struct {
	scriptedStore
	answerDelay time.Duration
}

func (s *slowStore) Watch(ctx context.Context, p string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	l, at, err := s.scriptedStore.Watch(ctx, p, after, wait)
	pause.For(ctx, s.answerDelay)
	if ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	return l, at, err
}

// A proof that was taken to be younger than it is would let a withdrawn key be used for too long. Each watch takes a second.
func TestProofAge(t *testing.T) {
	bad := []store.Event{{Item: item("a", "bad")}}
	lost := response{err: &store.UnavailableError{}}
	for name, c := range map[string]struct {
		store *slowStore
		// suspended is for how long the machine is suspended, which only the clock since boot shows.
		suspended time.Duration
		after     time.Duration
		want      time.Duration
	}{
		"before the first answer":                   {&slowStore{scriptedStore: scriptedStore{silentReads: 100}}, 0, 5 * time.Second, math.MaxInt64},
		"counts from the sending of a read":         {&slowStore{scriptedStore: scriptedStore{readTime: 700 * time.Millisecond}}, 0, 900 * time.Millisecond, 900 * time.Millisecond},
		"counts from the sending of a watch":        {&slowStore{}, 0, 3500 * time.Millisecond, 1500 * time.Millisecond},
		"counts from the sending of a slow watch":   {&slowStore{answerDelay: 400 * time.Millisecond}, 0, 2900 * time.Millisecond, 1500 * time.Millisecond},
		"grows while watches get no answer in time": {&slowStore{answerDelay: 900 * time.Millisecond}, 0, 6 * time.Second, 6 * time.Second},
		"survives one lost answer":                  {&slowStore{scriptedStore: scriptedStore{responses: []response{lost}}}, 0, 1200 * time.Millisecond, 1050 * time.Millisecond},
		"is not renewed by a compacted watch": {
			&slowStore{scriptedStore: scriptedStore{readTime: 600 * time.Millisecond, responses: []response{{err: &store.CompactedError{}}}}},
			0,
			1100 * time.Millisecond, 1100 * time.Millisecond,
		},
		"is renewed by the read after a compacted watch": {
			&slowStore{scriptedStore: scriptedStore{readTime: 600 * time.Millisecond, responses: []response{{err: &store.CompactedError{}}}}},
			0,
			1300 * time.Millisecond, 700 * time.Millisecond,
		},
		"ends with a refused state": {
			&slowStore{scriptedStore: scriptedStore{responses: []response{{at: 6}, {events: bad, at: 7}}}}, 0, 9 * time.Second, 9 * time.Second,
		},
		"begins again with the state that follows a refused one": {
			&slowStore{scriptedStore: scriptedStore{responses: []response{{events: bad, at: 7}, {events: []store.Event{{Item: item("a", "good")}}, at: 8}}}},
			0, 3500 * time.Millisecond, 1500 * time.Millisecond,
		},
		"counts the time of a suspension": {&slowStore{}, time.Minute, 3500 * time.Millisecond, time.Minute + 1500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s, began, suspended := c.store, time.Now(), time.Duration(0)
				s.items, s.at = []store.Item{item("a", "1")}, 5
				ctx, stop := context.WithCancel(context.Background())
				m := mirror.New(s, "", &refusingSink{}, mirror.WithClock(func() time.Duration { return time.Since(began) + suspended }))
				go m.Run(ctx)
				time.Sleep(c.after)
				synctest.Wait()
				suspended = c.suspended
				g.Expect(m.ProofAge()).To(gomega.Equal(c.want))
				stop()
				synctest.Wait()
			})
		})
	}
}
