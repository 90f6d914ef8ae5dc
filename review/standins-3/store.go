package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as the pages give them.
const (
	valueBytes    = 1 << 20
	maxTxnEntries = 32
	maxPageItems  = 500
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// store is a stand-in of the platform's key-value store. It keeps all history.
type store struct {
	rec *recorder

	mu       sync.Mutex
	rev      uint64
	items    map[string]item
	history  []event
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
	rejected int
	// hook is asked before a call of the entry with the name is carried out; it may delay the call, and drops it without an answer if it returns false.
	hook func(entry string, r *http.Request, body []byte) bool
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, rev: 100, items: map[string]item{}, leases: map[uint64]*lease{}, nextID: 7000, changed: make(chan struct{})}
}

// serve answers the calls of one entry on an address of its own and returns that address.
func (s *store) serve(entry string) string {
	l := listen()
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(entry, w, r) })}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String()
}

// loopback is the loopback address of this process's stand-ins and programs.
var loopback = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()%64, 1+os.Getpid()/64%250)

func listen() net.Listener {
	l, err := net.Listen("tcp", freePort())
	if err != nil {
		fail("cannot listen: %v", err)
	}
	return l
}

func (s *store) expireLoop() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	l := s.leases[id]
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return
	}
	s.rev++
	for k := range l.keys {
		if s.items[k].Lease == id {
			s.remove(k)
		}
	}
	s.broadcast()
}

func (s *store) remove(k string) {
	if _, ok := s.items[k]; !ok {
		return
	}
	delete(s.items, k)
	s.history = append(s.history, event{Key: k, Revision: s.rev, Removed: true})
}

func (s *store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key at the current revision. The caller holds the lock.
func (s *store) put(k string, v []byte, lease uint64) {
	i := item{Key: k, Value: v, Revision: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[k]; ok {
		i.Created = old.Created
		if l := s.leases[old.Lease]; l != nil {
			delete(l.keys, k)
		}
	}
	if l := s.leases[lease]; l != nil {
		l.keys[k] = true
	}
	s.items[k] = i
	s.history = append(s.history, event{Key: k, Value: v, Revision: s.rev, Created: i.Created, Lease: lease})
}

// write writes a key on behalf of the operator or a worker.
func (s *store) write(k string, v []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(k, v, 0)
	s.broadcast()
}

// drop removes a key on behalf of the platform.
func (s *store) drop(k string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(k)
	s.broadcast()
}

func (s *store) get(k string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[k]
	return i, ok
}

func reply(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) handle(entry string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	h := s.hook
	s.mu.Unlock()
	if h != nil && !h(entry, r, body) {
		<-r.Context().Done()
		return
	}
	q := r.URL.Query()
	switch {
	case r.Method == "GET" && r.URL.Path == "/tarragonbank/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		at := s.rev
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{"at": at})
			return
		}
		reply(w, 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "at": at})
	case r.Method == "GET" && r.URL.Path == "/tarragonbank/kv-range":
		s.rangeItems(w, q.Get("prefix"), q.Get("after"))
	case r.Method == "GET" && r.URL.Path == "/tarragonbank/kv-watch":
		s.watch(w, r, q.Get("prefix"), q.Get("after"), q.Get("wait-ms"))
	case r.Method == "POST" && r.URL.Path == "/tarragonbank/kv-txn":
		s.txn(entry, w, body)
	case r.Method == "POST" && r.URL.Path == "/tarragonbank/kv-lease":
		var m struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.Unmarshal(body, &m) != nil {
			reply(w, 400, map[string]any{})
			return
		}
		m.TTL = min(max(m.TTL, 1000), 600000)
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		d := time.Duration(m.TTL) * time.Millisecond
		s.leases[id] = &lease{ttl: d, expires: time.Now().Add(d), keys: map[string]bool{}}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl-ms": m.TTL})
	case r.Method == "POST" && strings.HasPrefix(r.URL.Path, "/tarragonbank/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/tarragonbank/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	case r.Method == "DELETE" && strings.HasPrefix(r.URL.Path, "/tarragonbank/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/tarragonbank/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		ok := s.leases[id] != nil
		if ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, map[string]any{})
	}
}

func (s *store) rangeItems(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	l, size, more := []item{}, 0, false
	for _, k := range keys {
		i := s.items[k]
		if len(l) == maxPageItems || len(l) > 0 && size+len(i.Value) > valueBytes {
			more = true
			break
		}
		size += len(i.Value)
		l = append(l, i)
	}
	at := s.rev
	s.mu.Unlock()
	reply(w, 200, map[string]any{"items": l, "has-more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix, afterText, waitText string) {
	after, _ := strconv.ParseUint(afterText, 10, 64)
	ms, _ := strconv.ParseInt(waitText, 10, 64)
	timeout := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		l := []event{}
		n := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[n:] {
			if strings.HasPrefix(e.Key, prefix) {
				l = append(l, e)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(l) > 0 {
			reply(w, 200, map[string]any{"events": l, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": l, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txnBody struct {
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

func (s *store) txn(entry string, w http.ResponseWriter, body []byte) {
	var t txnBody
	if err := json.Unmarshal(body, &t); err != nil {
		reply(w, 400, map[string]any{"error": err.Error()})
		return
	}
	status, answer := s.apply(entry, t)
	reply(w, status, answer)
}

// apply carries out a transaction. It rejects what is beyond the limits of the pages.
func (s *store) apply(entry string, t txnBody) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(t.Expect) + len(t.Writes) + len(t.Remove); n > maxTxnEntries {
		s.rejected++
		s.rec.add("store: transaction of %s rejected: %d entries, at most %d are accepted", entry, n, maxTxnEntries)
		return 400, map[string]any{"error": "too many entries"}
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			return 403, map[string]any{}
		}
		if len(x.Value) > valueBytes || len(x.Key) > 200 {
			s.rejected++
			if s.rejected < 5 || s.rejected%20 == 0 {
				s.rec.add("store: transaction of %s rejected (%d so far): the value of %s has %d bytes, value-bytes is %d", entry, s.rejected, x.Key, len(x.Value), valueBytes)
			}
			return 413, map[string]any{"error": fmt.Sprintf("value of %s is too large", x.Key)}
		}
	}
	failed := []map[string]any{}
	for _, x := range t.Expect {
		if s.items[x.Key].Revision != x.Revision {
			failed = nil
			break
		}
	}
	if failed == nil {
		l := []item{}
		for _, x := range t.Expect {
			if i, ok := s.items[x.Key]; ok {
				l = append(l, i)
			}
		}
		return 412, map[string]any{"items": l}
	}
	for _, x := range t.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			return 404, map[string]any{}
		}
	}
	s.rev++
	for _, k := range t.Remove {
		s.remove(k)
	}
	for _, x := range t.Writes {
		s.put(x.Key, x.Value, x.Lease)
	}
	s.broadcast()
	return 200, map[string]any{"revision": s.rev}
}

func (s *store) setHook(h func(entry string, r *http.Request, body []byte) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = h
}
