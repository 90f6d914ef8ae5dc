package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// playReborn: a worker falls silent and starts again under its ID, three times, 9 s apart, while jobs come. Judges TWICE: two runs of a task at the
// same time on workers that are up.
func playReborn(s *site, trouble bool) (bool, error) {
	const (
		cycles   = 3
		interval = 9 * time.Second
		duration = 500 * time.Millisecond
	)
	// LAG_MS and SILENCE_MS try other times than those of the case.
	lag := 500 * time.Millisecond
	if n, err := strconv.Atoi(os.Getenv("LAG_MS")); err == nil {
		lag = time.Duration(n) * time.Millisecond
	}
	silence := 750 * time.Millisecond
	if n, err := strconv.Atoi(os.Getenv("SILENCE_MS")); err == nil {
		silence = time.Duration(n) * time.Millisecond
	}
	var lock sync.Mutex
	running := map[string]map[*worker]int{}
	violated := 0
	s.hooks.started = func(w *worker, r *run) {
		lock.Lock()
		defer lock.Unlock()
		for x, n := range running[r.task] {
			if x != w && !x.silent.Load() {
				violated++
				s.record.add("TWICE: %s run %d starts on %s (%s) while run %d runs on %s (%s)", r.task, r.number, w.id, w.machine.name, n, x.id, x.machine.name)
			}
		}
		if running[r.task] == nil {
			running[r.task] = map[*worker]int{}
		}
		running[r.task][w] = r.number
	}
	s.hooks.ended = func(w *worker, r *run, _ string) {
		lock.Lock()
		defer lock.Unlock()
		delete(running[r.task], w)
	}
	for i := range 8 {
		s.addMachine(fmt.Sprintf("m-cups-%d", i+1), pool, "njiro", fmt.Sprintf("r1-%d", i/4+1))
	}
	if err := s.start(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var jobs sync.WaitGroup
	jobs.Add(1)
	go func() {
		defer jobs.Done()
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
			id := fmt.Sprintf("%016x", 0xd000+n)
			s.setStep(id, 0, step{duration})
			go s.request(s.entries[n%len(s.entries)], "POST", prefix+id, map[string]any{"task-spec": "x", "steps": []map[string]any{{"count": 1, "cpu": 4000, "mem-mb": 512, "estimate-ms": duration.Milliseconds()}}})
		}
	}()
	time.Sleep(4 * time.Second)
	for range cycles {
		began := time.Now()
		if trouble {
			w := s.busiest()
			w.fallSilent(silence, lag)
		}
		time.Sleep(interval - time.Since(began))
	}
	close(stop)
	jobs.Wait()
	lock.Lock()
	defer lock.Unlock()
	s.record.add("%d starts of a task that ran elsewhere", violated)
	return violated > 0, nil
}

// busiest returns the worker that runs the most tasks: the next ones are placed there too.
func (s *site) busiest() *worker {
	s.lock.Lock()
	l := []*worker{}
	for _, m := range s.machines {
		if m.worker != nil {
			l = append(l, m.worker)
		}
	}
	s.lock.Unlock()
	var found *worker
	most := -1
	for _, w := range l {
		w.lock.Lock()
		n := len(w.runs)
		w.lock.Unlock()
		if n > most {
			found, most = w, n
		}
	}
	return found
}
