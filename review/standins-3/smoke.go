package main

import "time"

// A quiet deployment completes a job of two steps.
func init() {
	cases["smoke"] = func(s *scene) {
		s.standby = "spare"
		s.addMachines("cups", 3, size{CPU: 64000, Mem: 131072}, true)
		s.addMachines("spare", 2, size{CPU: 64000, Mem: 131072}, true)
		s.configure(1)
		s.addEntries(3, 284, 0.4)
		s.awaitReady(15 * time.Second)
		j := s.job("cups", stepSpec{Count: 5, CPU: 1000, Mem: 100, Work: 500 * time.Millisecond}, stepSpec{Count: 3, CPU: 1000, Mem: 10, Work: 300 * time.Millisecond, After: []int{0}})
		if !s.submit(j) || !s.await(j, 10*time.Second) {
			s.checker.breach("LOST: %s is not completed", j.id)
		}
	}
}
