package scheduler

import (
	"time"
)

// Load is what runs on a server.
type Load struct {
	Pool string
	// Known says that the server itself has told this owner what runs there.
	Known bool
	// Runs counts what is there, Work is the expected core-seconds until its finite runs are done.
	Runs int
	Work float64
	// Lasting counts the runs that do not end by themselves.
	Lasting int
	// Idle is since when nothing runs there, zero where something does.
	Idle time.Time
	// Usable says that new runs may go there.
	Usable bool
}

// Settled says whether no run of an earlier owner can be left that this one does not know of.
func (s *Scheduler) Settled(now time.Time) bool {
	return now.After(s.settledAt)
}

// Loads tells what runs on each server, by its ID.
func (s *Scheduler) Loads(now time.Time) map[string]Load {
	m := map[string]Load{}
	for id, v := range s.servers {
		l := Load{Pool: v.info.Pool, Known: v.listed > 0, Runs: len(v.runs), Usable: v.usable(now)}
		for _, r := range v.runs {
			if r.task.step.step.LongRunning {
				l.Lasting++
				continue
			}
			l.Work += s.remainingTask(r.task, now)
		}
		if l.Runs == 0 {
			l.Idle = v.idle
		}
		m[id] = l
	}
	return m
}

// Cordon keeps new work from a VM, or lets it come again.
func (s *Scheduler) Cordon(name string, on bool) {
	if on {
		s.cordoned[name] = true
		return
	}
	if s.cordoned[name] {
		delete(s.cordoned, name)
		s.unplanned = true
	}
}

// Evacuate moves the lasting tasks of a VM elsewhere, as far as their steps can miss them, and says whether
// the VM is empty.
func (s *Scheduler) Evacuate(name string, now time.Time) bool {
	empty := true
	pools := s.pools(now)
	for _, v := range s.servers {
		if v.info.VM != name || !v.there() {
			continue
		}
		for _, r := range v.runs {
			empty = false
			if r.task.step.step.LongRunning && r.phase == working && s.canMiss(r.task, now) {
				s.evacuate(r, pools[v.info.Pool], now)
			}
		}
	}
	return empty
}

// evacuate stops a run whose task has a place to go to; where it has none, its pool lacks a server.
func (s *Scheduler) evacuate(r *run, l []*serverState, now time.Time) {
	if best(r.task, l, now) == nil {
		s.crowded[r.server.info.Pool] = now
		return
	}
	s.note(r.note("evacuated"))
	s.stop(r, now)
}

// crowdedFor is for how long a lasting task without a place has its pool ask for one more server.
const crowdedFor = time.Second

// canMiss says whether one more lasting task may be away, beside the others of its step.
func (s *Scheduler) canMiss(t *task, now time.Time) bool {
	p := t.step
	if p.step.MaxUnavailable <= 0 {
		return true
	}
	away := 0
	for _, o := range p.tasks {
		if o != t && !s.atWork(o, now) {
			away++
		}
	}
	return away < p.step.MaxUnavailable
}

// atWork says whether a lasting task is known to do its work: by a listing that is fresh, and late enough after the
// first one for the stops of an earlier owner to have taken effect; later ones are refused.
func (s *Scheduler) atWork(t *task, now time.Time) bool {
	r := t.run
	if r == nil || r.phase != working || r.percent < fullPercent {
		return false
	}
	v := r.server
	return v.reachable && now.Sub(v.heard) < atWorkFresh && v.heard.Sub(v.fenced) > s.bounds.Stop
}

// atWorkFresh is how old the last word of a task at work may be; listings come each second.
const atWorkFresh = 1500 * time.Millisecond

// fullPercent is the percentage that a lasting task shows when it is at work.
const fullPercent = 100

// TakenDown takes note that a server's life has ended by an order to the platform.
func (s *Scheduler) TakenDown(id string, now time.Time) {
	v := s.servers[id]
	if v == nil {
		return
	}
	s.abandon(v, now, "VM was taken down")
	v.gone = true
}

// StillThere takes note that a server's life has not ended, though an order that should end it was accepted.
func (s *Scheduler) StillThere(id string) {
	v := s.servers[id]
	if v == nil || !v.gone {
		return
	}
	v.gone = false
	s.unplanned = true
	s.orders.Holds = append(s.orders.Holds, v.info)
	s.note(Note{Server: id, Pool: v.info.Pool, Reason: "server is still there"})
}

// Need is what the work of a pool asks for.
type Need struct {
	Cores float64
	// Servers is how many different servers the pool's steps need, with one more to move tasks to.
	Servers int
}

// Needs tells what the work of each pool asks for.
func (s *Scheduler) Needs(now time.Time) map[string]Need {
	cores := s.neededCores(now)
	m := map[string]Need{}
	for p, c := range cores {
		m[p] = Need{Cores: c}
	}
	for _, j := range s.active {
		p := s.poolOf(j)
		n := m[p]
		for i := range j.job.Steps {
			if x := &j.job.Steps[i]; x.AntiAffinity > 0 {
				n.Servers = max(n.Servers, (x.Count+x.AntiAffinity-1)/x.AntiAffinity+1)
			}
		}
		m[p] = n
	}
	for p, at := range s.crowded {
		if n := m[p]; now.Sub(at) < crowdedFor {
			n.Servers = max(n.Servers, len(s.pools(now)[p])+1)
			m[p] = n
		}
	}
	return m
}

// neededCores are the cores that the work of each pool asks for; where memory runs out first, as many as come with
// the memory that it asks for.
func (s *Scheduler) neededCores(now time.Time) map[string]float64 {
	m := map[string]float64{}
	if s.table == nil {
		return m
	}
	for p, n := range s.demand(now) {
		m[p] = max(n.cores, n.memory*s.coresPerMB())
	}
	return m
}

// claim is what work asks for at once, in cores and megabytes.
type claim struct {
	cores, memory float64
}

func (c claim) add(o claim) claim {
	return claim{c.cores + o.cores, c.memory + o.memory}
}

// demand is what the arrivals and the open tasks of each pool ask for: of finite work the larger of the two, since
// open tasks are arrivals of a moment ago, and all of the lasting work.
func (s *Scheduler) demand(now time.Time) map[string]claim {
	coming, open, steady := map[string]claim{}, map[string]claim{}, map[string]claim{}
	for _, q := range s.table.Queues {
		coming[q.Pool] = coming[q.Pool].add(s.rate(q.Name, now))
	}
	for _, j := range s.active {
		p := s.poolOf(j)
		open[p] = open[p].add(j.claim(false))
		steady[p] = steady[p].add(j.claim(true))
	}
	m := map[string]claim{}
	for p, c := range coming {
		o := open[p]
		m[p] = claim{max(c.cores, o.cores), max(c.memory, o.memory)}.add(steady[p])
	}
	return m
}

// claim is what the job's lasting or finite tasks could use now.
func (j *jobState) claim(lasting bool) claim {
	c := claim{}
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			if !p.open() || p.step.LongRunning != lasting {
				continue
			}
			d := p.step.Demand()
			c = c.add(claim{float64(int64(p.left)*d.CPU) / milli, float64(int64(p.left) * d.MemoryMB)})
		}
	}
	return c
}

// milli is how many thousandths of a core a core has.
const milli = 1000

// coresPerMB is how many cores come with a megabyte of memory on the servers that are known.
func (s *Scheduler) coresPerMB() float64 {
	total := claim{}
	for _, v := range s.servers {
		total = total.add(claim{float64(v.info.Capacity.CPU) / milli, float64(v.info.Capacity.MemoryMB)})
	}
	if total.memory == 0 {
		return 0
	}
	return total.cores / total.memory
}

// SetComing tells how many cores are on their way to each pool, and how many are idle and could come.
func (s *Scheduler) SetComing(m map[string]float64, reserve float64) {
	s.coming = m
	s.reserve = reserve
}
