package main

import (
	"fmt"
	"strings"
	"time"
)

// playUpkeep: four of six machines have their upkeep, and their workers start again under the IDs that they had. Then a job that lasts is
// handed in, whose four tasks need a machine each. Judges LOST: a task that lasts has no run though its turn has come and there is
// capacity for it.
func playUpkeep(s *site, trouble bool) (bool, error) {
	const (
		id    = "00000000000000c1"
		tasks = 4
		// lostTime is the 3 s of the rule and the 4 s before them, in which nothing is disturbed.
		lostTime = 7 * time.Second
	)
	s.keepsID = trouble
	names := []string{}
	for i := range 6 {
		m := s.addMachine(fmt.Sprintf("m-cups-%d", i+1), pool, "njiro", fmt.Sprintf("r1-%d", i/4+1))
		if len(names) < tasks {
			names = append(names, m.name)
		}
	}
	if err := s.start(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	s.record.add("operator: wave 1 is due: %s", strings.Join(names, " "))
	s.store.set("op/wave/1", map[string]any{"wave": 1, "machines": names, "deadline-s": 40, "cap": 4})
	time.Sleep(15 * time.Second)
	s.lock.Lock()
	for _, n := range names {
		if m := s.machines[n]; !m.upkeeps[1] || m.worker == nil {
			s.lock.Unlock()
			return false, fmt.Errorf("machine %s has not had its upkeep", n)
		}
	}
	s.lock.Unlock()
	s.store.lock.Lock()
	s.record.add("status of the wave: %s", s.store.items["status/wave/1"].Value)
	s.store.lock.Unlock()
	if !s.submit(id, []map[string]any{{"count": tasks, "cpu": 4000, "mem-mb": 1024, "estimate-ms": 700, "long-running": true, "anti-affinity": 1}}, step{}) {
		return false, fmt.Errorf("the job was not accepted")
	}
	accepted, violated := time.Now(), false
	last := map[string]time.Time{}
	for end := accepted.Add(40 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		runs, workers := s.runs()
		for i := range tasks {
			k := fmt.Sprintf("%s.0.0.%d", id, i)
			if runs[k] || last[k].IsZero() {
				last[k] = time.Now()
			}
			if time.Since(last[k]) > lostTime && !violated {
				violated = true
				s.record.add("LOST: %s has had no run for %v; %d workers of the pool are up, and %d tasks run on them", k, lostTime, workers, len(runs))
			}
		}
	}
	runs, _ := s.runs()
	s.record.add("at the end, %d of %d tasks run", len(runs), tasks)
	return violated, nil
}

// runs returns the tasks that run now, and the number of workers of the pool that are up.
func (s *site) runs() (map[string]bool, int) {
	s.lock.Lock()
	l := []*worker{}
	for _, m := range s.machines {
		if m.worker != nil && m.pool == pool {
			l = append(l, m.worker)
		}
	}
	s.lock.Unlock()
	runs := map[string]bool{}
	for _, w := range l {
		w.lock.Lock()
		for k := range w.runs {
			runs[k] = true
		}
		w.lock.Unlock()
	}
	return runs, len(l)
}
