package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The timing of workers, as in the settings of the small deployments.
const (
	heartbeat    = 1500 * time.Millisecond
	holdMax      = 6 * time.Second
	gangTimeout  = 3 * time.Second
	stopTime     = 50 * time.Millisecond
	paceTime     = 100 * time.Millisecond
	lastingStart = 300 * time.Millisecond
	maxEnds      = 500
)

// worker is one life of a machine's worker.
type worker struct {
	site    *site
	id      string
	machine *machine
	address string
	server  *http.Server
	born    time.Time
	done    chan struct{}

	mu  sync.Mutex
	cut cutKind
	// down is true from a crash until the worker has registered again.
	down     bool
	draining bool
	fence    uint64
	leaseEnd time.Duration
	runs     map[string]*run
	highest  map[string]int
	ends     []end
	lastEnd  uint64
	changed  chan struct{}
	sequence int
}

type run struct {
	task    string
	number  int
	step    *stepModel
	started time.Time
	stopAt  time.Time
	failAt  time.Time
	// joined is when all members of the run's gang were present.
	joined time.Time
	// pace is the share at which the run works from pacedAt on, lastPace that before.
	pace, lastPace int
	pacedAt        time.Time
}

type end struct {
	number uint64
	task   string
	run    int
	how    string
}

func (s *site) startWorker(m *machine, id string) *worker {
	l, err := net.Listen("tcp", s.address(2)+":0")
	if err != nil {
		s.fatal("no port for a worker: %v", err)
	}
	w := &worker{
		site: s, id: id, machine: m, address: l.Addr().String(), born: time.Now(), done: make(chan struct{}), runs: map[string]*run{},
		highest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tarragonbank/run-start", w.order(w.start))
	mux.HandleFunc("POST /tarragonbank/run-stop", w.order(w.stop))
	mux.HandleFunc("POST /tarragonbank/pace", w.order(w.pace))
	mux.HandleFunc("POST /tarragonbank/hold", w.hold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.work()
	return w
}

func (w *worker) beat() {
	for {
		w.register()
		select {
		case <-w.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) register() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	v := map[string]any{
		"backend": w.machine.pool, "address": w.address, "zone": w.machine.zone, "version": "v1", "slots": 8, "state": state,
		"cold-remaining-ms": 0, "machine": w.machine.name, "capacity": w.machine.capacity, "labels": w.machine.labels,
		"clock-ms": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	w.mu.Unlock()
	w.site.store.put("servers/"+w.id, v)
}

// cutKind is what a partition between a worker and all entries stops.
type cutKind int

const (
	connected cutKind = iota
	// cutOff stops requests and answers, cutOneWay only requests.
	cutOff
	cutOneWay
)

// setCut cuts the worker off from all entries, or ends that. It runs on, and its registration stays.
func (w *worker) setCut(k cutKind) {
	w.mu.Lock()
	w.cut = k
	w.mu.Unlock()
	w.site.record("worker %s: %s", w.id, [...]string{"reached again", "cut off from the entries, both ways", "cut off from the entries, one way"}[k])
}

// crash ends all that runs on the worker, which falls silent. Its registration stays.
func (w *worker) crash() {
	w.mu.Lock()
	for _, r := range w.runs {
		w.site.ended(w, r, "crashed")
	}
	w.runs = map[string]*run{}
	w.cut = cutOff
	w.down = true
	w.mu.Unlock()
	w.site.record("worker %s crashes and is silent", w.id)
}

// restart starts the worker again under its ID, with another capacity. It registers after the lag.
func (w *worker) restart(cpu int, lag time.Duration) {
	w.mu.Lock()
	w.born, w.fence, w.leaseEnd, w.highest, w.ends, w.lastEnd, w.sequence = time.Now(), 0, 0, map[string]int{}, nil, 0, 0
	w.machine.capacity = map[string]int{"cpu": cpu, "mem-mb": fullMemory, "gpu": 0}
	w.cut = connected
	w.mu.Unlock()
	w.site.record("worker %s has started again under its ID, with %d thousandths of a core", w.id, cpu)
	time.Sleep(lag)
	w.mu.Lock()
	w.down = false
	w.mu.Unlock()
	w.register()
}

// passes reports whether a request, or an answer, passes. Otherwise it waits until the caller gives up.
func (w *worker) passes(r *http.Request, answer bool) bool {
	w.mu.Lock()
	k := w.cut
	w.mu.Unlock()
	if k == connected || answer && k == cutOneWay {
		return true
	}
	select {
	case <-r.Context().Done():
	case <-time.After(30 * time.Second):
	}
	return false
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) work() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		w.mu.Lock()
		w.advance(time.Now())
		w.mu.Unlock()
	}
}

func (w *worker) advance(now time.Time) {
	if w.clock() > w.leaseEnd {
		for _, r := range w.runs {
			w.endRun(r, "lapsed")
		}
		return
	}
	for _, r := range w.runs {
		m := r.step
		switch {
		case !r.stopAt.IsZero():
			if now.After(r.stopAt) {
				w.endRun(r, "stopped")
			}
		case !r.failAt.IsZero() && now.After(r.failAt):
			w.endRun(r, "failed")
		case m.gang > 0 && !r.joined.IsZero() && now.Sub(r.joined) >= m.time && m.outcome(r) == "failed":
			// It fails by itself, whatever becomes of the others.
			w.endRun(r, "failed")
		case m.gang > 0 && w.site.gangBroken(r):
			w.endRun(r, "broken")
		case m.gang > 0 && r.joined.IsZero():
			if w.site.gangPresent(r) {
				r.joined = now
			} else if now.Sub(r.started) > gangTimeout {
				w.endRun(r, "alone")
			}
		case m.lasting:
		case m.gang > 0 && now.Sub(r.joined) < m.time:
		case now.Sub(r.started) >= m.time:
			w.endRun(r, m.outcome(r))
		}
	}
}

func (w *worker) endRun(r *run, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.number, how})
	close(w.changed)
	w.changed = make(chan struct{})
	if r.step.gang > 0 && how != "done" {
		w.site.breakGang(r)
	}
	w.site.ended(w, r, how)
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run-id"`
	Spec     string `json:"task-spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fencing-token"`
	Ticket   string `json:"ticket"`
	Percent  int    `json:"percent"`
}

func (w *worker) order(f func(*order) string) http.HandlerFunc {
	return func(a http.ResponseWriter, r *http.Request) {
		if !w.passes(r, false) {
			return
		}
		if r.Header.Get("Tarragonbank-Expect-Instance") != w.id {
			a.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		o := &order{}
		if err := json.NewDecoder(r.Body).Decode(o); err != nil {
			a.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		reason := "fence"
		if o.Fence >= w.fence {
			w.fence = o.Fence
			reason = f(o)
		}
		clock := w.clock().Milliseconds()
		w.mu.Unlock()
		if !w.passes(r, true) {
			return
		}
		if reason != "" {
			reply(a, http.StatusConflict, map[string]any{"clock-ms": clock, "reason": reason})
			return
		}
		reply(a, http.StatusOK, map[string]any{"clock-ms": clock})
	}
}

func (w *worker) extend(ms int64) {
	d := min(time.Duration(ms)*time.Millisecond, w.clock()+holdMax)
	w.leaseEnd = max(w.leaseEnd, d)
}

func (w *worker) start(o *order) string {
	if time.Duration(o.Deadline)*time.Millisecond < w.clock() {
		return "late"
	}
	w.extend(o.Deadline)
	if r := w.runs[o.Task]; r != nil {
		if r.number == o.Run {
			return ""
		}
		return "old"
	}
	if o.Run <= w.highest[o.Task] {
		return "old"
	}
	m := w.site.model(o.Task)
	if m == nil {
		w.site.record("UNKNOWN task %s started on %s", o.Task, w.id)
		return "old"
	}
	if m.advice && o.Ticket != w.site.ticket(o.Task, w.id) {
		w.site.rejected(w, o)
		return "ticket"
	}
	used := 0
	for _, r := range w.runs {
		if !r.step.fills {
			used += r.step.cpu
		}
	}
	if c := w.machine.capacity["cpu"]; !m.fills && used+m.cpu > c {
		if !w.site.trusting(w.machine.pool) {
			return "room"
		}
		w.site.overfilled(w, o, used+m.cpu, c)
	}
	if m.gang > 0 {
		w.site.joinGang(o.Task, o.Run)
	}
	r := &run{task: o.Task, number: o.Run, step: m, started: time.Now(), pace: 100, lastPace: 100}
	w.runs[o.Task] = r
	w.site.started(w, r)
	return ""
}

func (w *worker) stop(o *order) string {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return ""
}

func (w *worker) pace(o *order) string {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		r.lastPace, r.pace, r.pacedAt = r.paceNow(), o.Percent, time.Now().Add(paceTime)
		w.site.record("pace         %s run %d on %s: %d", r.task, r.number, w.id, o.Percent)
	}
	return ""
}

func (r *run) paceNow() int {
	if time.Now().Before(r.pacedAt) {
		return r.lastPace
	}
	return r.pace
}

// baseTail is the tail of the response times of a serving task that nothing disturbs, in milliseconds.
const baseTail = 50

// tail returns the tail of a serving task, and whether a task that fills works beside it. The caller holds the lock.
func (w *worker) tail() (ms int, filled bool) {
	ms = baseTail
	for _, r := range w.runs {
		if r.step.fills && r.paceNow() > 0 {
			ms += w.site.disturbance() * r.paceNow() / 100
			filled = true
		}
	}
	return ms, filled
}

// metric is the fifth field of a row of running tasks. The caller holds the lock.
func (w *worker) metric(r *run) int {
	if r.step.serves {
		n, _ := w.tail()
		return n
	}
	return r.step.cpu
}

// fail lets the run of a task fail now, if it runs here.
func (w *worker) fail(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[task]
	if r == nil {
		return false
	}
	r.failAt = time.Now()
	return true
}

func (w *worker) hold(a http.ResponseWriter, r *http.Request) {
	if !w.passes(r, false) {
		return
	}
	var q struct {
		Deadline int64  `json:"deadline-ms"`
		Fence    uint64 `json:"fencing-token"`
		Cursor   uint64 `json:"ack-cursor"`
		Wait     int64  `json:"wait-ms"`
	}
	if r.Header.Get("Tarragonbank-Expect-Instance") != w.id {
		a.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		a.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if q.Fence < w.fence {
		clock := w.clock().Milliseconds()
		w.mu.Unlock()
		reply(a, http.StatusConflict, map[string]any{"clock-ms": clock, "reason": "fence"})
		return
	}
	w.fence = q.Fence
	w.advance(time.Now())
	w.extend(q.Deadline)
	for len(w.ends) > 0 && w.ends[0].number <= q.Cursor {
		w.site.noted(w, w.ends[0])
		w.ends = w.ends[1:]
	}
	waits, changed := len(w.ends) == 0 && q.Wait > 0, w.changed
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(q.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if !w.passes(r, true) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.runs {
		running = append(running, []any{x.task, x.number, "", x.percent(), w.metric(x)})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(a, http.StatusOK, map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}

func (r *run) percent() int {
	d := time.Since(r.started)
	if r.step.lasting {
		if d > lastingStart {
			return 100
		}
		return 0
	}
	return min(int(d*100/max(r.step.time, 1)), 99)
}

// parseTask splits the name of a task into the job's ID, the step and the index.
func parseTask(name string) (id string, step, index int) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return name, 0, 0
	}
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], step, index
}

// tasksOn lists the tasks that run on the worker.
func (w *worker) tasksOn() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := []string{}
	for t := range w.runs {
		l = append(l, t)
	}
	sort.Strings(l)
	return l
}

func (w *worker) String() string { return fmt.Sprintf("%s (%s)", w.id, w.machine.name) }
