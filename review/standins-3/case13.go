package main

import (
	"sync"
	"time"
)

// A sound job whose worker crashes twice. TROUBLE=0 lets the workers live.
func init() {
	cases["case13"] = func(s *scene) {
		s.standby = "spare"
		s.addMachines("cups", 9, size{CPU: 64000, Mem: 131072}, true)
		s.addMachines("spare", 2, size{CPU: 64000, Mem: 131072}, true)
		s.configure(1)
		s.addEntries(3, 284, 0.4)
		s.awaitReady(15 * time.Second)
		time.Sleep(2 * time.Second)

		j := s.job("cups", stepSpec{Count: 4, CPU: 3500, Mem: 3600, Work: time.Second})
		var once [2]sync.Once
		s.checker.onStart = func(w *worker, r *run, _ orderBody, _ bool) {
			if id, _, _, _ := stepOf(r.task); !s.trouble || id != j.id || r.number > len(once) {
				return
			}
			once[r.number-1].Do(func() {
				time.AfterFunc(40*time.Millisecond, func() { s.crash(w, 2*time.Second) })
			})
		}
		if !s.submit(j) {
			fail("the job was not accepted")
		}
		for range 60 {
			time.Sleep(250 * time.Millisecond)
			n, t := s.state(j)
			s.rec.add("client: GET %s: %d %s", j.id, n, t)
			if t == "completed" {
				return
			}
			if t == "failed" {
				s.checker.breach("LOST: the accepted job %s is shown as failed, and none of its runs has ended failed", j.id)
				return
			}
		}
	}
}

// crash ends a worker without a word. Another worker starts on its machine some time later.
func (s *site) crash(w *worker, down time.Duration) {
	s.rec.add("worker %s (%s) crashes", w.id, w.machine)
	w.crash()
	s.mu.Lock()
	m := s.machines[w.machine]
	m.w = nil
	s.mu.Unlock()
	time.AfterFunc(down, func() {
		s.store.drop("servers/" + w.id)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.bootLocked(m)
		s.rec.add("worker %s starts on %s", m.w.id, m.name)
	})
}
