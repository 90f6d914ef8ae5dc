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

// item is a key as the store sends it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// kvStore is the platform's store, kept in memory. It answers after latency.
type kvStore struct {
	latency time.Duration

	lock     sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	next     uint64
	changed  chan struct{}
}

func newStore() *kvStore {
	s := &kvStore{latency: 4 * time.Millisecond, revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// put writes a key; the caller holds the lock and has raised the revision.
func (s *kvStore) put(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set and unset are the writes of the operator and of the workers.
func (s *kvStore) set(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	s.put(key, b, 0)
	s.notify()
}

func (s *kvStore) unset(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

func (s *kvStore) expire() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
	s.notify()
}

func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	q := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/tarragonbank/")
	switch {
	case path == "kv-watch":
		s.watch(w, r)
		return
	case path == "kv-key":
		s.lock.Lock()
		i, ok := s.items[q.Get("key")]
		s.lock.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, i)
	case path == "kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case path == "kv-txn":
		s.transact(w, r)
	case path == "kv-lease":
		var m struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&m) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		d := time.Duration(max(m.TTL, 1000)) * time.Millisecond
		s.lock.Lock()
		s.next++
		id := s.next
		s.leases[id] = &lease{d, time.Now().Add(d)}
		s.lock.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": d.Milliseconds()})
	case strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
		s.keepOrEnd(w, path)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (s *kvStore) keepOrEnd(w http.ResponseWriter, path string) {
	kind, text, _ := strings.Cut(path, "/")
	id, _ := strconv.ParseUint(text, 10, 64)
	s.lock.Lock()
	defer s.lock.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	if kind == "kv-keep" {
		l.ends = time.Now().Add(l.ttl)
	} else {
		s.endLease(id)
	}
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *kvStore) list(w http.ResponseWriter, prefix, after string) {
	s.lock.Lock()
	l, at := []item{}, s.revision
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			l = append(l, i)
		}
	}
	s.lock.Unlock()
	sort.Slice(l, func(a, b int) bool { return l[a].Key < l[b].Key })
	n := min(len(l), 500)
	reply(w, http.StatusOK, map[string]any{"items": l[:n], "has-more": n < len(l), "at": at})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.lock.Lock()
		l, at, changed := []item{}, s.revision, s.changed
		for k := len(s.history) - 1; k >= 0 && s.history[k].Revision > after; k-- {
			if strings.HasPrefix(s.history[k].Key, q.Get("prefix")) {
				l = append([]item{s.history[k]}, l...)
			}
		}
		s.lock.Unlock()
		if len(l) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": l, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": l, "at": at})
			return
		}
	}
}

func (s *kvStore) transact(w http.ResponseWriter, r *http.Request) {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.Writes)+len(t.Remove) > 32 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	holds, current := true, []item{}
	for _, e := range t.Expect {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range t.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, x := range t.Writes {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// reply sends a response, with a JSON body unless body is nil.
func reply(w http.ResponseWriter, status int, body any) {
	if body == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
