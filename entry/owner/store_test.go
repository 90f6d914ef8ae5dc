package owner_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// memory is a store of one process with the platform's semantics and its failures.
type memory struct {
	lock     sync.Mutex
	items    map[string]store.Item
	history  []store.Event
	revision store.Revision
	leases   map[store.LeaseID]time.Time
	ttl      map[store.LeaseID]time.Duration
	changed  chan struct{}
	// down refuses all calls, lost is how many transactions are carried out without an answer.
	down bool
	lost int
	// held keeps the next transaction back until release is called.
	held    chan struct{}
	commits int
	// delay is how long an answer to a transaction takes, tries counts transactions with or without success.
	delay time.Duration
	tries int
}

func newMemory() *memory {
	return &memory{
		items: map[string]store.Item{}, leases: map[store.LeaseID]time.Time{}, ttl: map[store.LeaseID]time.Duration{},
		changed: make(chan struct{}), revision: 1,
	}
}

func (m *memory) set(f func()) {
	m.lock.Lock()
	defer m.lock.Unlock()
	f()
}

func (m *memory) count() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.commits
}

func (m *memory) tried() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.tries
}

// expire removes the keys whose lease has run out; the caller holds the lock.
func (m *memory) expire() {
	for l, t := range m.leases {
		if time.Now().After(t) {
			m.end(l)
		}
	}
}

func (m *memory) end(l store.LeaseID) {
	delete(m.leases, l)
	for k, i := range m.items {
		if i.Lease == l {
			m.remove(k)
		}
	}
}

func (m *memory) remove(key string) {
	delete(m.items, key)
	m.revision++
	m.record(store.Event{Item: store.Item{Key: key, Revision: m.revision}, Deleted: true})
}

func (m *memory) record(e store.Event) {
	m.history = append(m.history, e)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memory) Get(_ context.Context, key string) (store.Item, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.expire()
	if m.down {
		return store.Item{}, &store.BusyError{Call: "get"}
	}
	i, ok := m.items[key]
	if !ok {
		return i, &store.NotFoundError{Key: key}
	}
	return i, nil
}

func (m *memory) Range(_ context.Context, prefix, after string) (store.Page, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.expire()
	if m.down {
		return store.Page{}, &store.BusyError{Call: "range"}
	}
	p := store.Page{Revision: m.revision}
	for k, i := range m.items {
		if strings.HasPrefix(k, prefix) && k > after {
			p.Items = append(p.Items, i)
		}
	}
	slices.SortFunc(p.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	// Pages are short, so that readers have to go on.
	if len(p.Items) > 2 {
		p.Items, p.HasMore = p.Items[:2], true
	}
	return p, nil
}

func (m *memory) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	limit := time.After(wait)
	for {
		m.lock.Lock()
		m.expire()
		l := []store.Event{}
		for _, e := range m.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				l = append(l, e)
			}
		}
		at, changed, down := m.revision, m.changed, m.down
		m.lock.Unlock()
		if down {
			return nil, 0, &store.BusyError{Call: "watch"}
		}
		if len(l) > 0 {
			return l, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, &store.UnavailableError{Call: "watch", Detail: ctx.Err().Error()}
		case <-limit:
			return nil, at, nil
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (m *memory) Transact(ctx context.Context, t store.Transaction) (store.Revision, error) {
	m.lock.Lock()
	held, delay := m.held, m.delay
	m.held = nil
	m.tries++
	m.lock.Unlock()
	if held != nil {
		go func() {
			<-held
			_, _ = m.Transact(context.Background(), t)
		}()
		<-ctx.Done()
		return 0, &store.UnavailableError{Call: "transaction", Detail: "late"}
	}
	n, err := m.transact(t)
	select {
	case <-ctx.Done():
		return 0, &store.UnavailableError{Call: "transaction", Detail: "slow"}
	case <-time.After(delay):
		return n, err
	}
}

func (m *memory) transact(t store.Transaction) (store.Revision, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.expire()
	if m.down {
		return 0, &store.BusyError{Call: "transaction"}
	}
	if e := m.rejected(t); e != nil {
		return 0, e
	}
	m.revision++
	m.commits++
	for _, w := range t.Writes {
		i := store.Item{Key: w.Key, Value: w.Value, Revision: m.revision, Lease: w.Lease}
		m.items[w.Key] = i
		m.record(store.Event{Item: i})
	}
	for _, k := range t.Deletes {
		m.remove(k)
	}
	if m.lost > 0 {
		m.lost--
		return 0, &store.UnavailableError{Call: "transaction", Detail: "the answer is lost"}
	}
	return m.revision, nil
}

func (m *memory) rejected(t store.Transaction) error {
	e := &store.PreconditionFailedError{Items: map[string]store.Item{}}
	bad := false
	for k, r := range t.Expected {
		e.Items[k] = m.items[k]
		bad = bad || m.items[k].Revision != r
	}
	for _, w := range t.Writes {
		if _, ok := m.leases[w.Lease]; w.Lease != 0 && !ok {
			return &store.LeaseExpiredError{Lease: w.Lease}
		}
	}
	if bad {
		return e
	}
	return nil
}

func (m *memory) Grant(_ context.Context, life time.Duration) (store.LeaseID, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.down {
		return 0, &store.BusyError{Call: "lease"}
	}
	m.revision++
	l := store.LeaseID(m.revision)
	m.leases[l] = time.Now().Add(life)
	m.ttl[l] = life
	return l, nil
}

func (m *memory) Keep(_ context.Context, l store.LeaseID) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.down {
		return &store.BusyError{Call: "keep"}
	}
	m.expire()
	if _, ok := m.leases[l]; !ok {
		return &store.LeaseExpiredError{Lease: l}
	}
	m.leases[l] = time.Now().Add(m.ttl[l])
	return nil
}

func (m *memory) Revoke(_ context.Context, l store.LeaseID) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.down {
		return &store.BusyError{Call: "revoke"}
	}
	m.end(l)
	return nil
}
