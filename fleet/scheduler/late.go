package scheduler

import (
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/backlog"
	"github.com/tarragonbank/tarragonbank/fleet/job"
)

const (
	// lateFactor is the multiple of its target duration within which the result of a job is still of use.
	lateFactor = 3
	// lateWorkShare is the share of a pool's capacity that late jobs may fill together with all others. The rest covers
	// estimates that are too low.
	lateWorkShare = 0.8
)

// lateDue returns the time after which the result of a job is of no use.
func (s *Scheduler) lateDue(j *job.Job) time.Time {
	return j.AcceptedAt.Add(lateFactor * s.targetDuration(j))
}

// admitsLate reports whether a job that cannot finish within its target duration is accepted, and marks it as late then. It
// runs after all work that can be on time, so it is accepted if it and all accepted jobs can finish while their results are
// of use. A burst of a few seconds is then worked off after its end instead of being refused.
func (s *Scheduler) admitsLate(n *job.Job, pool string, supply backlog.Supply, now time.Time) bool {
	if !s.limits.ServeLate {
		return false
	}
	supply.Now, supply.Later = supply.Now*lateWorkShare, supply.Later*lateWorkShare
	d := backlog.Demand{Due: s.lateDue(n), Work: n.Work() * s.durationRatio(n.Queue)}
	x := s.lateDemands(pool, now)
	if !backlog.Fits(now, x.demands, d, supply) {
		return false
	}
	x.add(d)
	n.Late = true
	return true
}

// lateDemands returns the remaining work of all finite jobs of a pool, at most cacheLifetime old, each with the time by which
// it has to be done: its target while it can be met, otherwise the time after which its result is of no use.
func (s *Scheduler) lateDemands(pool string, now time.Time) *cachedDemands {
	x := s.poolLateDemandCache[pool]
	if x != nil && now.Sub(x.at) <= cacheLifetime {
		return x
	}
	x = &cachedDemands{at: now}
	for _, j := range s.active {
		if j.job.Scheduled() || j.job.LongRunning() || s.poolOf(j) != pool {
			continue
		}
		due := j.job.AcceptedAt.Add(s.targetDuration(j.job))
		if j.job.Late || !due.After(now) {
			due = s.lateDue(j.job)
		}
		x.demands = append(x.demands, backlog.Demand{Due: due, Work: s.cachedRemainingWork(j, now)})
	}
	slices.SortFunc(x.demands, backlog.CompareDue)
	s.poolLateDemandCache[pool] = x
	return x
}
