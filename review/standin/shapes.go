package main

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"sort"
	"strings"
	"syscall"
	"time"
)

func init() { cases["shapes"] = shapes }

// shapes hands in jobs of all shapes.
func shapes(s *site, trouble bool) {
	s.queues = []queue{{name: "a", prefix: "/a/", pool: "sawdesk", attempts: 3}, {name: "b", prefix: "/b/", pool: "roofdesk", attempts: 3, priority: 1}, {name: "v", prefix: "/v/", pool: "sawdesk", attempts: 3, advice: true}}
	s.services = []service{{name: "sawdesk"}, {name: "roofdesk"}, spare}
	s.addMachines("sawdesk", 6)
	s.addMachines("roofdesk", 6)
	s.addMachines("office", 2)
	s.good = func(step, w string) bool {
		h := fnv.New32a()
		h.Write([]byte(step + w))
		return h.Sum32()%3 != 0
	}
	s.start(3)
	r := rand.New(rand.NewSource(time.Now().UnixNano()))
	type sub struct {
		path    string
		lasting bool
		desc    string
	}
	l := []sub{}
	bodies := map[string]map[string]any{}
	for i := range 150 {
		id := fmt.Sprintf("%016x", 0xabc000+i)
		q := s.queues[r.Intn(3)]
		m := &jobModel{}
		steps := []map[string]any{}
		any1 := false
		for k := range 1 + r.Intn(4) {
			x := map[string]any{"count": 1 + r.Intn(6)}
			sm := &stepModel{time: time.Duration(50+r.Intn(900)) * time.Millisecond, advice: q.advice}
			if r.Intn(5) > 0 {
				sm.cpu = 500 + r.Intn(6000)
				x["cpu"] = sm.cpu
			}
			if r.Intn(5) > 0 {
				x["mem-mb"] = 100 + r.Intn(2000)
			}
			if r.Intn(4) > 0 {
				x["estimate-ms"] = sm.time.Milliseconds()
			}
			if k > 0 && r.Intn(2) == 0 {
				x["after"] = []int{r.Intn(k)}
			}
			for _, f := range []string{"gang", "colocated", "checkpointing", "speculative", "fills"} {
				if r.Intn(5) == 0 {
					x[f] = true
				}
			}
			if r.Intn(60) == 0 {
				x["long-running"] = true
				sm.lasting = true
				any1 = true
			}
			if r.Intn(5) == 0 {
				x["anti-affinity"] = 1 + r.Intn(2)
			}
			if r.Intn(5) == 0 {
				x["requires"] = "a"
			}
			if r.Intn(5) == 0 {
				x["data-rack"] = "r1-1"
			}
			if r.Intn(5) == 0 {
				x["may-miss"] = r.Intn(2)
			}
			if r.Intn(5) == 0 {
				x["target-ms"] = 100
			}
			if r.Intn(10) == 0 {
				sm.fails = func(y *run) bool { return y.number < 2 }
			}
			if x["fills"] == true {
				sm.cpu = 0
			}
			if x["gang"] == true && x["long-running"] == nil {
				sm.gang = x["count"].(int)
			}
			m.steps = append(m.steps, sm)
			steps = append(steps, x)
		}
		body := map[string]any{"task-spec": "x", "steps": steps}
		if r.Intn(5) == 0 {
			body["repeat-count"] = 1 + r.Intn(4)
			body["start-at-ms"] = time.Now().Add(time.Duration(r.Intn(3000)) * time.Millisecond).UnixMilli()
			body["interval-ms"] = 100 + r.Intn(1500)
		}
		s.mu.Lock()
		s.models[id] = m
		bodies[id] = body
		s.mu.Unlock()
		n, _ := s.entries[r.Intn(3)].call("POST", q.prefix+id, body)
		if n/100 == 2 {
			l = append(l, sub{q.prefix + id, any1, fmt.Sprint(body)})
		}
		if r.Intn(12) == 0 {
			s.entries[r.Intn(3)].call("DELETE", q.prefix+id, nil)
		}
		time.Sleep(150 * time.Millisecond)
		if trouble && i%20 == 19 {
			e := s.owner()
			if e == nil {
				continue
			}
			switch r.Intn(3) {
			case 0:
				e.kill()
				e.start()
			case 1:
				e.signal(syscall.SIGSTOP)
				go func() {
					time.Sleep(time.Duration(1000+r.Intn(4000)) * time.Millisecond)
					e.signal(syscall.SIGCONT)
				}()
			case 2:
				e.signal(syscall.SIGTERM)
				go func() {
					<-e.exited
					e.start()
				}()
			}
		}
		if trouble && i%15 == 7 {
			s.mu.Lock()
			var w *worker
			for _, x := range s.workers {
				w = x
				break
			}
			s.mu.Unlock()
			w.setCut(cutKind(1 + r.Intn(2)))
			time.AfterFunc(time.Duration(500+r.Intn(7000))*time.Millisecond, func() { w.setCut(connected) })
		}
	}
	time.Sleep(25 * time.Second)
	bad := 0
	for _, x := range l {
		_, b := s.entries[0].call("GET", x.path, nil)
		if !x.lasting && b != `{"state":"completed"}` && b != `{"state":"cancelled"}` {
			s.record("UNFINISHED %s %s %s", x.path, b, x.desc)
			bad++
		}
	}
	s.record("unfinished: %d of %d", bad, len(l))
	s.judge(bodies)
}

func (s *site) judge(bodies map[string]map[string]any) {
	s.mu.Lock()
	l := append([]taskEvent{}, s.events...)
	s.mu.Unlock()
	sort.SliceStable(l, func(i, j int) bool { return l[i].at < l[j].at })
	running := map[string]map[string]bool{}
	notedDone := map[string]bool{}
	done := map[string]bool{}
	perWorker := map[string]int{}
	for _, e := range l {
		id, step, _ := parseTask(e.task)
		b := bodies[id]
		x := b["steps"].([]map[string]any)[step]
		p := strings.Split(e.task, ".")
		stepName := strings.Join(p[:3], ".")
		run := fmt.Sprintf("%d@%s", e.run, e.worker)
		if e.kind == "alone" {
			s.record("CHECK GANG %v", e)
		}
		switch {
		case e.kind == "start":
			if running[e.task] == nil {
				running[e.task] = map[string]bool{}
			}
			if len(running[e.task]) > 0 && x["speculative"] == nil {
				s.record("CHECK TWICE %v beside %v", e, running[e.task])
			}
			if notedDone[e.task] && x["speculative"] == nil {
				s.record("CHECK TWICE after done noted %v", e)
			}
			if a, ok := x["after"].([]int); ok {
				for _, k := range a {
					y := b["steps"].([]map[string]any)[k]
					for i := range y["count"].(int) {
						if !done[fmt.Sprintf("%s.%s.%d.%d", p[0], p[1], k, i)] && y["gang"] == nil {
							s.record("CHECK ORDER %v before step %d", e, k)
						}
					}
				}
			}
			if c, ok := b["start-at-ms"].(int64); ok {
				occ := 0
				fmt.Sscan(p[1], &occ)
				due := c + int64(occ)*int64(b["interval-ms"].(int))
				if at := s.begun.Add(e.at).UnixMilli(); at < due-250 {
					s.record("CHECK ORDER early by %d ms: %v", due-at, e)
				}
			}
			running[e.task][run] = true
			perWorker[stepName+e.worker]++
			if a, ok := x["anti-affinity"].(int); ok && perWorker[stepName+e.worker] > a {
				s.record("CHECK ROUTE anti-affinity %v: %d", e, perWorker[stepName+e.worker])
			}
		case strings.HasPrefix(e.kind, "noted"):
			if e.kind == "noted done" {
				notedDone[e.task] = true
			}
		default:
			if running[e.task][run] {
				perWorker[stepName+e.worker]--
			}
			delete(running[e.task], run)
			if e.kind == "done" {
				done[e.task] = true
			}
		}
	}
	s.record("judged %d events", len(l))
}
