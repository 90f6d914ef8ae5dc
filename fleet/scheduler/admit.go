package scheduler

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/backlog"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
)

const (
	// neverRetry is when to come back with a job that fits no server, which only new hardware changes.
	neverRetry = time.Minute
	// leastRetry and mostRetry bound the wait that a refused caller is told; overload lasts some seconds.
	leastRetry = 500 * time.Millisecond
	mostRetry  = 5 * time.Second
	// fill is the part of a pool's cores that packing can use.
	fill = 0.9
	// comingTime is how long a VM that is asked for takes to come, with the time to decide it.
	comingTime = 2 * time.Second
	// spareTime is the part of the pool's time that work which is late already may fill with what is in time.
	spareTime = 0.6
	// reservePart is the part of the idle VMs that a pool can count on.
	reservePart = 0.7
)

// admit says why a job is refused, or nil. A job is accepted if it can be done in the time that its queue
// promises without making accepted ones late; what would be late is refused at once.
func (s *Scheduler) admit(n *job.Job, q *queue.Queue, now time.Time) *Reply {
	if i := s.impossible(n); i >= 0 {
		return &Reply{Result: Refused, Reason: fmt.Sprintf("steps[%d]: no server is large enough", i), RetryAfter: neverRetry}
	}
	n.Accepted = s.offered(n, now)
	if n.Timed() || n.Lasting() {
		return nil
	}
	due := n.Accepted.Add(s.objective(n))
	chain := time.Duration(float64(n.Chain()) * s.ratio(n.Queue))
	hopeless := now.Add(chain).After(due)
	if hopeless {
		due = now.Add(s.objective(n))
	}
	supply, known := s.supply(q.Pool, now)
	if !known {
		return nil
	}
	if hopeless {
		supply.Now, supply.Later = supply.Now*spareTime, supply.Now*spareTime
	}
	lack := backlog.Shortfall(now, s.demands(q.Pool, now), backlog.Demand{Due: due, Work: n.Work() * s.ratio(n.Queue)}, supply)
	if lack <= 0 {
		return nil
	}
	wait := time.Duration(lack / max(supply.Later, 1) * float64(time.Second))
	return &Reply{
		Result: Refused, RetryAfter: min(max(wait, leastRetry), mostRetry),
		Reason: fmt.Sprintf("would be late: %.0f core-seconds more than %.0f cores, later %.0f, do in time", lack, supply.Now, supply.Later),
	}
}

// impossible is the first step that fits no server that is known, or -1.
func (s *Scheduler) impossible(n *job.Job) int {
	if len(s.servers) == 0 {
		return -1
	}
	for i := range n.Steps {
		if !s.fitsAny(&n.Steps[i]) {
			return i
		}
	}
	return -1
}

func (s *Scheduler) fitsAny(p *job.Step) bool {
	for _, v := range s.servers {
		if p.Demand().Fits(v.info.Capacity) {
			return true
		}
	}
	return false
}

// demands are the finite jobs that a pool has accepted.
func (s *Scheduler) demands(pool string, now time.Time) []backlog.Demand {
	l := []backlog.Demand{}
	for _, j := range s.active {
		if !j.job.Timed() && !j.job.Lasting() && s.poolOf(j) == pool {
			l = append(l, backlog.Demand{Due: j.job.Accepted.Add(s.objective(j.job)), Work: s.remainingLately(j, now)})
		}
	}
	return l
}

// fresh is how old a figure may be that many submissions ask for; tasks last for hundreds of milliseconds.
const fresh = 40 * time.Millisecond

// remainingLately is the job's remaining work, worked out lately.
func (s *Scheduler) remainingLately(j *jobState, now time.Time) float64 {
	if now.Sub(j.workAt) > fresh {
		j.work, j.workAt = s.remainingWork(j, now), now
	}
	return j.work
}

// supply are the cores of a pool that finite work may use; known is false while no server is usable.
func (s *Scheduler) supply(pool string, now time.Time) (backlog.Supply, bool) {
	c := s.coresLately(pool, now)
	return backlog.Supply{
		Now: c * fill, Later: (c + s.coming[pool] + s.reserve*reservePart) * fill, From: now.Add(comingTime),
	}, c > 0
}

// coresLately are the cores of a pool, worked out lately.
func (s *Scheduler) coresLately(pool string, now time.Time) float64 {
	x := s.supplies[pool]
	if now.Sub(x.at) > fresh {
		x = figure{value: s.cores(pool, now), at: now}
		s.supplies[pool] = x
	}
	return x.value
}

// figure is a number and when it was worked out.
type figure struct {
	value float64
	at    time.Time
}

// cores are the pool's cores that finite work may use now.
func (s *Scheduler) cores(pool string, now time.Time) float64 {
	c := 0.0
	for _, v := range s.servers {
		if v.info.Pool != pool || !v.usable(now) || s.cordoned[v.info.VM] {
			continue
		}
		c += float64(v.info.Capacity.CPU) / 1000
		for _, r := range v.runs {
			if p := r.task.step.step; p.Lasting {
				c -= float64(p.Demand().CPU) / 1000
			}
		}
	}
	return c
}

// remainingWork is the expected core-seconds that the job still needs.
func (s *Scheduler) remainingWork(j *jobState, now time.Time) float64 {
	w := 0.0
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			if p.step.Lasting || p.left == 0 {
				continue
			}
			for _, t := range p.tasks {
				if !t.done {
					w += s.remainingTask(t, now)
				}
			}
		}
	}
	return w
}

func (s *Scheduler) remainingTask(t *task, now time.Time) float64 {
	e := s.expected(t)
	if t.run != nil && t.run.phase == working {
		e = max(e-now.Sub(t.run.began), e/10)
	}
	return e.Seconds() * float64(t.step.step.Size.CPU) / 1000
}
