package main

import "time"

// A job with a wide step, and one worker that turns slow while it runs. TROUBLE=0 leaves the worker as it is.
func init() {
	cases["case12"] = func(s *scene) {
		s.standby = "spare"
		s.addMachines("cups", 9, size{CPU: 64000, Mem: 131072}, true)
		s.addMachines("carving", 9, size{CPU: 64000, Mem: 131072}, true)
		s.addMachines("spare", 2, size{CPU: 64000, Mem: 131072}, true)
		s.checker.quiet = true
		s.configure(1)
		s.addEntries(3, 284, 0.4)
		s.awaitReady(15 * time.Second)

		// 4,000 tasks of 0.1 cores and 6 s: 400 of the 576 cores of the pool.
		wide := s.job("cups", stepSpec{Count: 4000, CPU: 100, Mem: 100, Work: 6 * time.Second})
		if !s.submit(wide) {
			fail("the wide job was not accepted")
		}
		accepted := []*jobSpec{wide}
		for range 5 {
			j := s.job("carving", stepSpec{Count: 8, CPU: 2000, Mem: 500, Work: 2 * time.Second}, stepSpec{Count: 8, CPU: 2000, Mem: 500, Work: time.Second, After: []int{0}})
			if !s.submit(j) {
				fail("an ordinary job was not accepted")
			}
			accepted = append(accepted, j)
		}
		time.Sleep(time.Second)
		if s.trouble {
			slow := s.busiest("cups")
			s.rec.add("worker %s works 6.5 times as long for 7 s", slow.id)
			slow.setSlow(6.5)
			time.AfterFunc(7*time.Second, func() {
				slow.setSlow(0)
				s.rec.add("worker %s works as before", slow.id)
			})
		}
		s.rec.add("the traffic ends")
		for end := time.Now().Add(finish); time.Now().Before(end); time.Sleep(time.Second) {
			s.ask(accepted[1])
		}
		// Each accepted job is asked for at each machine in turn. No answer in time for 10 s on end breaks the rule.
		for _, j := range accepted {
			for end := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
				if s.ask(j) {
					break
				}
				if time.Now().After(end) {
					s.checker.breach("LOST: no machine answers a GET for the accepted job %s of %s in time, for 10 s on end", j.id, j.queue)
					break
				}
			}
			if time.Since(s.rec.began) > 80*time.Second {
				break
			}
		}
	}
}

// ask asks each machine for a job as a client that waits for 3 s, and reports whether one of them has answered.
func (s *scene) ask(j *jobSpec) bool {
	for _, e := range s.entries {
		began := time.Now()
		n, b := s.call(e, "GET", "/"+j.queue+"/"+j.id, nil, 3*time.Second)
		s.rec.add("client: GET %s at %s: %d %s after %d ms", j.id, e.name, n, b, time.Since(began).Milliseconds())
		if n == 200 || n == 410 {
			return true
		}
	}
	return false
}

// busiest returns the worker of a pool with the most runs.
func (s *scene) busiest(pool string) *worker {
	var x *worker
	most := -1
	for _, w := range s.workers(pool) {
		w.mu.Lock()
		n := len(w.runs)
		w.mu.Unlock()
		if n > most {
			x, most = w, n
		}
	}
	return x
}
