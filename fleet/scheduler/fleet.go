package scheduler

import (
	"time"
)

// ServerLoad is what runs on a server.
type ServerLoad struct {
	Pool string
	// Listed says that the server itself has told this owner what runs there.
	Listed bool
	// Runs counts what is there, Work is the expected core-seconds until its finite runs are done.
	Runs          int
	RemainingWork float64
	// Lasting counts the runs that do not end by themselves.
	Lasting int
	// IdleSince is since when nothing runs there, zero where something does.
	IdleSince time.Time
	// Usable says that new runs may go there.
	Usable bool
}

// Settled says whether no run of an earlier owner can be left that this one does not know of.
func (s *Scheduler) Settled(now time.Time) bool {
	return now.After(s.settledAt)
}

// ServerLoads tells what runs on each server, by its ID.
func (s *Scheduler) ServerLoads(now time.Time) map[string]ServerLoad {
	m := map[string]ServerLoad{}
	for id, v := range s.servers {
		l := ServerLoad{Pool: v.info.Pool, Listed: v.listingClock > 0, Runs: len(v.runs), Usable: v.usable(now)}
		for _, r := range v.runs {
			if r.task.step.step.Lasting {
				l.Lasting++
				continue
			}
			l.RemainingWork += s.remainingTask(r.task, now)
		}
		if l.Runs == 0 {
			l.IdleSince = v.idleSince
		}
		m[id] = l
	}
	return m
}

// Cordon keeps new work from a VM, or lets it come again.
func (s *Scheduler) Cordon(name string, on bool) {
	if on {
		s.cordonedVMs[name] = true
		return
	}
	if s.cordonedVMs[name] {
		delete(s.cordonedVMs, name)
		s.needsPlan = true
	}
}

// Evacuate moves the lasting tasks of a VM elsewhere, as far as their steps can miss them, and says whether
// the VM is empty.
func (s *Scheduler) Evacuate(name string, now time.Time) bool {
	empty := true
	pools := s.pools(now)
	for _, v := range s.servers {
		if v.info.VM != name || !v.exists() {
			continue
		}
		for _, r := range v.runs {
			empty = false
			if r.task.step.step.Lasting && r.phase == working && s.canMiss(r.task, now) {
				s.evacuate(r, pools[v.info.Pool], now)
			}
		}
	}
	return empty
}

// evacuate stops a run whose task has a place to go to; where it has none, its pool lacks a server.
func (s *Scheduler) evacuate(r *run, l []*serverState, now time.Time) {
	if best(r.task, l, now) == nil {
		s.unplacedAt[r.server.info.Pool] = now
		return
	}
	s.note(r.note("evacuated"))
	s.stop(r, now)
}

// unplacedWindow is for how long a lasting task without a place has its pool ask for one more server.
const unplacedWindow = time.Second

// canMiss says whether one more lasting task may be away, beside the others of its step.
func (s *Scheduler) canMiss(t *task, now time.Time) bool {
	p := t.step
	if p.step.MayMiss <= 0 {
		return true
	}
	away := 0
	for _, o := range p.tasks {
		if o != t && !s.isWorking(o, now) {
			away++
		}
	}
	return away < p.step.MayMiss
}

// isWorking says whether a lasting task is known to do its work: by a listing that is fresh, and late enough after the
// first one for the stops of an earlier owner to have taken effect; later ones are refused.
func (s *Scheduler) isWorking(t *task, now time.Time) bool {
	r := t.run
	if r == nil || r.phase != working || r.percent < fullPercent {
		return false
	}
	v := r.server
	return v.reachable && now.Sub(v.listedAt) < workingMaxAge && v.listedAt.Sub(v.fencedAt) > s.limits.StopTimeout
}

// workingMaxAge is how old the last word of a task at work may be; listings come each second.
const workingMaxAge = 1500 * time.Millisecond

// fullPercent is the percentage that a lasting task shows when it is at work.
const fullPercent = 100

// ServerTerminated takes note that a server's life has ended by an order to the platform.
func (s *Scheduler) ServerTerminated(id string, now time.Time) {
	v := s.servers[id]
	if v == nil {
		return
	}
	s.dropRuns(v, now, "VM was taken down")
	v.terminated = true
}

// TerminationFailed takes note that a server's life has not ended, though an order that should end it was accepted.
func (s *Scheduler) TerminationFailed(id string) {
	v := s.servers[id]
	if v == nil || !v.terminated {
		return
	}
	v.terminated = false
	s.needsPlan = true
	s.orders.Holds = append(s.orders.Holds, v.info)
	s.note(Note{Server: id, Pool: v.info.Pool, Reason: "server is still there"})
}

// PoolNeed is what the work of a pool asks for.
type PoolNeed struct {
	Cores float64
	// Servers is how many different servers the pool's steps need, with one more to move tasks to.
	Servers int
}

// PoolNeeds tells what the work of each pool asks for.
func (s *Scheduler) PoolNeeds(now time.Time) map[string]PoolNeed {
	cores := s.neededCores(now)
	m := map[string]PoolNeed{}
	for p, c := range cores {
		m[p] = PoolNeed{Cores: c}
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
	for p, at := range s.unplacedAt {
		if n := m[p]; now.Sub(at) < unplacedWindow {
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
	for p, n := range s.poolDemands(now) {
		m[p] = max(n.cores, n.memory*s.coresPerMB())
	}
	return m
}

// resources is what work asks for at once, in cores and megabytes.
type resources struct {
	cores, memory float64
}

func (c resources) add(o resources) resources {
	return resources{c.cores + o.cores, c.memory + o.memory}
}

// poolDemands is what the arrivals and the open tasks of each pool ask for: of finite work the larger of the two, since
// open tasks are arrivals of a moment ago, and all of the lasting work.
func (s *Scheduler) poolDemands(now time.Time) map[string]resources {
	coming, open, steady := map[string]resources{}, map[string]resources{}, map[string]resources{}
	for _, q := range s.table.Queues {
		coming[q.Pool] = coming[q.Pool].add(s.rate(q.Name, now))
	}
	for _, j := range s.active {
		p := s.poolOf(j)
		open[p] = open[p].add(j.openResources(false))
		steady[p] = steady[p].add(j.openResources(true))
	}
	m := map[string]resources{}
	for p, c := range coming {
		o := open[p]
		m[p] = resources{max(c.cores, o.cores), max(c.memory, o.memory)}.add(steady[p])
	}
	return m
}

// openResources is what the job's lasting or finite tasks could use now.
func (j *jobState) openResources(lasting bool) resources {
	c := resources{}
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			if !p.isOpen() || p.step.Lasting != lasting {
				continue
			}
			d := p.step.Demand()
			c = c.add(resources{float64(int64(p.unfinished)*d.CPU) / milliPerCore, float64(int64(p.unfinished) * d.MemoryMB)})
		}
	}
	return c
}

// milliPerCore is how many thousandths of a core a core has.
const milliPerCore = 1000

// coresPerMB is how many cores come with a megabyte of memory on the servers that are known.
func (s *Scheduler) coresPerMB() float64 {
	total := resources{}
	for _, v := range s.servers {
		total = total.add(resources{float64(v.info.Capacity.CPU) / milliPerCore, float64(v.info.Capacity.MemoryMB)})
	}
	if total.memory == 0 {
		return 0
	}
	return total.cores / total.memory
}

// SetIncomingCores tells how many cores are on their way to each pool, and how many are idle and could come.
func (s *Scheduler) SetIncomingCores(m map[string]float64, reserve float64) {
	s.incomingCores = m
	s.reserveCores = reserve
}
