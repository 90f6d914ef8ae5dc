package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playPace: one order on the pace of a task that fills gets no answer and is carried out 10 s later, after newer ones. Judges HARM: a
// serving task is over its target for harmTime on end, and would be under it without the task that fills beside it, which works on.
func playPace(s *site, trouble bool) (bool, error) {
	const (
		server  = "00000000000000b1"
		filler  = "00000000000000b2"
		target  = 100
		late    = 10 * time.Second
		calm    = 10
		busy    = 75
		perPace = 45
	)
	var lock sync.Mutex
	base, delayed := calm, false
	var doneAt time.Time
	// tail returns the tail of the serving task beside the filling task.
	tail := func(w *worker) (int, int) {
		for _, x := range w.runs {
			if strings.HasPrefix(x.task, filler) && time.Since(x.startedAt) > startupTime {
				return base + perPace*x.pace/100, x.pace
			}
		}
		return base, 0
	}
	s.hooks.figure = func(w *worker, r *run) int {
		lock.Lock()
		defer lock.Unlock()
		if strings.HasPrefix(r.task, server) {
			n, _ := tail(w)
			return n
		}
		return 4000 * r.pace / 100
	}
	s.hooks.delay = func(kind string, o orderBody) time.Duration {
		lock.Lock()
		defer lock.Unlock()
		if !trouble || delayed || kind != "pace" || o.Percent < 70 {
			return 0
		}
		delayed = true
		return late
	}
	s.hooks.delayedDone = func() {
		lock.Lock()
		defer lock.Unlock()
		doneAt = time.Now()
	}
	m := s.addMachine("m-cups-1", pool, "njiro", "r1-1")
	s.addMachine("m-ledger-1", standbyPool, "njiro", "r1-2")
	if err := s.start(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if !s.submit(server, []map[string]any{{"count": 1, "cpu": 8000, "mem-mb": 1024, "estimate-ms": 700, "long-running": true, "image": "serve", "target-ms": target}}, step{}) ||
		!s.submit(filler, []map[string]any{{"count": 1, "cpu": 4000, "mem-mb": 1024, "estimate-ms": 700, "long-running": true, "image": "fill", "fills": true}}, step{}) {
		return false, fmt.Errorf("a job was not accepted")
	}
	setBase := func(n int) {
		lock.Lock()
		base = n
		lock.Unlock()
		s.record.add("clients: the serving task alone has a tail of %d ms now, its target is %d ms", n, target)
	}
	time.Sleep(3 * time.Second)
	setBase(busy)
	time.Sleep(4 * time.Second)
	setBase(calm)
	time.Sleep(8 * time.Second)
	setBase(busy)
	violated, w := false, m.worker
	var overSince, shown time.Time
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		// The same order of locks as in a call of the worker.
		w.lock.Lock()
		lock.Lock()
		n, pace := tail(w)
		since := doneAt
		lock.Unlock()
		w.lock.Unlock()
		if time.Since(shown) > time.Second {
			shown = time.Now()
			s.record.add("worker %s: the serving task's tail is %d ms, the filling task's pace %d", w.id, n, pace)
		}
		// Until contactTime after the delayed order, the disruption is near.
		calmNow := !trouble || !since.IsZero() && time.Since(since) > contactTime
		if n <= target || pace == 0 || !calmNow {
			overSince = time.Time{}
			continue
		}
		if overSince.IsZero() {
			overSince = time.Now()
		}
		if !violated && time.Since(overSince) >= harmTime {
			violated = true
			s.record.add("HARM: the serving task has been over its target for %v on end, with no disruption near; alone it has %d ms", harmTime, busy)
		}
	}
	if trouble && doneAt.IsZero() {
		return false, fmt.Errorf("no order on the pace was delayed")
	}
	return violated, nil
}
