package scheduler

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonbank/tarragonbank/fleet/backlog"
	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// startRate bounds the accepted work by the runs that the owner can start, for a load whose runs its processor cannot start in time though the
// servers have room for them.
type startRate struct {
	// perSecond is the number of runs a second that the owner can start, 0 if it has processor to spare.
	perSecond float64
	// demands are the runs that the accepted finite jobs of all pools still need, computed at the time at.
	demands *backlog.Demands
	at      time.Time
}

// SetStartRate sets the number of runs a second that the owner can start, 0 if it has processor to spare.
func (s *Scheduler) SetStartRate(perSecond float64) {
	if s.startRate.perSecond == 0 {
		// Jobs were accepted without being counted.
		s.startRate.demands = nil
	}
	s.startRate.perSecond = perSecond
}

const (
	// passTime is the time for which one pass places tasks while the owner is nearly out of processor, minPlacements their least number.
	// What is most urgent must not wait behind hundreds of starts that are not, nor for the commit that stores them.
	passTime      = 50 * time.Millisecond
	minPlacements = 16
)

// allowedPlacements returns the number of tasks that a pass may place.
func (x *startRate) allowedPlacements() int {
	if x.perSecond <= 0 {
		return math.MaxInt
	}
	return max(int(x.perSecond*passTime.Seconds()), minPlacements)
}

// startBy returns the time by which the last runs of a finite job must start for it to finish by due.
func (s *Scheduler) startBy(n *job.Job, due time.Time) time.Time {
	return due.Add(-time.Duration(float64(n.CriticalPathFrom(len(n.Steps)-1)) * s.durationRatio(n.Queue)))
}

// runsToStart counts the tasks of a finite job that have no run and are not done.
func (j *jobState) runsToStart() int {
	n := 0
	for _, o := range j.unclosed() {
		for _, p := range o.steps {
			n += p.pendingTasks
		}
	}
	return n
}

// backlogShare is the share of the time until a job is due that it may wait behind the starts of others. The rest is for what else takes an
// owner longer that is nearly out of processor. It bounds what waits, not the jobs a second.
const backlogShare = 0.5

// overdueStartTime is the time in which overdue runs are to start. They must not be left behind: the jobs that are accepted instead would
// become overdue as well.
const overdueStartTime = 100 * time.Millisecond

// startDemands returns the runs that the accepted finite jobs still need, at most demandsLifetime old.
func (s *Scheduler) startDemands(now time.Time) *backlog.Demands {
	x := &s.startRate
	if x.demands != nil && now.Sub(x.at) <= demandsLifetime {
		return x.demands
	}
	l, soon := []backlog.Demand{}, now.Add(overdueStartTime)
	for _, jobs := range s.finite {
		s.operations.Jobs += int64(len(jobs))
		for _, j := range jobs {
			if n := j.runsToStart(); n > 0 {
				l = append(l, backlog.Demand{Due: later(s.startBy(j.job, j.job.AcceptedAt.Add(s.targetDuration(j.job))), soon), Work: float64(n)})
			}
		}
	}
	x.demands, x.at = backlog.NewDemands(l), now
	return x.demands
}

// startDemand returns the runs of a finite job that is due by the given time.
func (s *Scheduler) startDemand(n *job.Job, due time.Time) backlog.Demand {
	runs := 0
	for i := range n.Steps {
		runs += n.Steps[i].Count
	}
	return backlog.Demand{Due: s.startBy(n, due), Work: float64(runs)}
}

// addStartDemand counts the runs of a job that is accepted.
func (s *Scheduler) addStartDemand(n *job.Job, due time.Time) {
	if s.startRate.demands != nil {
		s.startRate.demands.Add(s.startDemand(n, due))
	}
}

// refuseForStarts returns a refusal if the owner cannot start the runs of a finite job in time without delaying those of accepted jobs, or
// nil.
func (s *Scheduler) refuseForStarts(n *job.Job, due, now time.Time) *Reply {
	rate := s.startRate.perSecond
	if rate <= 0 {
		return nil
	}
	l, d := s.startDemands(now), s.startDemand(n, due)
	s.operations.Jobs += int64(l.DueAfter(d.Due))
	supply := rate * backlogShare
	shortfall := l.Shortfall(s.startRate.at, d, backlog.Supply{Now: supply, Later: supply, From: now})
	if shortfall <= 0 {
		return nil
	}
	return &Reply{
		Result: Refused, RetryAfter: spreadByID(n.ID, min(max(time.Duration(shortfall/rate*float64(time.Second)), minRetryAfter), maxRetryAfter)), Cause: CauseOverload,
		Reason: fmt.Sprintf("would be late: the owner is nearly out of processor, and %.0f runs more than the %.0f a second that it can start are due in time", shortfall, rate),
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// spreadByID lengthens or shortens a retry delay by up to retrySpread, so that refused jobs do not return all at once.
func spreadByID(id string, wait time.Duration) time.Duration {
	const steps = 1000
	x := float64(xxhash.Sum64String(id)%steps)/steps*2 - 1
	return time.Duration(float64(wait) * (1 + retrySpread*x))
}
