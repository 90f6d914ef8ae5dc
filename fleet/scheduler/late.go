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
	// lateWorkShare is the share of a pool's present capacity that late jobs may fill together with all others. The rest covers
	// estimates that are too low. VMs that may still come do not count, since a flood of several pools needs them all.
	lateWorkShare = 0.6
	// lateReserve is the share of a pool's processors that late tasks leave free. Tasks are not interrupted, so that arrivals
	// that can be on time would otherwise wait for a late task to end.
	lateReserve = 0.25
)

// lateDue returns the time after which the result of a job is of no use.
func (s *Scheduler) lateDue(j *job.Job) time.Time {
	return j.AcceptedAt.Add(lateFactor * s.targetDuration(j))
}

// admitsLate reports whether a job that cannot finish within its target duration is accepted, and marks it as late then. It
// runs after all work that can be on time, so it is accepted if it and all accepted jobs can finish while their results are
// of use. A burst of a few seconds is then worked off after its end instead of being refused.
func (s *Scheduler) admitsLate(n *job.Job, pool string, supply backlog.Supply, now time.Time) bool {
	if !s.limits.ServeLate || n.Excess {
		return false
	}
	supply.Now, supply.Later = supply.Now*lateWorkShare, supply.Now*lateWorkShare
	d := backlog.Demand{Due: s.lateDue(n), Work: n.Work() * s.durationRatio(n.Queue)}
	x := s.lateDemands(pool, now)
	if !backlog.Fits(now, x.demands, d, supply) {
		return false
	}
	x.add(d)
	n.Late = true
	return true
}

// lateDemands are the demands of the finite jobs of a pool, sorted by due time, as computed at the time at. Each counts with
// the time by which it has to be done: its target while it can be met, otherwise the time after which its result is of no use.
type lateDemands struct {
	at      time.Time
	demands []backlog.Demand
}

func (x *lateDemands) add(d backlog.Demand) {
	i, _ := slices.BinarySearchFunc(x.demands, d, backlog.CompareDue)
	x.demands = slices.Insert(x.demands, i, d)
}

// addLateDemand adds a job that was accepted to be on time.
func (s *Scheduler) addLateDemand(pool string, d backlog.Demand) {
	if x := s.lateDemandCache[pool]; x != nil {
		x.add(d)
	}
}

// lateDemands returns the demands of the finite jobs that a pool has accepted, at most cacheLifetime old. Work beyond the
// allowance of its workspace comes after late work and is left out.
func (s *Scheduler) lateDemands(pool string, now time.Time) *lateDemands {
	x := s.lateDemandCache[pool]
	if x != nil && now.Sub(x.at) <= cacheLifetime {
		return x
	}
	x = &lateDemands{at: now}
	for _, j := range s.active {
		if j.job.Scheduled() || j.job.LongRunning() || j.job.Excess || s.poolOf(j) != pool {
			continue
		}
		due := j.job.AcceptedAt.Add(s.targetDuration(j.job))
		if j.job.Late || !due.After(now) {
			due = s.lateDue(j.job)
		}
		x.demands = append(x.demands, backlog.Demand{Due: due, Work: s.cachedRemainingWork(j, now)})
	}
	slices.SortFunc(x.demands, backlog.CompareDue)
	s.lateDemandCache[pool] = x
	return x
}

// lateRoom is what late tasks have left of a pool in a pass, in thousandths of a core.
type lateRoom struct {
	free, total int64
}

// takeLateRoom reports whether a late task may be placed in a pool with the servers l, and counts it then. In a pool that is at
// most half full any may, so that a large task does not wait for ever in a small pool. Steps of late jobs
// come after all others that can be on time, which are placed by then.
func (s *Scheduler) takeLateRoom(pool string, l []*serverState, d job.Size) bool {
	r := s.lateRooms[pool]
	if r == nil {
		r = &lateRoom{}
		for _, v := range l {
			r.free += max(v.free().CPU, 0)
			r.total += v.info.Capacity.CPU
		}
		s.lateRooms[pool] = r
	}
	if r.free-d.CPU < int64(lateReserve*float64(r.total)) && r.free < r.total/2 {
		return false
	}
	r.free -= d.CPU
	return true
}
