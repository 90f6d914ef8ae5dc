package platform

import (
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	value    []byte
	revision uint64
	expires  time.Time
}

// event is one change, kept for watchers.
type event struct {
	key      string
	value    []byte
	revision uint64
}

// kept is how many events a watcher may be behind.
const kept = 4096

// memory is the store's state under its lock.
type memory struct {
	lock     sync.Mutex
	items    map[string]item
	revision uint64
	events   []event
	changed  chan struct{}
}

func newMemory() *memory {
	return &memory{items: map[string]item{}, changed: make(chan struct{})}
}

func (m *memory) get(key string) (item, bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.find(key)
}

func (m *memory) find(key string) (item, bool) {
	i, ok := m.items[key]
	if ok && !i.expires.IsZero() && time.Now().After(i.expires) {
		return item{}, false
	}
	return i, ok
}

// swap writes where the key is at the expected revision and returns the new one.
func (m *memory) swap(key string, expect uint64, v []byte, ttl time.Duration) (uint64, bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	i, _ := m.find(key)
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

func (m *memory) remove(key string, expect uint64) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	i, ok := m.find(key)
	if !ok || i.revision != expect {
		return false
	}
	m.revision++
	delete(m.items, key)
	return true
}

func (m *memory) publish(e event) {
	m.events = append(m.events, e)
	if len(m.events) > kept {
		m.events = m.events[len(m.events)-kept:]
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// since returns the events after a revision and a channel that closes at the next one.
func (m *memory) since(prefix string, after uint64) ([]event, <-chan struct{}) {
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

func (m *memory) list(prefix string) map[string]uint64 {
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
