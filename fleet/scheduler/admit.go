package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
)

const (
	// neverRetry is when to come back with a job that fits no server, which only new hardware changes.
	neverRetry = time.Minute
	// leastRetry bounds the wait that a refused caller is told from below.
	leastRetry = 500 * time.Millisecond
)

// admit says why a job is refused, or nil. A job is accepted if it can be done in the time that its queue
// promises, behind the work already accepted; what would be late is refused at once.
func (s *Scheduler) admit(n *job.Job, q *queue.Queue, now time.Time) *Reply {
	if !s.possible(n) {
		return &Reply{Result: Refused, Reason: "no server is large enough", RetryAfter: neverRetry}
	}
	s.offered(n, now)
	if n.Timed() || n.Lasting() {
		return nil
	}
	wait, known := s.forecast(n, q, now)
	if !known {
		return nil
	}
	begin := now.Sub(n.Accepted)
	chain := time.Duration(float64(n.Chain()) * s.ratio(n.Queue))
	if o := s.objective(n); begin+wait+chain > o {
		return &Reply{Result: Refused, Reason: "would be late", RetryAfter: max(wait, leastRetry)}
	}
	return nil
}

// possible says whether each step fits a server that is known.
func (s *Scheduler) possible(n *job.Job) bool {
	if len(s.servers) == 0 {
		return true
	}
	for i := range n.Steps {
		if !s.fitsAny(&n.Steps[i]) {
			return false
		}
	}
	return true
}

func (s *Scheduler) fitsAny(p *job.Step) bool {
	for _, v := range s.servers {
		if p.Demand().Fits(v.info.Capacity) {
			return true
		}
	}
	return false
}

// forecast is how long the pool needs for the work that it has and the job's own, beyond the job's chain.
func (s *Scheduler) forecast(n *job.Job, q *queue.Queue, now time.Time) (time.Duration, bool) {
	cores := s.cores(q.Pool, now)
	if cores <= 0 {
		return 0, false
	}
	backlog := 0.0
	for _, j := range s.active {
		if !j.job.Timed() && s.poolOf(j) == q.Pool {
			backlog += s.remainingWork(j, now)
		}
	}
	return time.Duration(backlog / cores * float64(time.Second)), true
}

// cores are the pool's cores that finite work may use.
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
	return c + s.coming[pool]
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
