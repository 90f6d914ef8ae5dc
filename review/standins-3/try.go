package main

import "time"

func init() {
	cases["smoke"] = func(s *scene) {
		s.standby = "spare"
		s.addMachines("cups", 3, size{CPU: 64000, Mem: 131072}, true)
		s.addMachines("spare", 2, size{CPU: 64000, Mem: 131072}, true)
		s.configure(1)
		s.addEntries(3, 284, 0.4)
		s.awaitReady(15 * time.Second)
		j := s.job("cups", stepSpec{Count: 5, CPU: 1000, Mem: 100, Work: 500 * time.Millisecond}, stepSpec{Count: 3, CPU: 1000, Mem: 10, Work: 300 * time.Millisecond, After: []int{0}})
		s.submit(j)
		for range 40 {
			n, t := s.state(j)
			s.rec.add("state %d %s", n, t)
			if t == "completed" {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.checker.breach("not completed")
	}
}
