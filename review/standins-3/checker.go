package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func relisten(addr string) (net.Listener, error) {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", addr); err == nil {
			return l, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

// stepSpec is a step of a job, as its client sends it and as its tasks behave.
type stepSpec struct {
	Count      int
	CPU        int64
	Mem        int64
	GPU        int64
	Work       time.Duration
	Estimate   time.Duration
	After      []int
	Long       bool
	Fills      bool
	Gang       bool
	Checkpoint bool
	Spec       bool
	MayMiss    int
	Apart      int
	Requires   string
	FailAfter  time.Duration
	// WorkOf gives the work of each task by its index, Work for all if it is nil.
	WorkOf func(index int) time.Duration
	// How tells how a run ends, done if it is nil.
	How func(task string, number int) string
}

func (p *stepSpec) workOf(task string) time.Duration {
	if p.WorkOf == nil {
		return p.Work
	}
	_, _, _, i := stepOf(task)
	return p.WorkOf(i)
}

func (p *stepSpec) endOf(task string, number int) string {
	if p.How != nil {
		return p.How(task, number)
	}
	return "done"
}

// jobSpec is a job of a client.
type jobSpec struct {
	id       string
	queue    string
	text     string
	steps    []stepSpec
	repeat   int
	startAt  time.Time
	interval time.Duration
}

func (j *jobSpec) body() map[string]any {
	l := []map[string]any{}
	for _, p := range j.steps {
		m := map[string]any{"count": p.Count}
		set := func(k string, v any, zero bool) {
			if !zero {
				m[k] = v
			}
		}
		set("cpu", p.CPU, p.CPU == 0)
		set("mem-mb", p.Mem, p.Mem == 0)
		set("gpu", p.GPU, p.GPU == 0)
		e := p.Estimate
		if e == 0 {
			e = p.Work
		}
		set("estimate-ms", e.Milliseconds(), e == 0)
		set("after", p.After, len(p.After) == 0)
		set("long-running", true, !p.Long)
		set("fills", true, !p.Fills)
		set("gang", true, !p.Gang)
		set("checkpointing", true, !p.Checkpoint)
		set("speculative", true, !p.Spec)
		set("may-miss", p.MayMiss, p.MayMiss == 0)
		set("anti-affinity", p.Apart, p.Apart == 0)
		set("requires", p.Requires, p.Requires == "")
		l = append(l, m)
	}
	b := map[string]any{"task-spec": j.text, "steps": l}
	if j.repeat > 0 {
		b["repeat-count"], b["start-at-ms"], b["interval-ms"] = j.repeat, j.startAt.UnixMilli(), j.interval.Milliseconds()
	}
	return b
}

// runRecord is what a worker has seen of a run.
type runRecord struct {
	number  int
	worker  string
	life    *worker
	started time.Time
	ended   time.Time
	how     string
	acked   bool
}

// checker knows what clients sent and what workers ran.
type checker struct {
	site *site

	mu       sync.Mutex
	jobs     map[string]*jobSpec
	runs     map[string][]*runRecord
	breaches []string
	orders   []machineOrder
	starts   int
	quiet    bool
	onStart  func(w *worker, r *run, o orderBody, over bool)
}

type machineOrder struct {
	at            time.Time
	path, machine string
	pool          string
	wave          int
	holder        string
	token         uint64
}

func newChecker(s *site) *checker {
	return &checker{site: s, jobs: map[string]*jobSpec{}, runs: map[string][]*runRecord{}}
}

func (c *checker) breach(format string, v ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breachLocked(format, v...)
}

func (c *checker) breachLocked(format string, v ...any) {
	m := fmt.Sprintf(format, v...)
	c.breaches = append(c.breaches, m)
	c.site.rec.add("BROKEN %s", m)
}

func (c *checker) add(j *jobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.id] = j
}

func (c *checker) spec(task string) *stepSpec {
	id, k, step, index := stepOf(task)
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || step >= len(j.steps) || index >= j.steps[step].Count || k >= max(j.repeat, 1) {
		return nil
	}
	return &j.steps[step]
}

func (c *checker) started(w *worker, r *run, o orderBody, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	if !c.quiet {
		c.site.rec.add("worker %s (%s) starts %s run %d", w.id, w.machine, r.task, r.number)
	}
	if over {
		c.breachLocked("LIMIT: %s is over its capacity with %s", w.id, r.task)
	}
	for _, x := range c.runs[r.task] {
		if r.spec.Spec || r.spec.Long && x.how != "" {
			continue
		}
		if x.how == "" {
			c.breachLocked("TWICE: %s run %d starts on %s while run %d is at work on %s", r.task, r.number, w.id, x.number, x.worker)
		} else if x.how == "done" && x.acked {
			c.breachLocked("TWICE: %s run %d starts on %s after run %d on %s has ended done and that was taken note of", r.task, r.number, w.id, x.number, x.worker)
		}
	}
	c.runs[r.task] = append(c.runs[r.task], &runRecord{number: r.number, worker: w.id, life: w, started: time.Now()})
	if c.onStart != nil {
		c.onStart(w, r, o, over)
	}
}

func (c *checker) find(w *worker, task string, number int) *runRecord {
	for _, x := range c.runs[task] {
		if x.number == number && x.life == w {
			return x
		}
	}
	return nil
}

func (c *checker) ended(w *worker, r *run, how string, seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.quiet {
		c.site.rec.add("worker %s (%s) ends %s run %d: %s (%d)", w.id, w.machine, r.task, r.number, how, seq)
	}
	if x := c.find(w, r.task, r.number); x != nil {
		x.how, x.ended = how, time.Now()
	}
}

func (c *checker) acked(w *worker, e ended) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.find(w, e.task, e.number); x != nil {
		x.acked = true
	}
}

func (c *checker) machineOrder(path, m, pool string, wave int, holder string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, machineOrder{time.Now(), path, m, pool, wave, holder, token})
	c.site.rec.add("cloud: %s of %s to %q, wave %d, by %s with %d", path, m, pool, wave, holder, token)
}

// running returns the number of runs of a job that are at work.
func (c *checker) running(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for t, l := range c.runs {
		if t[:16] != id {
			continue
		}
		for _, x := range l {
			if x.how == "" {
				n++
			}
		}
	}
	return n
}

func (c *checker) countStarts(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for t, l := range c.runs {
		if t[:16] == id {
			n += len(l)
		}
	}
	return n
}
