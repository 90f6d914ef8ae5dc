package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// cases are the scripted cases by name. A case plays with or without its disruption.
var cases = map[string]func(s *site, trouble bool){
	"declared": declared, "advice": adviceOfMany, "dropped": dropped, "harm": harm, "hopeless": hopeless, "lasting": lasting, "reborn": reborn,
	"gangs": hopelessGangs, "unadvised": unadvised,
}

// spare is the pool of the machines that are switched off.
var spare = service{name: "office", standby: true}

func finite(n, cpu int, estimate time.Duration) map[string]any {
	return map[string]any{"count": n, "cpu": cpu, "mem-mb": 500, "estimate-ms": estimate.Milliseconds()}
}

func lastingStep(n, cpu, apart int) map[string]any {
	return map[string]any{"count": n, "cpu": cpu, "mem-mb": 500, "estimate-ms": 1000, "long-running": true, "anti-affinity": apart}
}

// ordinaryJobs is the number of ordinary jobs beside one that is long or can never be done: one in twenty, as on the sites' days.
const ordinaryJobs = 19

// submitOrdinary hands in n ordinary jobs and waits until they are completed.
func (s *site) submitOrdinary(prefix string, n int) {
	for i := range n {
		id := fmt.Sprintf("%016x", 0xc0de00+i)
		m := &jobModel{steps: []*stepModel{{cpu: 3500, time: 400 * time.Millisecond}}}
		s.submit(prefix, id, m, []map[string]any{finite(2, 3500, 400*time.Millisecond)})
		time.Sleep(50 * time.Millisecond)
	}
	for i := range n {
		path := fmt.Sprintf("%s%016x", prefix, 0xc0de00+i)
		for k := 0; ; k++ {
			if _, x := s.entries[0].call("GET", path, nil); x == `{"state":"completed"}` {
				break
			}
			if k > 100 {
				s.fatal("an ordinary job is not completed in time")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// declared: the tasks of one job in twenty take ten times as long as the job declares.
func declared(s *site, trouble bool) {
	s.queues = []queue{{name: "roofnest", prefix: "/nest/", pool: "roofdesk", priority: 1, attempts: 2}}
	s.services = []service{{name: "roofdesk"}, spare}
	s.addMachines("roofdesk", 3)
	s.start(3)
	s.submitOrdinary("/nest/", ordinaryJobs)
	const id = "0000000000000107"
	const estimate = 40 * time.Second
	m := &jobModel{steps: []*stepModel{{cpu: 7700, time: estimate}}}
	if trouble {
		m.steps[0].time = 10 * estimate
	}
	step := finite(3, 7700, estimate)
	step["anti-affinity"] = 1
	s.submit("/nest/", id, m, []map[string]any{step})
	// The traffic ends here. The rule looks from finish_s after it.
	from := s.now() + 14*time.Second
	end := s.now() + 75*time.Second
	for s.now() < end {
		time.Sleep(time.Second)
		if _, x := s.entries[0].call("GET", "/nest/"+id, nil); x == `{"state":"completed"}` {
			end = s.now() - 2*time.Second
		}
	}
	d, at := s.gap(id, from, end)
	s.record("the job's tasks were started %d times; longest time without any run of the job: %v, from %v", s.starts(id), d, at)
	if d > 3*time.Second {
		s.violated("LOST: an accepted job had nothing running for %v while all workers were idle; none of its tasks got further than a few seconds", d)
	}
}

// adviceOfMany: workers are added to a pool whose queue needs advice, until one call cannot name them all.
func adviceOfMany(s *site, trouble bool) {
	s.queues = []queue{{name: "palletplan", prefix: "/plan/", pool: "shipdesk", priority: 1, attempts: 2, advice: true}}
	s.services = []service{{name: "shipdesk"}}
	// The pool is as large as on the site's grown deployment; the share that is added is that of the site's trouble.
	const first, added, allowed = 85, 21, 5
	s.addMachines("shipdesk", first)
	// The policy of the queue allows the five workers with the highest IDs. Those that are added get lower ones.
	s.nextID = 1000
	s.good = func(_, w string) bool { return w > fmt.Sprintf("i-%04d", 1000+first-allowed) }
	s.start(3)
	if trouble {
		s.record("%d empty workers are added to the %d", added, first)
		s.mu.Lock()
		s.nextID = 0
		l := len(s.machines)
		s.addMachines("shipdesk", added)
		for _, m := range s.machines[l:] {
			s.boot(m)
		}
		s.mu.Unlock()
	}
	time.Sleep(6 * time.Second)
	const id = "00000000000000e5"
	m := &jobModel{steps: []*stepModel{{cpu: 3500, time: time.Second, advice: true}}}
	s.submit("/plan/", id, m, []map[string]any{finite(2, 3500, time.Second)})
	from := s.now() + 14*time.Second
	time.Sleep(30 * time.Second)
	if n := s.starts(id); n == 0 {
		d, _ := s.gap(id, from, s.now())
		s.violated("LOST: an accepted job has had nothing running for %v from finish_s after the end of the traffic, with %d idle workers that may run it", d, allowed)
	}
}

// dropped: the operator drops a queue while a job of it that can never be done is under way.
func dropped(s *site, trouble bool) {
	const attempts = 2
	s.queues = []queue{{name: "roofnest", prefix: "/nest/", pool: "roofdesk", attempts: attempts}, {name: "dryledger", prefix: "/dry/", pool: "roofdesk", attempts: 4}}
	s.services = []service{{name: "roofdesk"}, spare}
	s.addMachines("roofdesk", 9)
	s.start(3)
	s.submitOrdinary("/nest/", ordinaryJobs)
	const id = "00000000000000d4"
	m := &jobModel{steps: []*stepModel{{cpu: 9900, time: 3 * time.Second, fails: func(*run) bool { return true }}}}
	s.submit("/nest/", id, m, []map[string]any{finite(1, 9900, 3*time.Second)})
	time.Sleep(time.Second)
	if trouble {
		s.queues = s.queues[1:]
		s.configure()
	}
	time.Sleep(20 * time.Second)
	s.judgeBudget(id+".0.0.0", attempts)
}

// judgeBudget checks that a task is not started after so many of its runs have ended failed and were taken note of.
func (s *site) judgeBudget(task string, attempts int) {
	noted := s.of(task, "noted failed")
	failed := s.of(task, "failed")
	for _, e := range s.of(task, "start") {
		n := 0
		for _, f := range failed {
			if f.at < e.at {
				n++
			}
		}
		if n >= attempts && len(noted) >= n {
			s.violated("BUDGET: run %d of %s was started after %d runs had ended failed; retry-attempts is %d", e.run, task, n, attempts)
		}
	}
}

// hopelessGangs: one job in twenty is a gang that can never be done. Each of its tasks fails by itself at the end of its work.
func hopelessGangs(s *site, trouble bool) {
	const attempts, members, gangs = 2, 24, 3
	s.queues = []queue{{name: "roofnest", prefix: "/nest/", pool: "roofdesk", attempts: attempts}}
	s.services = []service{{name: "roofdesk"}, spare}
	s.addMachines("roofdesk", 9)
	s.start(3)
	s.submitOrdinary("/nest/", gangs*ordinaryJobs)
	ids := []string{}
	for k := range gangs {
		id := fmt.Sprintf("%016x", 0xd80+k)
		ids = append(ids, id)
		m := &jobModel{steps: []*stepModel{{cpu: 3500, time: 1700 * time.Millisecond, gang: members}}}
		if trouble {
			m.steps[0].fails = func(*run) bool { return true }
		}
		step := finite(members, 3500, 1700*time.Millisecond)
		step["gang"] = true
		s.submit("/nest/", id, m, []map[string]any{step})
	}
	time.Sleep(25 * time.Second)
	for _, id := range ids {
		if s.starts(id) < members {
			s.fatal("gang %s was not started", id)
		}
		for i := range members {
			s.judgeBudget(fmt.Sprintf("%s.0.0.%d", id, i), attempts)
		}
	}
}

// unadvised: the operator drops a queue with advice while the first step of an accepted job of it runs.
func unadvised(s *site, trouble bool) {
	const tasks = 4
	s.queues = []queue{{name: "palletplan", prefix: "/plan/", pool: "shipdesk", priority: 1, attempts: 2, advice: true}, {name: "orderbook", prefix: "/order/", pool: "shipdesk", attempts: 4}}
	s.services = []service{{name: "shipdesk"}, spare}
	s.addMachines("shipdesk", 12)
	s.start(3)
	const id = "00000000000000d7"
	const estimate = 1700 * time.Millisecond
	m := &jobModel{steps: []*stepModel{{cpu: 18000, time: estimate, advice: true}, {cpu: 18000, time: estimate, advice: true}}}
	first, second := finite(tasks, 18000, estimate), finite(tasks, 18000, estimate)
	second["after"] = []int{0}
	s.submit("/plan/", id, m, []map[string]any{first, second})
	time.Sleep(time.Second)
	if trouble {
		s.queues = s.queues[1:]
		s.configure()
	}
	from := s.now() + 14*time.Second
	time.Sleep(34 * time.Second)
	s.mu.Lock()
	s.line("workers have rejected %d starts for their ticket", s.rejections)
	s.mu.Unlock()
	done := 0
	for i := range tasks {
		done += len(s.of(fmt.Sprintf("%s.0.1.%d", id, i), "done"))
	}
	if done < tasks {
		d, _ := s.gap(id, from, s.now())
		s.violated("LOST: an accepted job has had nothing running for %v from finish_s after the end of the traffic, while all workers are idle; %d of the %d tasks of its second step are done", d, done, tasks)
	}
}

const (
	// target is the limit of the tail of the serving tasks, in milliseconds.
	target = 100
	// harmTime and contactTime are harm-ms and contact-ms of the settings.
	harmTime    = 4 * time.Second
	contactTime = 3 * time.Second
)

// harm: one worker in six is cut off one way while the tasks that fill begin to disturb those that serve.
func harm(s *site, trouble bool) {
	const n = 6
	s.queues = []queue{{name: "stockwatch", prefix: "/cure/", pool: "sawdesk", attempts: 4}}
	s.services = []service{{name: "sawdesk"}, spare}
	s.addMachines("sawdesk", n)
	s.start(3)
	const id = "00000000000000f6"
	m := &jobModel{steps: []*stepModel{{cpu: 5300, lasting: true, serves: true}, {cpu: 5300, lasting: true, fills: true}}}
	serving, filling := lastingStep(n, 5300, 1), lastingStep(n, 5300, 1)
	serving["target-ms"], serving["image"], filling["fills"], filling["image"] = target, "watch", true, "dry"
	s.submit("/cure/", id, m, []map[string]any{serving, filling})
	time.Sleep(8 * time.Second)
	w := s.running(id + ".1.0")
	if w == nil {
		w = s.running(id + ".0.1.0")
	}
	if w == nil {
		s.fatal("a task that fills does not run")
	}
	if trouble {
		w.setCut(cutOneWay)
	}
	s.setDisturbance(100)
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		w.setCut(connected)
	}
	healed := s.now()
	var since time.Duration
	for s.now() < healed+20*time.Second {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		ms, filled := w.tail()
		w.mu.Unlock()
		now := s.now()
		switch {
		case ms <= target || !filled || now < healed+contactTime:
			since = 0
		case since == 0:
			since = now
		case now-since > harmTime:
			s.violated("HARM: the serving task on %s is at %d ms, over its target of %d ms, for %v on end and until %v after the cut; alone it would be at %d ms", w, ms, target, now-since, now-healed, baseTail)
		}
	}
}

// hopeless: one job in twenty can never be done. Then a job that lasts is handed in.
func hopeless(s *site, trouble bool) {
	s.queues = []queue{{name: "cutlist", prefix: "/cut/", pool: "sawdesk", attempts: 4}, {name: "stockwatch", prefix: "/cure/", pool: "sawdesk", attempts: 4}}
	s.services = []service{{name: "sawdesk"}, spare}
	s.addMachines("sawdesk", 3)
	s.start(3)
	s.submitOrdinary("/cut/", ordinaryJobs)
	if trouble {
		const id = "00000000000000a1"
		m := &jobModel{steps: []*stepModel{{cpu: 3500, time: 300 * time.Millisecond, fails: func(*run) bool { return true }}}}
		s.submit("/cut/", id, m, []map[string]any{finite(24, 3500, time.Second)})
	}
	time.Sleep(3 * time.Second)
	const last = "00000000000000b2"
	s.submit("/cure/", last, &jobModel{steps: []*stepModel{{cpu: 5300, lasting: true}}}, []map[string]any{lastingStep(1, 5300, 1)})
	s.judgeLasting(last, s.now(), 40*time.Second)
}

// judgeLasting checks that the only task of a lasting job runs: 3 s without a run, from 6 s after the last one or the job's
// acceptance.
func (s *site) judgeLasting(id string, from, d time.Duration) {
	time.Sleep(d)
	gap, at := s.gap(id, from, s.now())
	s.record("longest time without a run of the lasting task: %v, from %v", gap, at)
	if gap > 9*time.Second {
		s.violated("LOST: a task that lasts had nothing running for %v with room for it on idle workers", gap)
	}
}

// lasting: a lasting task fails from time to time on a worker that is sound.
func lasting(s *site, trouble bool) {
	s.queues = []queue{{name: "stockwatch", prefix: "/cure/", pool: "sawdesk", attempts: 4}}
	s.services = []service{{name: "sawdesk"}, spare}
	s.addMachines("sawdesk", 3)
	s.start(3)
	const id = "00000000000000c3"
	s.submit("/cure/", id, &jobModel{steps: []*stepModel{{cpu: 5300, lasting: true}}}, []map[string]any{lastingStep(3, 5300, 1)})
	from := s.now()
	const task = id + ".0.0.0"
	for i := range 6 {
		for range 200 {
			if s.running(task) != nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		if w := s.running(task); trouble && w != nil {
			s.record("the lasting task fails for the %d. time", i+1)
			w.fail(task)
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.judgeLasting(task, from, 22*time.Second)
}

// duration returns the milliseconds that the environment names for a trial, or the default.
func duration(name string, ms int) time.Duration {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		ms = n
	}
	return time.Duration(ms) * time.Millisecond
}

// reborn: a worker that doesn't guard its capacity crashes and starts again under its ID as a smaller one, while tasks are placed.
func reborn(s *site, trouble bool) {
	silence := duration("SILENCE_MS", 250)
	// lag is the time after which a worker's registration can be read: lag_ms of the site file.
	lag := duration("LAG_MS", 800)
	s.queues = []queue{{name: "cutlist", prefix: "/cut/", pool: "sawdesk", attempts: 4}}
	s.services = []service{{name: "sawdesk", trusting: true}, spare}
	s.addMachines("sawdesk", 6)
	s.start(3)
	// The system keeps the machines that the work needs. The last one with work takes more first.
	const before = "00000000000000b5"
	s.submit("/cut/", before, &jobModel{steps: []*stepModel{{cpu: 3500, time: 20 * time.Second}}}, []map[string]any{finite(2, 3500, 20*time.Second)})
	time.Sleep(time.Second)
	w := s.running(before + ".0.0.0")
	if w == nil {
		s.fatal("the first task does not run")
	}
	if trouble {
		w.crash()
		time.AfterFunc(silence, func() { w.restart(fullCPU/2, lag) })
	}
	const id = "00000000000000a7"
	s.submit("/cut/", id, &jobModel{steps: []*stepModel{{cpu: 3500, time: 2 * time.Second}}}, []map[string]any{finite(16, 3500, 2*time.Second)})
	time.Sleep(15 * time.Second)
	if n := s.overfills(); n > 0 {
		s.violated("LIMIT: %d starts brought a worker that doesn't guard its capacity over it", n)
	}
}
