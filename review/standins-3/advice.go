package main

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// tickets is a stand-in of the advice service.
type tickets struct {
	site         *site
	queue        string
	decide       time.Duration
	each, valid_ time.Duration

	mu     sync.Mutex
	turn   sync.Mutex
	issued map[string]issue
	calls  int
}

type issue struct {
	step  string
	life  *worker
	until time.Time
}

func (s *site) serveAdvice(queue string, decide, each, valid time.Duration) {
	t := &tickets{site: s, queue: queue, decide: decide, each: each, valid_: valid, issued: map[string]issue{}}
	s.tickets = t
	l := listen()
	s.adviser = l.Addr().String()
	go func() { _ = http.Serve(l, t) }()
}

// allows is the queue's policy: three of four workers may run a step.
func (t *tickets) allows(step, worker string) bool {
	return crc32.ChecksumIEEE([]byte(step+worker))%4 != 0
}

func (t *tickets) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	var m struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.Unmarshal(b, &m) != nil || len(m.Workers) > 100 {
		t.site.rec.add("advice: malformed call with %d workers", len(m.Workers))
		reply(w, 400, map[string]any{})
		return
	}
	t.turn.Lock()
	time.Sleep(t.decide + time.Duration(len(m.Workers))*t.each)
	t.turn.Unlock()
	good := [][]string{}
	lives := map[string]*worker{}
	t.site.mu.Lock()
	for _, x := range t.site.machines {
		if x.w != nil {
			lives[x.w.id] = x.w
		}
	}
	t.site.mu.Unlock()
	t.mu.Lock()
	for _, id := range m.Workers {
		if lives[id] != nil && t.allows(m.Step, id) {
			t.calls++
			k := fmt.Sprintf("c%05x-%08x", t.calls, crc32.ChecksumIEEE([]byte(m.Step)))
			t.issued[k] = issue{m.Step, lives[id], time.Now().Add(t.valid_)}
			good = append(good, []string{id, k})
		}
	}
	t.mu.Unlock()
	reply(w, 200, map[string]any{"good": good, "valid-ms": t.valid_.Milliseconds()})
}

// valid reports whether a start order of the queue carries a ticket that holds.
func (t *tickets) valid(w *worker, o orderBody) bool {
	j := w.site.checker.job(o.Task)
	if j == nil || j.queue != t.queue {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.issued[o.Ticket]
	return ok && i.life == w && time.Now().Before(i.until) && strings.HasPrefix(o.Task, i.step+".")
}

func (c *checker) job(task string) *jobSpec {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(task) < 16 {
		return nil
	}
	return c.jobs[task[:16]]
}
