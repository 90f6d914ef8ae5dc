package platformsim

import (
	"strings"
	"sync"
	"time"
)

// item is the value of a key, its revision and its expiry time. A zero expiry time means that it never expires.
type item struct {
	value    []byte
	revision uint64
	expires  time.Time
}

// event is a write that is retained for watchers. Removals and expiries create no events.
type event struct {
	key      string
	value    []byte
	revision uint64
}

// maxEvents is the number of recent events retained for watchers.
const maxEvents = 4096

// memoryStore is an in-memory key-value store with revisions, expiry and watches.
type memoryStore struct {
	lock     sync.Mutex
	items    map[string]item
	revision uint64
	events   []event
	changed  chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{items: map[string]item{}, changed: make(chan struct{})}
}

func (m *memoryStore) get(key string) (item, bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.lookup(key)
}

func (m *memoryStore) lookup(key string) (item, bool) {
	i, ok := m.items[key]
	if ok && !i.expires.IsZero() && time.Now().After(i.expires) {
		return item{}, false
	}
	return i, ok
}

// compareAndSwap writes the value if the key is at the expected revision, 0 for a key that does not exist. It returns the
// new revision and whether the write took effect.
func (m *memoryStore) compareAndSwap(key string, expect uint64, v []byte, ttl time.Duration) (uint64, bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	i, _ := m.lookup(key)
	if i.revision != expect {
		return 0, false
	}
	m.revision++
	n := item{value: v, revision: m.revision}
	if ttl > 0 {
		n.expires = time.Now().Add(ttl)
	}
	m.items[key] = n
	m.publish(event{key: key, value: v, revision: m.revision})
	return m.revision, true
}

func (m *memoryStore) remove(key string, expect uint64) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	i, ok := m.lookup(key)
	if !ok || i.revision != expect {
		return false
	}
	m.revision++
	delete(m.items, key)
	return true
}

func (m *memoryStore) publish(e event) {
	m.events = append(m.events, e)
	if len(m.events) > maxEvents {
		m.events = m.events[len(m.events)-maxEvents:]
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// eventsAfter returns the events after a revision and a channel that is closed at the next event.
func (m *memoryStore) eventsAfter(prefix string, after uint64) ([]event, <-chan struct{}) {
	m.lock.Lock()
	defer m.lock.Unlock()
	l := []event{}
	for _, e := range m.events {
		if e.revision > after && strings.HasPrefix(e.key, prefix) {
			l = append(l, e)
		}
	}
	return l, m.changed
}

// list returns the revisions of the keys with a prefix, including keys that have expired.
func (m *memoryStore) list(prefix string) map[string]uint64 {
	m.lock.Lock()
	defer m.lock.Unlock()
	r := map[string]uint64{}
	for k, i := range m.items {
		if strings.HasPrefix(k, prefix) {
			r[k] = i.revision
		}
	}
	return r
}
