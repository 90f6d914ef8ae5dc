package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	holdMax     = 6 * time.Second
	heartbeat   = 1500 * time.Millisecond
	stopTime    = 100 * time.Millisecond
	startupTime = 700 * time.Millisecond
)

// run is a task that a worker runs.
type run struct {
	task      string
	number    int
	startedAt time.Time
	// stopAt is when the run ends by a stop, zero if there was none.
	stopAt time.Time
	pace   int
	// pacedAt is when the last order on the pace was carried out.
	pacedAt time.Time
}

type ended struct {
	sequence int
	task     string
	number   int
	how      string
}

// worker is one life of a machine. It keeps to the page "Running tasks": fencing, leases, ends until they are acknowledged.
type worker struct {
	site    *site
	id      string
	machine *machine
	born    time.Time
	handler http.Handler

	listener net.Listener
	server   *http.Server
	done     chan struct{}
	// silent is true once the worker has crashed without a sign: connections from before are never answered.
	silent atomic.Bool

	lock     sync.Mutex
	token    uint64
	leaseEnd time.Duration
	runs     map[string]*run
	ends     []ended
	sequence int
	highest  map[string]int
	// listed is closed, and replaced, at each end.
	listed chan struct{}
}

// startWorker starts a life of a machine under a new ID, or under the given one.
func (s *site) startWorker(m *machine, id string) *worker {
	return s.startLife(m, id, nil, 0)
}

// startLife starts a life of a machine, at the address of a previous one unless that is nil; it registers after the lag.
func (s *site) startLife(m *machine, id string, previous *worker, lag time.Duration) *worker {
	s.lock.Lock()
	s.workers++
	if id == "" {
		id = fmt.Sprintf("i-%04d", s.workers)
	}
	s.alive[id]++
	s.lock.Unlock()
	w := &worker{
		site: s, id: id, machine: m, born: time.Now(), done: make(chan struct{}), runs: map[string]*run{},
		highest: map[string]int{}, listed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tarragonbank/run-start", w.order)
	mux.HandleFunc("POST /tarragonbank/run-stop", w.order)
	mux.HandleFunc("POST /tarragonbank/pace", w.order)
	mux.HandleFunc("POST /tarragonbank/hold", w.hold)
	w.handler = mux
	if previous != nil {
		w.listener, w.server = previous.listener, previous.server
		m.life.Store(w)
	} else {
		w.listen()
	}
	go w.beat(lag)
	go w.work()
	s.record.add("worker %s is up on machine %s", w.id, m.name)
	return w
}

// lifeKey is the key of the life that had accepted a connection, in the connection's context.
type lifeKey struct{}

// listen serves the machine's calls. A connection belongs to the life that has accepted it, and is never answered once that is over.
func (w *worker) listen() {
	m := w.machine
	var err error
	if w.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		panic(err)
	}
	m.life.Store(w)
	w.server = &http.Server{
		ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, lifeKey{}, m.life.Load())
		},
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			x := r.Context().Value(lifeKey{}).(*worker)
			if x.silent.Load() {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			x.handler.ServeHTTP(rw, r)
		}),
	}
	l, x := w.listener, w.server
	go func() { _ = x.Serve(l) }()
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// beat keeps the registration in the store.
func (w *worker) beat(lag time.Duration) {
	time.Sleep(lag)
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for n := 1; ; n++ {
		w.site.store.set("servers/"+w.id, map[string]any{
			"backend": w.machine.pool, "address": w.listener.Addr().String(), "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold-remaining-ms": 0, "sequence": n, "born": w.born.UnixMilli(), "clock-ms": w.clock().Milliseconds(), "machine": w.machine.name,
			"capacity": w.machine.capacity(), "labels": w.machine.labels(),
		})
		select {
		case <-w.done:
			return
		case <-t.C:
		}
	}
}

// fallSilent crashes the worker without a sign: nothing that is sent to it is answered. After the time it starts again under its ID at its
// address, with nothing of before, and registers after the lag.
func (w *worker) fallSilent(d, lag time.Duration) {
	w.silent.Store(true)
	w.lock.Lock()
	n := len(w.runs)
	w.runs = map[string]*run{}
	w.lock.Unlock()
	close(w.done)
	w.site.lock.Lock()
	w.machine.worker, w.machine.state = nil, "down"
	w.site.lock.Unlock()
	w.site.record.add("worker %s falls silent for %v; it ran %d tasks", w.id, d, n)
	time.Sleep(d)
	x := w.site.startLife(w.machine, w.id, w, lag)
	w.site.lock.Lock()
	w.machine.worker, w.machine.state = x, "up"
	w.site.lock.Unlock()
}

// crash ends the worker at once, with all that it runs. Its registration expires after three heartbeats.
func (w *worker) crash() {
	w.lock.Lock()
	l := []string{}
	for k, r := range w.runs {
		l = append(l, fmt.Sprintf("%s run %d", k, r.number))
	}
	w.runs = map[string]*run{}
	w.lock.Unlock()
	close(w.done)
	_ = w.server.Close()
	w.site.record.add("worker %s crashes; it ran: %s", w.id, strings.Join(l, ", "))
	w.site.lock.Lock()
	lives := w.site.alive[w.id]
	w.site.lock.Unlock()
	time.AfterFunc(3*heartbeat, func() {
		w.site.lock.Lock()
		again := w.site.alive[w.id] != lives
		w.site.lock.Unlock()
		if !again {
			w.site.store.unset("servers/" + w.id)
		}
	})
}

// work ends runs that are done, stopped or whose lease has lapsed.
func (w *worker) work() {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-t.C:
		}
		w.lock.Lock()
		for _, r := range w.runs {
			switch {
			case w.clock() > w.leaseEnd:
				w.end(r, "lapsed")
			case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
				w.end(r, "stopped")
			case w.site.durationOf(r.task) > 0 && time.Since(r.startedAt) > w.site.durationOf(r.task):
				w.end(r, "done")
			}
		}
		w.lock.Unlock()
	}
}

// end ends a run; the caller holds the lock.
func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.sequence++
	w.ends = append(w.ends, ended{w.sequence, r.task, r.number, how})
	close(w.listed)
	w.listed = make(chan struct{})
	w.site.record.add("worker %s: %s run %d ended %s", w.id, r.task, r.number, how)
	w.site.ended(w, r, how)
}

// percent is the progress of a run: a task that lasts is at work after its startup.
func (w *worker) percent(r *run) int {
	d := w.site.durationOf(r.task)
	if d == 0 {
		d = startupTime
	}
	return int(min(time.Since(r.startedAt)*100/d, 100))
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run-id"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	Percent  int    `json:"percent"`
}

func (w *worker) expected(r *http.Request) bool {
	x := r.Header.Get("Tarragonbank-Expect-Instance")
	return x == "" || x == w.id
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o orderBody
	if !w.expected(r) {
		reply(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	kind := strings.TrimPrefix(r.URL.Path, "/tarragonbank/")
	if d := w.site.delay(kind, o); d > 0 {
		w.site.record.add("worker %s: %s %s run %d percent %d gets no answer, and is carried out %v later", w.id, kind, o.Task, o.Run, o.Percent, d)
		time.AfterFunc(d, func() {
			reason := w.carryOut(kind, o)
			w.site.record.add("worker %s: the delayed %s %s run %d percent %d is carried out now %s", w.id, kind, o.Task, o.Run, o.Percent, reason)
			w.site.delayedDone()
		})
		<-r.Context().Done()
		return
	}
	reason := w.carryOut(kind, o)
	if kind != "run-stop" || reason == "" {
		w.site.record.add("worker %s: %s %s run %d percent %d token %d -> %s", w.id, kind, o.Task, o.Run, o.Percent, o.Token, strings.TrimSpace("answered "+reason))
	}
	status, body := http.StatusOK, map[string]any{"clock-ms": w.clock().Milliseconds()}
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	reply(rw, status, body)
}

// carryOut executes an order and returns why it was rejected, empty if it was not.
func (w *worker) carryOut(kind string, o orderBody) string {
	w.lock.Lock()
	defer w.lock.Unlock()
	if o.Token < w.token {
		return "fence"
	}
	w.token = o.Token
	r := w.runs[o.Task]
	switch kind {
	case "run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
			w.site.stopOrdered(w, r, w.percent(r) == 100)
		}
	case "pace":
		if r != nil && r.number == o.Run {
			r.pace, r.pacedAt = o.Percent, time.Now()
		}
	default:
		return w.start(o, r)
	}
	return ""
}

func (w *worker) start(o orderBody, r *run) string {
	if time.Duration(o.Deadline)*time.Millisecond < w.clock() {
		return "late"
	}
	w.extend(o.Deadline)
	switch {
	case r != nil && r.number == o.Run:
		return ""
	case r != nil || o.Run <= w.highest[o.Task]:
		return "old"
	}
	w.highest[o.Task] = o.Run
	w.runs[o.Task] = &run{task: o.Task, number: o.Run, startedAt: time.Now(), pace: 100}
	w.site.started(w, w.runs[o.Task])
	return ""
}

func (w *worker) extend(ms int64) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(ms)*time.Millisecond, w.clock()+holdMax))
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Deadline int64  `json:"deadline-ms"`
		Token    uint64 `json:"fencing-token"`
		Cursor   int    `json:"ack-cursor"`
		Wait     int64  `json:"wait-ms"`
	}
	if !w.expected(r) {
		reply(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	w.lock.Lock()
	if q.Token < w.token {
		w.lock.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clock-ms": w.clock().Milliseconds(), "reason": "fence"})
		return
	}
	w.token = q.Token
	w.extend(q.Deadline)
	for len(w.ends) > 0 && w.ends[0].sequence <= q.Cursor {
		w.ends = w.ends[1:]
	}
	wait, listed := len(w.ends) == 0 && q.Wait > 0, w.listed
	w.lock.Unlock()
	if wait {
		select {
		case <-listed:
		case <-time.After(time.Duration(min(q.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-w.done:
			return
		}
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.runs {
		running = append(running, []any{x.task, x.number, "", w.percent(x), w.site.figure(w, x)})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.sequence, e.task, e.number, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}
