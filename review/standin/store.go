package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's key-value store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]*item
	history []event
	leases  map[uint64]*lease
	nextID  uint64
	changed chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	item
	removed bool
}

func (e event) MarshalJSON() ([]byte, error) {
	if e.removed {
		return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "removed": true})
	}
	return json.Marshal(e.item)
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// maxRangeItems bounds a page of kv-range.
const maxRangeItems = 500

func newStore() *store {
	s := &store{rev: 1, items: map[string]*item{}, leases: map[uint64]*lease{}, nextID: 100, changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.rev++
		for _, k := range keys {
			s.remove(k)
		}
		s.notify()
	}
}

func (s *store) remove(k string) {
	if s.items[k] == nil {
		return
	}
	delete(s.items, k)
	s.history = append(s.history, event{item: item{Key: k, Revision: s.rev}, removed: true})
}

func (s *store) write(k string, v []byte, lease uint64) {
	i := &item{Key: k, Value: v, Revision: s.rev, Created: s.rev, Lease: lease}
	if old := s.items[k]; old != nil {
		i.Created = old.Created
	}
	s.items[k] = i
	s.history = append(s.history, event{item: *i})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key on behalf of the operator or a worker.
func (s *store) put(k string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(k, b, 0)
	s.notify()
}

// del removes a key on behalf of the operator or a worker.
func (s *store) del(k string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[k] != nil {
		s.rev++
		s.remove(k)
		s.notify()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := strings.TrimPrefix(r.URL.Path, "/tarragonbank/")
	switch {
	case p == "kv-key":
		s.get(w, r)
	case p == "kv-range":
		s.readRange(w, r)
	case p == "kv-watch":
		s.watch(w, r)
	case p == "kv-txn":
		s.txn(w, r)
	case p == "kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(p, "kv-keep/"):
		s.keep(w, strings.TrimPrefix(p, "kv-keep/"))
	case strings.HasPrefix(p, "kv-lease-end/"):
		s.revoke(w, strings.TrimPrefix(p, "kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[r.URL.Query().Get("key")]
	if i == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "at": s.rev})
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxRangeItems
	l := []*item{}
	for _, k := range keys[:min(len(keys), maxRangeItems)] {
		l = append(l, s.items[k])
	}
	reply(w, http.StatusOK, map[string]any{"items": l, "has-more": more, "at": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		l := []event{}
		for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after }); i < len(s.history); i++ {
			if strings.HasPrefix(s.history[i].Key, q.Get("prefix")) {
				l = append(l, s.history[i])
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(l) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": l, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": l, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Writes)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range t.Expect {
		have := uint64(0)
		if i := s.items[x.Key]; i != nil {
			have = i.Revision
		}
		if have == x.Revision {
			continue
		}
		l := []*item{}
		for _, y := range t.Expect {
			if i := s.items[y.Key]; i != nil {
				l = append(l, i)
			}
		}
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": l})
		return
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, x := range t.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	d := time.Duration(q.TTL) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl: d, end: time.Now().Add(d)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl-ms": q.TTL})
}

func (s *store) keep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[n] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(n)
	reply(w, http.StatusOK, map[string]any{})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
