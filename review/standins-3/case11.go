package main

import "time"

// finish is how long after the end of the traffic accepted jobs are asked for (finish_s of the settings).
const finish = 14 * time.Second

// An accepted job whose 10 times fall due while all machines are without power. TROUBLE=0 leaves the machines alone.
func init() {
	cases["case11"] = func(s *scene) {
		s.standby = "spare"
		s.addMachines("cups", 9, size{CPU: 64000, Mem: 131072}, true)
		s.addMachines("carving", 9, size{CPU: 64000, Mem: 131072}, true)
		s.addMachines("spare", 2, size{CPU: 64000, Mem: 131072}, true)
		s.checker.quiet = true
		s.configure(1)
		s.addEntries(3, 284, 0.4)
		s.awaitReady(15 * time.Second)

		// 4,000 small tasks, 4 cores together, 10 times, every 900 ms. All 10 together take 40 of the 576 cores of the pool.
		timed := s.job("cups", stepSpec{Count: 4000, CPU: 1, Mem: 1, Work: 400 * time.Millisecond})
		timed.repeat, timed.startAt, timed.interval = 10, time.Now().Add(3*time.Second), 900*time.Millisecond
		if !s.submit(timed) {
			fail("the timed job was not accepted")
		}
		accepted := []*jobSpec{timed}
		for range 5 {
			j := s.job("carving", stepSpec{Count: 8, CPU: 2000, Mem: 500, Work: 2 * time.Second}, stepSpec{Count: 8, CPU: 2000, Mem: 500, Work: time.Second, After: []int{0}})
			if !s.submit(j) {
				fail("an ordinary job was not accepted")
			}
			accepted = append(accepted, j)
		}
		time.Sleep(time.Until(timed.startAt.Add(-500 * time.Millisecond)))
		if s.trouble {
			s.rec.add("all machines lose power for 9.5 s")
			for _, e := range s.entries {
				e.kill()
			}
		}
		time.Sleep(9500 * time.Millisecond)
		if s.trouble {
			for _, e := range s.entries {
				e.start()
			}
			s.rec.add("the machines are back")
		}
		// Traffic goes on for 12 s (recovery-s), and is over then.
		time.Sleep(12 * time.Second)
		later := 0
		for range 5 {
			j := s.job("carving", stepSpec{Count: 8, CPU: 2000, Mem: 500, Work: time.Second})
			if s.submit(j) {
				accepted = append(accepted, j)
				later++
			}
		}
		s.rec.add("of 5 jobs sent 12 s and more after the machines are back %d are accepted", later)
		time.Sleep(finish)
		s.judge(accepted, 25*time.Second)
	}
}

// judge asks for accepted jobs. A job breaks LOST if it isn't known, or if for 3 s on end it has nothing running though it hasn't ended:
// the callers of judge see to it that there is room for its tasks. It waits for the others to end, for the given time at most.
func (s *scene) judge(accepted []*jobSpec, limit time.Duration) {
	idle := map[string]time.Time{}
	open := accepted
	for end := time.Now().Add(limit); len(open) > 0 && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		l := []*jobSpec{}
		for _, j := range open {
			status, state := s.state(j)
			switch {
			case state == "completed":
				s.rec.add("client: %s is completed", j.id)
				continue
			case status == 410:
				s.checker.breach("LOST: GET for the accepted job %s is answered 410", j.id)
				continue
			case s.checker.running(j.id) > 0:
				delete(idle, j.id)
			case idle[j.id].IsZero():
				idle[j.id] = time.Now()
			case time.Since(idle[j.id]) > 3*time.Second:
				s.checker.breach("LOST: the accepted job %s of %s (%d %q) has had nothing running for 3 s, %d of its runs have started", j.id, j.queue, status, state, s.checker.countStarts(j.id))
				continue
			}
			l = append(l, j)
		}
		open = l
	}
	for _, j := range open {
		s.rec.add("client: %s has not ended", j.id)
	}
}
