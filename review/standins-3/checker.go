package main

import (
	"fmt"
	"hash/crc32"
	"net"
	"sort"
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
	poolName string

	cancelled time.Time
	refused   bool
	answered  bool
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
	void    bool
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
	gangs    map[string]*gang
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
	return &checker{site: s, jobs: map[string]*jobSpec{}, runs: map[string][]*runRecord{}, gangs: map[string]*gang{}}
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
	c.checkStart(w, r, o)
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
	x := c.find(w, e.task, e.number)
	if x == nil || x.acked || x.void {
		return
	}
	x.acked = true
	p := &c.jobs[e.task[:16]].steps[stepNumber(e.task)]
	if x.how == "done" && !p.Spec && !p.Long {
		for _, y := range c.runs[e.task] {
			if y != x && y.started.After(x.ended) {
				c.breachLocked("TWICE: %s run %d has started on %s after run %d on %s had ended done, which is taken note of later", e.task, y.number, y.worker, x.number, x.worker)
			}
		}
	}
	if x.how == "failed" && !p.Long {
		c.checkBudget(e.task, nil)
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

func stepNumber(task string) int {
	_, _, step, _ := stepOf(task)
	return step
}

// lapsed records that the lease of a worker has lapsed before its ends were taken note of.
func (c *checker) lapsed(w *worker, l []ended) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range l {
		if x := c.find(w, e.task, e.number); x != nil && !x.acked {
			x.void = true
		}
	}
}

// checkBudget looks for a start after as many runs have ended failed as the queue allows. The caller holds the lock.
func (c *checker) checkBudget(task string, starting *runRecord) {
	j := c.jobs[task[:16]]
	p := &j.steps[stepNumber(task)]
	if p.Long || p.Spec {
		return
	}
	failed := []time.Time{}
	for _, x := range c.runs[task] {
		if x.how == "failed" && x.acked {
			failed = append(failed, x.ended)
		}
	}
	if len(failed) < attempts {
		return
	}
	sort.Slice(failed, func(i, k int) bool { return failed[i].Before(failed[k]) })
	for _, x := range c.runs[task] {
		if x.started.After(failed[attempts-1]) {
			c.breachLocked("BUDGET: %s run %d has started on %s after %d runs had ended failed", task, x.number, x.worker, attempts)
		}
	}
	if starting != nil {
		c.breachLocked("BUDGET: %s run %d starts after %d runs have ended failed", task, starting.number, attempts)
	}
}

const attempts = 4

func (c *checker) stepDone(j *jobSpec, k, step int) bool {
	p := &j.steps[step]
	for i := range p.Count {
		done := false
		for _, x := range c.runs[fmt.Sprintf("%s.%d.%d.%d", j.id, k, step, i)] {
			done = done || x.how == "done"
		}
		if done && p.Gang {
			return true
		}
		if !done {
			if p.Gang {
				continue
			}
			return false
		}
	}
	return !p.Gang
}

// checkStart looks for rules that a start breaks. The caller holds the lock.
func (c *checker) checkStart(w *worker, r *run, o orderBody) {
	id, k, step, _ := stepOf(r.task)
	j := c.jobs[id]
	p := &j.steps[step]
	if o.Spec != j.text {
		c.breachLocked("UNASKED: %s is started with another task-spec", r.task)
	}
	for _, a := range p.After {
		if !c.stepDone(j, k, a) {
			c.breachLocked("ORDER: %s starts before step %d is done", r.task, a)
		}
	}
	if j.repeat > 0 {
		if early := j.startAt.Add(time.Duration(k) * j.interval).Sub(time.Now()); early > 250*time.Millisecond {
			c.breachLocked("ORDER: %s starts %v early", r.task, early)
		}
	}
	c.checkBudget(r.task, &runRecord{number: r.number})
	if p.Requires != "" && !contains(w.labels, p.Requires) {
		c.breachLocked("ROUTE: %s starts on %s without the label %s", r.task, w.id, p.Requires)
	}
	if w.pool != j.pool() {
		c.breachLocked("ROUTE: %s of %s starts on %s of %s", r.task, j.queue, w.id, w.pool)
	}
	if p.Apart > 0 {
		n := 1
		for t := range w.runs {
			x, y, z, _ := stepOf(t)
			if x == id && y == k && z == step && t != r.task {
				n++
			}
		}
		if n > p.Apart {
			c.breachLocked("ROUTE: %d tasks of %s.%d.%d on %s", n, id, k, step, w.id)
		}
	}
	if o.Ckpt != "" && o.Ckpt[8:] != ckptName(r.task, p) {
		c.breachLocked("UNASKED: %s starts with the checkpoint %s", r.task, o.Ckpt)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > 3*time.Second {
		c.breachLocked("UNASKED: %s starts %v after the cancelling was acknowledged", r.task, time.Since(j.cancelled))
	}
	if j.refused {
		c.breachLocked("REFUSED: %s starts", r.task)
	}
}

func ckptName(task string, p *stepSpec) string {
	id, k, step, i := stepOf(task)
	if p.Gang {
		i = 0
	}
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(fmt.Sprintf("%s.%d.%d.%d", id, k, step, i))))
}

func (j *jobSpec) pool() string {
	if j.poolName != "" {
		return j.poolName
	}
	return j.queue
}

// refuse records that all attempts to hand a job in were rejected.
func (c *checker) refuse(j *jobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.refused = true
	for t, l := range c.runs {
		if t[:16] == j.id && len(l) > 0 {
			c.breachLocked("REFUSED: %s has started", t)
		}
	}
}

// gang is a run of a gang.
type gang struct {
	members map[string]bool
	broken  bool
}

func (c *checker) gangOf(r *run) *gang {
	id, k, step, _ := stepOf(r.task)
	n := fmt.Sprintf("%s.%d.%d/%d", id, k, step, r.number)
	g := c.gangs[n]
	if g == nil {
		g = &gang{members: map[string]bool{}}
		c.gangs[n] = g
	}
	return g
}

// joinGang reports whether all members of a run's gang are present, and whether the gang is broken.
func (c *checker) joinGang(r *run) (whole, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gangOf(r)
	g.members[r.task] = true
	return len(g.members) == r.spec.Count, g.broken
}

func (c *checker) breakGang(r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gangOf(r).broken = true
}

// cancel records that the cancelling of a job was acknowledged.
func (c *checker) cancel(j *jobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.cancelled = time.Now()
}
