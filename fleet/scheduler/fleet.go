package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// ServerLoad summarizes the runs on a server.
type ServerLoad struct {
	Pool string
	// StartedAt is when the known incarnation of the server started.
	StartedAt time.Time
	// Cores are those that the server reports to have, which may be fewer than its VM is listed with.
	Cores float64
	// UsedCores are those that its runs hold.
	UsedCores float64
	// Listed is true once this owner has received a listing from the server.
	Listed bool
	// Runs counts the runs, RemainingWork is the expected work of the finite ones in core-seconds.
	Runs          int
	RemainingWork float64
	// LongRunning counts the runs of long-running tasks.
	LongRunning int
	// IdleSince is when the server became idle, zero while it has runs.
	IdleSince time.Time
	// Usable is true if new runs may be placed on the server.
	Usable bool
}

// PreviousLeasesExpired reports whether every lease that a previous owner can have renewed has expired, so that no run
// is left that this owner does not know.
func (s *Scheduler) PreviousLeasesExpired(now time.Time) bool {
	return now.After(s.previousLeasesExpireAt)
}

// ServerLoads returns the load of each server by its ID.
func (s *Scheduler) ServerLoads(now time.Time) map[string]ServerLoad {
	m := map[string]ServerLoad{}
	for id := range s.servers {
		m[id] = s.ServerLoad(id, now)
	}
	return m
}

// ServerLoad returns the load of a server, the zero value if it is unknown.
func (s *Scheduler) ServerLoad(id string, now time.Time) ServerLoad {
	v := s.servers[id]
	if v == nil {
		return ServerLoad{}
	}
	l := ServerLoad{
		Pool: v.info.Pool, StartedAt: v.info.StartedAt, Cores: float64(v.info.Capacity.CPU) / milliPerCore, UsedCores: float64(v.used.CPU) / milliPerCore,
		Listed: v.listingClock > 0, Runs: len(v.runs), Usable: v.usable(now) && !v.health.isSuspect(now),
	}
	s.operations.Servers++
	s.operations.Runs += int64(len(v.runs))
	for _, r := range v.runs {
		if r.task.step.step.LongRunning {
			l.LongRunning++
			continue
		}
		l.RemainingWork += s.remainingTaskWork(r.task, now)
	}
	if l.Runs == 0 {
		l.IdleSince = v.idleSince
	}
	return l
}

// Cordon excludes a VM from the placement of new runs if on is true, and includes it again otherwise.
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

// CordonedVMs returns the names of the cordoned VMs in order.
func (s *Scheduler) CordonedVMs() []string {
	return slices.Sorted(maps.Keys(s.cordonedVMs))
}

// Evacuate moves the long-running tasks of a VM to other servers, as far as the limits of their steps allow, and reports
// whether the VM has no runs left.
func (s *Scheduler) Evacuate(name string, now time.Time) bool {
	empty := true
	for _, v := range s.serversOn(name) {
		if !v.exists() {
			continue
		}
		s.operations.Runs += int64(len(v.runs))
		for _, r := range v.runs {
			empty = false
			if r.task.step.step.LongRunning && r.phase == working && s.canInterrupt(r.task, now) {
				s.evacuate(r, s.usableServers(v.info.Pool, now), now)
			}
		}
	}
	return empty
}

// evacuate stops a run if another server has capacity for its task and may run it. Otherwise it records that the pool lacks a
// server, once that is known.
func (s *Scheduler) evacuate(r *run, l []*serverState, now time.Time) {
	if bestServer(r.task, trusted(s.advisedServers(r.task, l, now), now), now) == nil {
		if !s.awaitsAdvice(r.task, l, now) {
			s.unplacedAt[r.server.info.Pool] = now
		}
		return
	}
	s.addDecision(r.decision("evacuated"))
	s.stop(r, now)
}

// unplacedWindow is how long a pool asks for one more server after a long-running task found none.
const unplacedWindow = time.Second

// canInterrupt reports whether one more long-running task of a step may be interrupted within the step's MaxUnavailable
// limit.
func (s *Scheduler) canInterrupt(t *task, now time.Time) bool {
	p := t.step
	if p.step.MaxUnavailable <= 0 {
		return true
	}
	missing := 0
	for _, o := range p.tasks {
		if o != t && !s.isWorking(o, now) {
			missing++
		}
	}
	return missing < p.step.MaxUnavailable
}

// isWorking reports whether a long-running task is known to be ready: by a recent listing that arrived long enough after
// the server's first one for the stop orders of a previous owner to have taken effect. The server refuses that owner's
// later orders.
func (s *Scheduler) isWorking(t *task, now time.Time) bool {
	r := t.run
	if r == nil || r.phase != working || r.percent < fullPercent {
		return false
	}
	v := r.server
	return v.reachable && now.Sub(v.listedAt) < workingMaxAge && v.listedAt.Sub(v.fencedAt) > s.limits.StopTimeout
}

// workingMaxAge is the oldest listing from which a task counts as working; listings come every second.
const workingMaxAge = 1500 * time.Millisecond

// fullPercent is the progress that a long-running task reports once it is ready.
const fullPercent = 100

// ServerTerminated records that the platform has ended the incarnation of a server that started at the given time by this owner's
// order, and drops its runs. It does nothing if the next incarnation is known, which the order may not have ended.
func (s *Scheduler) ServerTerminated(id string, startedAt, now time.Time) {
	v := s.servers[id]
	if v == nil || !v.info.StartedAt.Equal(startedAt) {
		return
	}
	s.dropRuns(v, now, now, "VM was taken down")
	v.terminated = true
}

// ServerMayRun records that the platform lists a server that an order has ended, or that an earlier reading did not show. It has
// started again under its ID, or was never ended; its next listing shows which, and the runs that it has.
func (s *Scheduler) ServerMayRun(id string) {
	v := s.servers[id]
	if v == nil || !v.terminated {
		return
	}
	v.terminated = false
	v.reachable = false
	s.needsPlan = true
	s.orders.ResumePolling = append(s.orders.ResumePolling, v.info)
	s.addDecision(Decision{Server: id, Pool: v.info.Pool, Reason: "server is listed after it was ended"})
}

// PoolNeed is the capacity that the work of a pool needs.
type PoolNeed struct {
	Cores float64
	// Servers is the number of servers that the anti-affinity of the pool's steps needs, with one spare to move tasks to.
	// While a long-running task finds no server, it is at least one more than the usable servers.
	Servers int
	// Slack is the mean time for which the jobs of the pool's queues can wait and still finish on time, the shortest of the
	// queues; 0 if the pool has no queue.
	Slack time.Duration
	// Waiting is true while tasks of the pool wait for a server.
	Waiting bool
}

// PoolNeeds returns the capacity that each pool needs, by its name.
func (s *Scheduler) PoolNeeds(now time.Time) map[string]PoolNeed {
	cores := s.neededCores(now)
	m := map[string]PoolNeed{}
	for p, c := range cores {
		m[p] = PoolNeed{Cores: c, Slack: s.slack(p)}
	}
	s.operations.Jobs += int64(2 * len(s.active))
	for _, j := range s.active {
		p := s.poolOf(j)
		n := m[p]
		n.Waiting = n.Waiting || j.hasWaitingTask()
		for i := range j.job.Steps {
			if x := &j.job.Steps[i]; x.AntiAffinity > 0 {
				n.Servers = max(n.Servers, (x.Count+x.AntiAffinity-1)/x.AntiAffinity+1)
			}
		}
		m[p] = n
	}
	for p, at := range s.unplacedAt {
		if n := m[p]; now.Sub(at) < unplacedWindow {
			n.Servers = max(n.Servers, len(trusted(s.usableServers(p, now), now))+1)
			m[p] = n
		}
	}
	return m
}

// assumedCriticalPath is the critical path that is assumed for the jobs of a queue before the first one arrives.
const assumedCriticalPath = time.Second

// slack returns the shortest of the mean slacks of the pool's queues, 0 if it has none.
func (s *Scheduler) slack(pool string) time.Duration {
	least := time.Duration(0)
	for _, q := range s.table.Queues {
		if q.Pool != pool {
			continue
		}
		d := q.LatencyAllowance + time.Duration(max(q.SlackFactor-1, 0)*float64(assumedCriticalPath))
		if a := s.rates[q.Name]; a != nil && a.meanSlack > 0 {
			d = a.meanSlack
		}
		if least == 0 || d < least {
			least = d
		}
	}
	return least
}

// neededCores returns the cores that the work of each pool needs. If memory is the scarcer resource, it returns the
// cores that come with the needed memory.
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

// resources is an amount of processors in cores and of memory in megabytes.
type resources struct {
	cores, memory float64
}

func (c resources) add(o resources) resources {
	return resources{c.cores + o.cores, c.memory + o.memory}
}

// poolDemands returns the demand of each pool: for finite work the larger of the expected arrivals and the open tasks,
// since open tasks are recent arrivals, plus all long-running work. Work beyond the allowance of a workspace only uses what
// is there.
func (s *Scheduler) poolDemands(now time.Time) map[string]resources {
	incoming, open, longRunning := map[string]resources{}, map[string]resources{}, map[string]resources{}
	parts := s.cappedParts(now)
	for _, q := range s.table.Queues {
		incoming[q.Pool] = incoming[q.Pool].add(s.forecastDemand(q.Name, now))
	}
	for _, j := range s.active {
		p := s.poolOf(j)
		if !j.job.Excess {
			open[p] = open[p].add(s.openResources(j, false, now).times(parts, j.job.Workspace))
		}
		longRunning[p] = longRunning[p].add(s.openResources(j, true, now).times(parts, j.job.Workspace))
	}
	m := map[string]resources{}
	for p, c := range incoming {
		o := open[p]
		m[p] = resources{max(c.cores, o.cores), max(c.memory, o.memory)}.add(longRunning[p])
	}
	return m
}

// overdueDemandShare is the share of its resources for which overdue work counts. Late results are worth little, and while
// every pool has a backlog, the VMs that hold it are missing where a turn begins.
const overdueDemandShare = 0.25

// openResources returns the resources that the job's long-running or finite tasks can use now, reduced to
// overdueDemandShare for steps that are overdue.
func (s *Scheduler) openResources(j *jobState, longRunning bool, now time.Time) resources {
	c := resources{}
	for _, o := range j.unclosed() {
		for _, p := range o.steps {
			if !p.isOpen() || p.step.LongRunning != longRunning {
				continue
			}
			d := p.step.Demand()
			share := 1.0
			if !longRunning && s.latestStart(j, o, p).Before(now) {
				share = overdueDemandShare
			}
			n := float64(p.unfinished) * share
			c = c.add(resources{n * float64(d.CPU) / milliPerCore, n * float64(d.MemoryMB)})
		}
	}
	return c
}

// milliPerCore is the number of thousandths in a core.
const milliPerCore = 1000

// coresPerMB returns the ratio of cores to megabytes of memory over all known servers.
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

// SetVMCapacities sets the capacities of the VMs by their names, as the platform lists them.
func (s *Scheduler) SetVMCapacities(m map[string]job.Size) {
	s.vmCapacities = m
}
