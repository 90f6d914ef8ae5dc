package mirror_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/mirror"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// scriptedStore answers watches with the given responses in turn, and then without changes.
type scriptedStore struct {
	lock sync.Mutex
	// silentReads is the number of reads that get no answer, readTime is how long the others take.
	silentReads int
	readTime    time.Duration
	items       []store.Item
	at          store.Revision
	responses   []response
}

type response struct {
	events []store.Event
	at     store.Revision
	err    error
}

func (s *scriptedStore) Range(ctx context.Context, _, _ string) (store.Page, error) {
	s.lock.Lock()
	silent := s.silentReads > 0
	s.silentReads--
	s.lock.Unlock()
	d := s.readTime
	if silent {
		d = time.Hour
	}
	select {
	case <-ctx.Done():
		return store.Page{}, &store.UnavailableError{Call: "range", Detail: ctx.Err().Error()}
	case <-time.After(d):
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return store.Page{Items: s.items, Revision: s.at}, nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	s.lock.Lock()
	if len(s.responses) > 0 {
		a := s.responses[0]
		s.responses = s.responses[1:]
		s.lock.Unlock()
		return a.events, a.at, a.err
	}
	s.lock.Unlock()
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

// recordingSink keeps the values and counts the failures that it receives.
type recordingSink struct {
	lock     sync.Mutex
	values   map[string]string
	failures int
}

func (k *recordingSink) Reset(l []store.Item) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.values = map[string]string{}
	for _, i := range l {
		k.values[i.Key] = string(i.Value)
	}
}

func (k *recordingSink) Changed(e store.Event) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if e.Deleted {
		delete(k.values, e.Key)
		return
	}
	k.values[e.Key] = string(e.Value)
}

func (k *recordingSink) Failed(error) { k.failures++ }

func item(key, value string) store.Item {
	return store.Item{Key: key, Value: []byte(value)}
}

func TestMirror(t *testing.T) {
	for name, c := range map[string]struct {
		responses    []response
		initialItems []store.Item
		want         map[string]string
		failures     int
	}{
		"applies changes and deletions": {
			responses: []response{{events: []store.Event{{Item: item("a", "2")}, {Item: item("b", ""), Deleted: true}}, at: 9}},
			want:      map[string]string{"a": "2"},
		},
		"reads all items again after compaction": {
			responses:    []response{{err: &store.CompactedError{}}},
			initialItems: []store.Item{item("c", "3")},
			want:         map[string]string{"c": "3"},
		},
		"continues after failures and reports only the first": {
			responses: []response{
				{err: &store.BusyError{}}, {err: &store.UnavailableError{}}, {events: []store.Event{{Item: item("a", "4")}}, at: 12},
			},
			want:     map[string]string{"a": "4", "b": "1"},
			failures: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := &scriptedStore{items: []store.Item{item("a", "1"), item("b", "1")}, at: 5, responses: c.responses}
				k := &recordingSink{}
				ctx, stop := context.WithCancel(context.Background())
				m := mirror.New(s, "", k)
				if c.initialItems != nil {
					s.items = c.initialItems
				}
				go m.Run(ctx)
				time.Sleep(2 * time.Second)
				stop()
				synctest.Wait()
				g.Expect(k.values).To(gomega.Equal(c.want))
				g.Expect(k.failures).To(gomega.Equal(c.failures))
				g.Expect(m.LastContact()).NotTo(gomega.BeZero())
			})
		})
	}
}

// A read on a connection that had gone silent never ended: servers that drained, shrank or were gone stayed as they had been.
func TestReadWithoutAnswerIsRepeated(t *testing.T) {
	for name, s := range map[string]*scriptedStore{
		"on a silent connection":                      {silentReads: 1},
		"of a page that takes seconds on a slow link": {readTime: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s.items, s.at = []store.Item{item("a", "1")}, 5
				k := &recordingSink{}
				ctx, stop := context.WithCancel(context.Background())
				go mirror.New(s, "", k).Run(ctx)
				time.Sleep(10 * time.Second)
				stop()
				synctest.Wait()
				g.Expect(k.values).To(gomega.Equal(map[string]string{"a": "1"}))
			})
		})
	}
}

// silentStore leaves the reads that are sent before the time back without an answer.
type silentStore struct {
	scriptedStore
	back  time.Time
	reads int
}

func (s *silentStore) Range(ctx context.Context, p, after string) (store.Page, error) {
	s.lock.Lock()
	s.reads++
	s.lock.Unlock()
	if time.Now().Before(s.back) {
		<-ctx.Done()
		return store.Page{}, &store.UnavailableError{Call: "range", Detail: ctx.Err().Error()}
	}
	return s.scriptedStore.Range(ctx, p, after)
}

// A read that was sent into an outage held the mirror for up to 8 s after the store was back.
func TestReadSentInAnOutageDelaysNothingAfterIt(t *testing.T) {
	const readInterval, slowReadInterval = 1150 * time.Millisecond, 8 * time.Second
	for outage := time.Second; outage < 20*time.Second; outage += 700 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := &silentStore{scriptedStore: scriptedStore{items: []store.Item{item("a", "1")}, at: 5}, back: time.Now().Add(outage)}
			k := &recordingSink{}
			ctx, stop := context.WithCancel(context.Background())
			go mirror.New(s, "", k).Run(ctx)
			time.Sleep(outage + readInterval)
			synctest.Wait()
			g.Expect(k.values).To(gomega.Equal(map[string]string{"a": "1"}), "after an outage of %s", outage)
			prompt, slow := 1+int((outage+readInterval)/readInterval), 1+int(outage/slowReadInterval)
			g.Expect(s.reads).To(gomega.BeNumerically("<=", prompt+slow), "one slow read at a time beside the prompt ones")
			stop()
			synctest.Wait()
		})
	}
}
