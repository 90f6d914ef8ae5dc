package main

import (
	"encoding/json"
	"sync"
	"time"
)

// lateCall is a call to a worker that gets no answer and is carried out later.
type lateCall struct {
	path string
	body []byte
	at   time.Time
}

// A poll with the number of an end of one life of a worker is carried out late, by the next life. TROUBLE=0 carries out nothing late and lets the
// worker live.
func init() {
	cases["case15"] = func(s *scene) {
		s.standby = "spare"
		s.addMachines("cups", 10, size{CPU: 64000, Mem: 131072}, true)
		s.addMachines("carving", 9, size{CPU: 64000, Mem: 131072}, true)
		s.addMachines("spare", 2, size{CPU: 64000, Mem: 131072}, true)
		w := s.workers("cups")[4]
		w.mu.Lock()
		w.labels = append(w.labels, "k")
		w.mu.Unlock()
		w.register()
		s.configure(1)
		s.addEntries(3, 284, 0.4)
		s.awaitReady(15 * time.Second)
		// A task that lasts keeps the worker's machine from being moved.
		if !s.submit(s.job("cups", stepSpec{Count: 1, CPU: 1000, Mem: 1000, Long: true, Requires: "k"})) {
			fail("the lasting job was not accepted")
		}
		time.Sleep(2 * time.Second)

		// Some tasks end on the worker, and their ends are taken note of.
		first := s.job("cups", stepSpec{Count: 5, CPU: 3500, Mem: 3600, Work: 300 * time.Millisecond, Requires: "k"})
		if !s.submit(first) || !s.await(first, 10*time.Second) {
			fail("the first job was not done")
		}
		time.Sleep(1500 * time.Millisecond)

		second := s.job("cups", stepSpec{Count: 1, CPU: 3500, Mem: 3600, Work: 200 * time.Millisecond, Requires: "k"})
		if s.trouble {
			s.disturbPoll(w, func() { go s.submit(second) })
		} else if !s.submit(second) {
			fail("the second job was not accepted")
		}
		s.await(second, 30*time.Second)
		time.Sleep(2 * time.Second)
	}
}

// disturbPoll lets calls to a worker be carried out 2 s and more late, from the next poll that takes note of ends on. submit hands a job in
// then. The worker crashes 1 s later and starts again under its id.
func (s *scene) disturbPoll(w *worker, submit func()) {
	var mu sync.Mutex
	calls := []lateCall{}
	late, noted := true, make(chan struct{})
	var once sync.Once
	hook := func(path string, b []byte) bool {
		mu.Lock()
		defer mu.Unlock()
		if !late {
			return true
		}
		var o orderBody
		_ = json.Unmarshal(b, &o)
		if len(calls) == 0 && (path != "/tarragonbank/hold" || o.Ack == 0) {
			return true
		}
		calls = append(calls, lateCall{path, b, time.Now()})
		s.rec.add("late: %s %s", path, b)
		once.Do(func() { close(noted) })
		return false
	}
	w.mu.Lock()
	w.hook = hook
	w.mu.Unlock()
	<-noted
	began := time.Now()
	s.rec.add("calls to worker %s are carried out late from now on", w.id)
	submit()
	time.Sleep(time.Second)
	s.rec.add("worker %s crashes", w.id)
	w.crash()
	time.Sleep(200 * time.Millisecond)
	m := s.machines[w.machine]
	s.reborn(m)
	s.rec.add("worker %s has started again under its id", w.id)
	next := m.w
	// Each call is carried out 2 s after its arrival, the first poll 2.6 s after it.
	carryOut := func(c lateCall) {
		status, answer := next.execute(nil, c.path, noWait(c.body))
		s.rec.add("carried out %.1f s late: %s %s: %d %v", time.Since(c.at).Seconds(), c.path, c.body, status, answer["reason"])
	}
	mu.Lock()
	l := append([]lateCall{}, calls...)
	mu.Unlock()
	for i, c := range l {
		d := 2 * time.Second
		if i == 0 {
			d = 2600 * time.Millisecond
		}
		time.AfterFunc(time.Until(c.at.Add(d)), func() { carryOut(c) })
	}
	time.Sleep(time.Until(began.Add(2700 * time.Millisecond)))
	mu.Lock()
	late = false
	rest := calls[len(l):]
	mu.Unlock()
	for _, c := range rest {
		time.AfterFunc(time.Until(c.at.Add(4*time.Second)), func() { carryOut(c) })
	}
	s.rec.add("calls to worker %s are carried out at once again", w.id)
}

// await waits until a job is completed.
func (s *scene) await(j *jobSpec, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if _, t := s.state(j); t == "completed" {
			s.rec.add("client: %s is completed", j.id)
			return true
		}
	}
	return false
}
