package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type size struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem-mb"`
	GPU int64 `json:"gpu"`
}

// run is a run of a task on a worker.
type run struct {
	task     string
	number   int
	spec     *stepSpec
	started  time.Time
	progress time.Duration
	advanced time.Time
	stopAt   time.Time
	pace     int
	work     time.Duration
}

type ended struct {
	seq    uint64
	task   string
	number int
	how    string
	saved  string
}

// worker is a stand-in of one life of a worker.
type worker struct {
	site    *site
	id      string
	machine string
	pool    string
	zone    string
	rack    string
	labels  []string
	cap     size
	guards  bool
	addr    string
	born    time.Time
	lst     net.Listener
	srv     *http.Server
	dead    chan struct{}

	mu       sync.Mutex
	fence    uint64
	leaseEnd time.Duration
	runs     map[string]*run
	highest  map[string]int
	ends     []ended
	lastEnd  uint64
	newEnd   chan struct{}
	seq      int
	draining bool
	// firstBeat is how long after its start the worker first writes to the store.
	firstBeat time.Duration
	// slow is how many times as long the work takes, 1 if it is 0.
	slow float64
	// hook is asked before a call is carried out; it may delay the call, and drops the call without an answer if it returns false.
	hook func(path string, body []byte) bool
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) start() {
	w.born = time.UnixMilli(time.Now().UnixMilli())
	w.runs, w.highest, w.newEnd, w.dead = map[string]*run{}, map[string]int{}, make(chan struct{}), make(chan struct{})
	w.born = time.Now()
	if w.lst == nil {
		w.lst = listen()
		w.addr = w.lst.Addr().String()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/tarragonbank/", w.handle)
	mux.HandleFunc("GET /health", func(x http.ResponseWriter, _ *http.Request) { x.WriteHeader(200) })
	w.srv = &http.Server{Handler: mux}
	go func() { _ = w.srv.Serve(w.lst) }()
	go w.beat()
	go w.loop()
}

func (w *worker) register() {
	w.mu.Lock()
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	m := map[string]any{
		"backend": w.pool, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "cold-remaining-ms": 0,
		"capacity": w.cap, "labels": w.labels, "machine": w.machine, "clock-ms": w.clock().Milliseconds(), "sequence": w.seq,
		"born": w.born.UnixMilli(),
	}
	w.mu.Unlock()
	b, _ := json.Marshal(m)
	w.site.store.write("servers/"+w.id, b)
}

func (w *worker) beat() {
	time.Sleep(w.firstBeat)
	for {
		w.register()
		select {
		case <-w.dead:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// crash ends the worker and all that it runs without a word.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.dead:
		return
	default:
	}
	close(w.dead)
	for _, r := range w.runs {
		w.site.checker.ended(w, r, "lost", 0)
		if r.spec.Gang {
			w.site.checker.breakGang(r)
		}
	}
	w.runs = map[string]*run{}
	_ = w.srv.Close()
}

func (w *worker) setSlow(x float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow = x
}

func (w *worker) loop() {
	for {
		select {
		case <-w.dead:
			return
		case <-time.After(10 * time.Millisecond):
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

func (w *worker) advance() {
	now := time.Now()
	if w.advanceLease() {
		return
	}
	for _, r := range w.runs {
		d := now.Sub(r.advanced)
		r.advanced = now
		switch {
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped")
			continue
		case !r.stopAt.IsZero():
			continue
		}
		if w.slow > 0 {
			d = time.Duration(float64(d) / w.slow)
		}
		if r.spec.Gang {
			whole, broken := w.site.checker.joinGang(r)
			if broken {
				w.end(r, "broken")
				continue
			}
			if !whole {
				if now.Sub(r.started) > 3*time.Second {
					w.end(r, "alone")
				}
				continue
			}
		}
		r.progress += d * time.Duration(r.pace) / 100
		if !r.spec.Long && r.progress >= r.work {
			w.end(r, r.spec.endOf(r.task, r.number))
		} else if r.spec.Long && r.spec.FailAfter > 0 && r.progress >= r.spec.FailAfter {
			w.end(r, "failed")
		}
	}
}

func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, r.task, r.number, how, w.saved(r)})
	w.site.checker.ended(w, r, how, w.lastEnd)
	if r.spec.Gang && how != "done" {
		w.site.checker.breakGang(r)
	}
	close(w.newEnd)
	w.newEnd = make(chan struct{})
}

func (w *worker) saved(r *run) string {
	if !r.spec.Checkpoint || r.progress < time.Second {
		return ""
	}
	return fmt.Sprintf("%08x%s", int64(r.progress/time.Second)*1000, ckptName(r.task, r.spec))
}

func (r *run) percent() int {
	if r.spec.Long {
		if r.progress > 300*time.Millisecond {
			return 100
		}
		return 0
	}
	return min(int(r.progress*100/max(r.work, 1)), 99)
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run-id"`
	Spec     string `json:"task-spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fencing-token"`
	Ckpt     string `json:"checkpoint"`
	Ticket   string `json:"ticket"`
	Percent  int    `json:"percent"`
	Ack      uint64 `json:"ack-cursor"`
	Wait     int64  `json:"wait-ms"`
}

func (w *worker) handle(x http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id := r.Header.Get("Tarragonbank-Expect-Instance"); id != "" && id != w.id {
		x.WriteHeader(421)
		return
	}
	if h := w.hook; h != nil && !h(r.URL.Path, b) {
		select {
		case <-r.Context().Done():
		case <-w.dead:
		}
		panic(http.ErrAbortHandler)
	}
	status, body := w.execute(r, r.URL.Path, b)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	reply(x, status, body)
}

// execute carries out a call. The status is 0 if the worker has ended meanwhile.
func (w *worker) execute(r *http.Request, path string, b []byte) (int, map[string]any) {
	var o orderBody
	if json.Unmarshal(b, &o) != nil {
		return 400, map[string]any{}
	}
	w.mu.Lock()
	select {
	case <-w.dead:
		w.mu.Unlock()
		return 0, nil
	default:
	}
	if o.Fence < w.fence {
		defer w.mu.Unlock()
		return w.conflict("fence")
	}
	w.fence = o.Fence
	switch path {
	case "/tarragonbank/run-start":
		defer w.mu.Unlock()
		return w.startRun(o)
	case "/tarragonbank/run-stop":
		defer w.mu.Unlock()
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(50 * time.Millisecond)
		}
	case "/tarragonbank/pace":
		defer w.mu.Unlock()
		if r := w.runs[o.Task]; r != nil && r.number == o.Run {
			r.pace = o.Percent
		}
	case "/tarragonbank/hold":
		w.extend(o.Deadline)
		n := 0
		for n < len(w.ends) && w.ends[n].seq <= o.Ack {
			w.site.checker.acked(w, w.ends[n])
			n++
		}
		w.ends = w.ends[n:]
		wait, newEnd := len(w.ends) == 0 && o.Wait > 0, w.newEnd
		w.mu.Unlock()
		if wait {
			select {
			case <-newEnd:
			case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
			case <-w.dead:
				return 0, nil
			case <-r.Context().Done():
				return 0, nil
			}
		}
		return 200, w.listing()
	default:
		w.mu.Unlock()
		return 404, map[string]any{}
	}
	return 200, map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
}

func (w *worker) conflict(reason string) (int, map[string]any) {
	return 409, map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "reason": reason}
}

func (w *worker) extend(ms int64) {
	d := min(time.Duration(ms)*time.Millisecond, w.clock()+6*time.Second)
	w.leaseEnd = max(w.leaseEnd, d)
}

func (w *worker) used() size {
	u := size{}
	for _, r := range w.runs {
		if !r.spec.Fills {
			u.CPU += r.spec.CPU
		}
		u.Mem += r.spec.Mem
		u.GPU += r.spec.GPU
	}
	return u
}

func (w *worker) startRun(o orderBody) (int, map[string]any) {
	if time.Duration(o.Deadline)*time.Millisecond < w.clock() {
		return w.conflict("late")
	}
	w.advanceLease()
	if t := w.site.tickets; t != nil && !t.valid(w, o) {
		return w.conflict("ticket")
	}
	w.extend(o.Deadline)
	if r := w.runs[o.Task]; r != nil {
		if r.number == o.Run {
			return 200, map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
		}
		return w.conflict("old")
	}
	if o.Run <= w.highest[o.Task] {
		return w.conflict("old")
	}
	spec := w.site.checker.spec(o.Task)
	if spec == nil {
		w.site.checker.breach("UNASKED: %s was told to start %s, which no client has sent", w.id, o.Task)
		return w.conflict("old")
	}
	u := w.used()
	over := u.Mem+spec.Mem > w.cap.Mem || u.GPU+spec.GPU > w.cap.GPU || !spec.Fills && u.CPU+spec.CPU > w.cap.CPU
	if over && w.guards {
		return w.conflict("room")
	}
	r := &run{task: o.Task, number: o.Run, spec: spec, started: time.Now(), advanced: time.Now(), pace: 100, work: spec.workOf(o.Task)}
	if o.Ckpt != "" {
		ms, _ := strconv.ParseInt(o.Ckpt[:min(8, len(o.Ckpt))], 16, 64)
		r.progress = time.Duration(ms) * time.Millisecond
	}
	w.site.checker.started(w, r, o, over)
	w.runs[o.Task] = r
	return 200, map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
}

// advanceLease reports whether the lease has lapsed, and kills everything that runs if so.
func (w *worker) advanceLease() bool {
	if w.clock() <= w.leaseEnd {
		return false
	}
	for _, r := range w.runs {
		w.end(r, "lapsed")
	}
	if len(w.ends) > 0 {
		w.site.checker.lapsed(w, w.ends)
	}
	return true
}

func (w *worker) listing() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		metric := int64(0)
		if !r.spec.Long {
			metric = r.spec.CPU
		}
		running = append(running, []any{r.task, r.number, w.saved(r), r.percent(), metric})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.seq, e.task, e.number, e.how, e.saved})
	}
	return map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished}
}

// stepOf splits the name of a task into its job, occurrence, step and index.
func stepOf(task string) (job string, k, step, index int) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return "", 0, 0, 0
	}
	k, _ = strconv.Atoi(p[1])
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], k, step, index
}
