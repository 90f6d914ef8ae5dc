package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playCrashes: two workers crash, one after the other, shortly after they have begun the same task of a job that lasts. Judges AVAIL:
// a stop that ends a task at work while as many others of its step are away as may be.
func playCrashes(s *site, trouble bool) (bool, error) {
	const (
		id      = "00000000000000a1"
		mayMiss = 1
		crashes = 2
	)
	var lock sync.Mutex
	var crashed int
	var victim string
	// away is when a task of the step was ended by an order, or when its run was lost by a crash.
	stopped, lost := map[string]time.Time{}, map[string]time.Time{}
	violated, cancelled := false, false
	s.hooks.started = func(w *worker, r *run) {
		lock.Lock()
		defer lock.Unlock()
		if !trouble || crashed >= crashes || victim != "" && r.task != victim || victim == "" && !strings.HasSuffix(r.task, ".2") {
			return
		}
		victim = r.task
		crashed++
		time.AfterFunc(200*time.Millisecond, func() {
			lock.Lock()
			lost[r.task] = time.Now()
			lock.Unlock()
			s.crash(w)
		})
	}
	s.hooks.stopOrdered = func(_ *worker, r *run, atWork bool) {
		lock.Lock()
		defer lock.Unlock()
		others := 0
		for _, at := range stopped {
			if time.Since(at) < noticeTime {
				others++
			}
		}
		for t, at := range lost {
			if _, ordered := stopped[t]; !ordered && t != r.task && time.Since(at) > noticeTime {
				others++
			}
		}
		if atWork && others >= mayMiss && !cancelled {
			violated = true
			s.record.add("AVAIL: a stop ends %s at work; %d others of its step are away, and %d may be", r.task, others, mayMiss)
		}
		if atWork {
			stopped[r.task] = time.Now()
		}
	}
	for i := range 8 {
		s.addMachine(fmt.Sprintf("m-cups-%d", i+1), pool, "njiro", fmt.Sprintf("r1-%d", i/4+1))
	}
	s.addMachine("m-ledger-1", standbyPool, "njiro", "r1-9")
	if err := s.start(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if !s.submit(id, []map[string]any{{"count": 3, "cpu": 4000, "mem-mb": 1024, "estimate-ms": 700, "long-running": true, "anti-affinity": 1, "may-miss": mayMiss}}, step{}) {
		return false, fmt.Errorf("the job was not accepted")
	}
	for range 20 {
		time.Sleep(time.Second)
		s.request(s.entries[0], "GET", prefix+id, nil)
	}
	lock.Lock()
	defer lock.Unlock()
	if trouble && crashed < crashes {
		return false, fmt.Errorf("only %d workers crashed", crashed)
	}
	return violated, nil
}
