package scheduler

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/backlog"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
)

// supplies are what the pools have and may get, and what is demanded of them. Admission reads them.
type supplies struct {
	provisioning    Provisioning
	vmCapacities    map[string]job.Size
	poolCores       map[string]cachedValue
	poolDemandCache map[string]*cachedDemands
	totals          poolTotals
	// unplacedAt is, by pool, when a long-running task last found no server with enough capacity.
	unplacedAt map[string]time.Time
}

func newSupplies() supplies {
	return supplies{poolCores: map[string]cachedValue{}, poolDemandCache: map[string]*cachedDemands{}, unplacedAt: map[string]time.Time{}}
}

const (
	// unplaceableRetryAfter is the retry delay for a job that fits no server, which only new hardware can change.
	unplaceableRetryAfter = time.Minute
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused job. Overload lasts a few seconds.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// packableShare is the share of a pool's cores that bin packing can fill.
	packableShare = 0.9
	// overdueWorkShare is the share of a pool's capacity that an overdue job and the on-time jobs may fill together.
	overdueWorkShare = 0.6
)

// admit returns a refusal, or nil if the job is accepted. A job is accepted if it can finish within the target
// duration of its queue without delaying accepted jobs past theirs, by the room in its pool and by the runs that the owner can start. A resubmitted job that can no longer do so is
// accepted if it and the accepted jobs need at most overdueWorkShare of the capacity. Scheduled and long-running jobs,
// and all jobs while no server is usable, are accepted if some server is, or was, large enough. Other jobs are refused at once.
func (s *Scheduler) admit(n *job.Job, q *queue.Queue, now time.Time) *Reply {
	if i := s.unplaceableStep(n); i >= 0 {
		return &Reply{Result: Refused, Reason: fmt.Sprintf("steps[%d]: no server is large enough", i), RetryAfter: unplaceableRetryAfter, Cause: CauseSize}
	}
	if r := s.refuseAboveCap(n); r != nil {
		return r
	}
	if r := s.refuseForMemory(n); r != nil {
		return r
	}
	n.Excess = s.exceedsAllowance(n, now)
	n.AcceptedAt = s.recordArrival(n, now)
	if n.Scheduled() || n.LongRunning() {
		return nil
	}
	work := n.Amount().Times(s.durationRatio(n.Queue))
	due := n.AcceptedAt.Add(s.targetDuration(n))
	chain := time.Duration(float64(n.CriticalPath()) * s.durationRatio(n.Queue))
	overdue := now.Add(chain).After(due)
	if overdue {
		due = now.Add(s.targetDuration(n))
	}
	supply, known := s.supply(q.Pool, now)
	if !known {
		return nil
	}
	if overdue {
		supply.Now, supply.Later = supply.Now*overdueWorkShare, supply.Now*overdueWorkShare
	}
	if n.Excess {
		supply.Now, supply.Later = supply.Now*excessWorkShare, supply.Later*excessWorkShare
	}
	if r := s.refuseForCap(n, due, overdue, work, now); r != nil {
		return r
	}
	s.offer(n, q.Pool, work, now)
	if r := s.refuseForStarts(n, due, now); r != nil {
		return r
	}
	d := demand{Demand: backlog.Demand{Due: due, Work: n.Work() * s.durationRatio(n.Queue)}, amount: work, job: n}
	accepted := s.acceptedDemands(q.Pool, now)
	s.operations.Jobs += int64(accepted.competing(n).DueAfter(d.Due))
	shortfall := accepted.competing(n).Shortfall(accepted.at, d.Demand, supply)
	if shortfall <= 0 {
		if r := s.refuseForShare(d, q.Pool, supply, now); r != nil {
			return r
		}
		accepted.add(d)
		s.addCapDemand(d)
		s.addStartDemand(n, due)
		s.accept(n, q.Pool, work, now)
		return nil
	}
	wait := time.Duration(shortfall / max(supply.Later, 1) * float64(time.Second))
	return &Reply{
		Result: Refused, RetryAfter: s.retryAfter(n, wait), Cause: capacityCause(n),
		Reason: excessReason(n) + fmt.Sprintf("would be late: %.0f core-seconds more than %.0f cores, later %.0f, do in time", shortfall, supply.Now, supply.Later),
	}
}

// excessReason returns what precedes the reason of a refusal of a job beyond the allowance of its workspace.
func excessReason(n *job.Job) string {
	if !n.Excess {
		return ""
	}
	return "beyond the jobs per second of workspace " + n.Workspace + ", which run where there is room to spare: "
}

// capacityCause returns the cause of a refusal for lack of room in the pool.
func capacityCause(n *job.Job) Cause {
	if n.Excess {
		return CauseExcess
	}
	return CauseCapacity
}

// unplaceableStep returns the index of the first step that fits no known server, or -1. A server counts with the largest
// capacity that it has reported or that its VM is listed with, since one that has shrunk may grow again.
func (s *Scheduler) unplaceableStep(n *job.Job) int {
	if len(s.servers) == 0 {
		return -1
	}
	for i := range n.Steps {
		if !s.fitsAnyServer(&n.Steps[i]) {
			return i
		}
	}
	return -1
}

func (s *Scheduler) fitsAnyServer(p *job.Step) bool {
	for _, v := range s.servers {
		if p.Demand().Fits(v.largestCapacity.Max(s.vmCapacities[v.info.VM])) {
			return true
		}
	}
	return false
}

// cacheLifetime is how long a computed figure is reused by later submissions. Tasks run for hundreds of
// milliseconds, so figures change little in that time.
const cacheLifetime = 40 * time.Millisecond

// supply returns the cores of a pool that finite work may use. It returns false while no server is usable.
func (s *Scheduler) supply(pool string, now time.Time) (backlog.Supply, bool) {
	c := s.cachedCores(pool, now)
	return s.provisioning.supply(pool, c, now), c > 0
}

// cachedCores returns the pool's cores for finite work, at most cacheLifetime old.
func (s *Scheduler) cachedCores(pool string, now time.Time) float64 {
	x := s.poolCores[pool]
	if now.Sub(x.at) > cacheLifetime {
		x = cachedValue{value: s.finiteWorkCores(pool, now), at: now}
		s.poolCores[pool] = x
	}
	return x.value
}

// cachedValue is a number and the time at which it was computed.
type cachedValue struct {
	value float64
	at    time.Time
}

// finiteWorkCores returns the cores of the pool's usable servers that no long-running task holds. A server that has shrunk
// below what its long-running tasks hold has none.
func (s *Scheduler) finiteWorkCores(pool string, now time.Time) float64 {
	c := 0.0
	l := s.serversOf(pool)
	s.operations.Servers += int64(len(l))
	for _, v := range l {
		if v.usable(now) && !s.cordonedVMs[v.info.VM] {
			c += float64(max(v.info.Capacity.CPU-v.longRunning.CPU, 0)) / milliPerCore
		}
	}
	return c
}

// remainingWork returns the expected core-seconds that the job's finite tasks still need.
func (s *Scheduler) remainingWork(j *jobState, now time.Time) float64 {
	w := 0.0
	j.eachUnfinished(func(p *stepState) {
		w += s.remainingStepTime(p, now).Seconds() * float64(p.step.Size.CPU) / milliPerCore
	})
	return w
}

// remainingAmount returns the expected resource-seconds that the job's finite tasks still need.
func (s *Scheduler) remainingAmount(j *jobState, now time.Time) job.Amount {
	a := job.Amount{}
	j.eachUnfinished(func(p *stepState) { a = a.Add(p.step.Size.Amount().Times(s.remainingStepTime(p, now).Seconds())) })
	return a
}

// eachUnfinished calls f with each step of finite tasks that is not done.
func (j *jobState) eachUnfinished(f func(p *stepState)) {
	for _, o := range j.unclosed() {
		for _, p := range o.steps {
			if !p.step.LongRunning && p.unfinished > 0 {
				f(p)
			}
		}
	}
}

// remainingStepTime returns the sum of the expected times that the step's unfinished tasks still need. While none of them has a server,
// they need the same.
func (s *Scheduler) remainingStepTime(p *stepState, now time.Time) time.Duration {
	e := s.expectedDuration(p.tasks[0])
	if p.pendingTasks == p.unfinished {
		return e * time.Duration(p.unfinished)
	}
	s.operations.Tasks += int64(len(p.tasks))
	var sum time.Duration
	for _, t := range p.tasks {
		if !t.done {
			sum += t.remainingTime(e, now)
		}
	}
	return sum
}

// remainingTaskWork returns the expected core-seconds that a task still needs. A run that exceeds its expected
// duration counts as needing a tenth of it.
func (s *Scheduler) remainingTaskWork(t *task, now time.Time) float64 {
	return s.remainingTaskTime(t, now).Seconds() * float64(t.step.step.Size.CPU) / 1000
}

// remainingTaskTime returns the expected time that a task still needs.
func (s *Scheduler) remainingTaskTime(t *task, now time.Time) time.Duration {
	return t.remainingTime(s.expectedDuration(t), now)
}

// remainingTime returns the time that a task still needs if it takes the duration e in all.
func (t *task) remainingTime(e time.Duration, now time.Time) time.Duration {
	if t.run != nil && t.run.phase == working {
		return max(e-now.Sub(t.run.startedAt), e/10)
	}
	return e
}
