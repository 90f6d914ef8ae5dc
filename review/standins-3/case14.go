package main

import (
	"encoding/json"
	"strings"
	"sync"
	"time"
)

// A start that gets no answer is carried out late, by the next life of the worker. TROUBLE=0 carries out nothing late and lets the worker live.
func init() {
	cases["case14"] = func(s *scene) {
		s.standby = "spare"
		s.addMachines("cups", 10, size{CPU: 64000, Mem: 131072}, true)
		s.addMachines("carving", 9, size{CPU: 64000, Mem: 131072}, true)
		s.addMachines("spare", 2, size{CPU: 64000, Mem: 131072}, true)
		two := s.workers("cups")[3:5]
		for _, w := range two {
			w.mu.Lock()
			w.labels = append(w.labels, "k")
			w.mu.Unlock()
			w.register()
		}
		s.configure(1)
		s.addEntries(3, 284, 0.4)
		s.awaitReady(15 * time.Second)
		// A task that lasts on each of the two workers keeps their machines from being moved.
		if !s.submit(s.job("cups", stepSpec{Count: 2, CPU: 1000, Mem: 1000, Long: true, Requires: "k", Apart: 1})) {
			fail("the lasting job was not accepted")
		}
		time.Sleep(6 * time.Second)

		j := s.job("cups", stepSpec{Count: 1, CPU: 3500, Mem: 3600, Work: 4 * time.Second, Requires: "k"})
		if s.trouble {
			var once sync.Once
			for _, w := range two {
				s.delayStarts(w, j, func() { once.Do(func() { go s.restart(w) }) })
			}
		}
		if !s.submit(j) {
			fail("the job was not accepted")
		}
		s.await(j, 30*time.Second)
		time.Sleep(time.Second)
	}
}

// delayStarts lets the first run of a job's task be started 2 s and more late on a worker, without an answer, by the life of the worker of that time.
func (s *scene) delayStarts(w *worker, j *jobSpec, captured func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hook = func(path string, b []byte) bool {
		var o orderBody
		_ = json.Unmarshal(b, &o)
		if path != "/tarragonbank/run-start" || !strings.HasPrefix(o.Task, j.id) || o.Run != 1 {
			return true
		}
		s.rec.add("late: %s %s at worker %s", path, b, w.id)
		captured()
		at := time.Now()
		time.AfterFunc(2030*time.Millisecond, func() {
			s.mu.Lock()
			next := s.machines[w.machine].w
			s.mu.Unlock()
			if next == nil {
				s.rec.add("lost: %s %s", path, b)
				return
			}
			status, answer := next.execute(nil, path, b)
			s.rec.add("carried out %.2f s late: %s %s: %d %v", time.Since(at).Seconds(), path, b, status, answer["reason"])
		})
		return false
	}
}

// restart crashes a worker 0.3 s from now. It starts again under its id 1.7 s later and writes to the store 0.4 s after that.
func (s *scene) restart(w *worker) {
	time.Sleep(300 * time.Millisecond)
	s.rec.add("worker %s (%s) crashes", w.id, w.machine)
	w.crash()
	s.mu.Lock()
	m := s.machines[w.machine]
	m.w, m.state = nil, "down"
	s.mu.Unlock()
	time.Sleep(1700 * time.Millisecond)
	l, err := relisten(w.addr)
	if err != nil {
		fail("%v", err)
	}
	n := &worker{site: s.site, id: w.id, machine: w.machine, pool: w.pool, zone: w.zone, rack: w.rack, labels: w.labels, cap: w.cap, guards: w.guards, lst: l, addr: w.addr, firstBeat: 400 * time.Millisecond}
	n.start()
	s.mu.Lock()
	m.w, m.state = n, "up"
	s.mu.Unlock()
	s.rec.add("worker %s (%s) has started again under its id", n.id, n.machine)
}
