package scheduler

import (
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/backlog"
	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// demand is the remaining work and due time of an accepted finite job. amount is set for jobs of workspaces only.
type demand struct {
	backlog.Demand
	amount job.Amount
	job    *job.Job
}

// cachedDemands are the demands of accepted finite jobs as computed at the time at, apart from later additions. guaranteed
// holds those of the jobs within their allowance, excess the others, both sorted by due time. shared holds the demands of
// all workspaces' jobs, sorted by due time as well.
type cachedDemands struct {
	at                 time.Time
	guaranteed, excess []backlog.Demand
	shared             []demand
}

// acceptedDemands returns the remaining work and due time of each finite job that a pool has accepted, at most
// cacheLifetime old. At the peak of a turn, hundreds of jobs are submitted each second while as many are under way.
func (s *Scheduler) acceptedDemands(pool string, now time.Time) *cachedDemands {
	x := s.poolDemandCache[pool]
	if x == nil || now.Sub(x.at) > cacheLifetime {
		x = &cachedDemands{at: now}
		for _, jobs := range s.finite {
			for _, j := range jobs {
				if s.poolOf(j) != pool {
					// The jobs of a queue have the same pool, unless it is no longer configured.
					if s.table.ByName(j.job.Queue) != nil {
						break
					}
					continue
				}
				s.operations.Jobs++
				x.append(s.demandOf(j, now))
			}
		}
		x.sort()
		s.poolDemandCache[pool] = x
	}
	return x
}

// demandOf returns the demand of an accepted finite job.
func (s *Scheduler) demandOf(j *jobState, now time.Time) demand {
	d := demand{Demand: backlog.Demand{Due: j.job.AcceptedAt.Add(s.targetDuration(j.job)), Work: s.cachedRemainingWork(j, now)}, job: j.job}
	if s.usage.Enforced(j.job.Workspace) {
		d.amount = j.cachedAmount
	}
	return d
}

func (x *cachedDemands) append(d demand) {
	if d.job.Workspace != "" {
		x.shared = append(x.shared, d)
	}
	if d.job.Excess {
		x.excess = append(x.excess, d.Demand)
		return
	}
	x.guaranteed = append(x.guaranteed, d.Demand)
}

func (x *cachedDemands) sort() {
	slices.SortFunc(x.guaranteed, backlog.CompareDue)
	slices.SortFunc(x.excess, backlog.CompareDue)
	slices.SortFunc(x.shared, compareDemands)
}

func compareDemands(a, b demand) int {
	return backlog.CompareDue(a.Demand, b.Demand)
}

// add adds an accepted job to the demands.
func (x *cachedDemands) add(d demand) {
	l := &x.guaranteed
	if d.job.Excess {
		l = &x.excess
	}
	if d.job.Workspace != "" {
		k, _ := slices.BinarySearchFunc(x.shared, d, compareDemands)
		x.shared = slices.Insert(x.shared, k, d)
	}
	i, _ := slices.BinarySearchFunc(*l, d.Demand, backlog.CompareDue)
	*l = slices.Insert(*l, i, d.Demand)
}

// competing returns the demands that a new job must not make late, sorted by due time. Jobs beyond their allowance count only
// for one another.
func (x *cachedDemands) competing(n *job.Job) []backlog.Demand {
	if !n.Excess || len(x.excess) == 0 {
		return x.guaranteed
	}
	l := slices.Concat(x.guaranteed, x.excess)
	slices.SortFunc(l, backlog.CompareDue)
	return l
}

// cachedRemainingWork returns the job's remaining work in core-seconds, at most cacheLifetime old. It updates the amounts
// of the other resources for the jobs of workspaces.
func (s *Scheduler) cachedRemainingWork(j *jobState, now time.Time) float64 {
	if now.Sub(j.cachedWorkAt) > cacheLifetime {
		j.cachedWork, j.cachedWorkAt = s.remainingWork(j, now), now
		if s.usage.Enforced(j.job.Workspace) {
			j.cachedAmount = s.remainingAmount(j, now)
		}
	}
	return j.cachedWork
}

// amounts returns the demands that are due by the given time, summed by workspace, with those beyond the allowances if excess
// is true.
func (x *cachedDemands) amounts(due time.Time, excess bool) map[string]job.Amount {
	m := map[string]job.Amount{}
	for _, d := range x.shared {
		if !d.Due.After(due) && (excess || !d.job.Excess) {
			m[d.job.Workspace] = m[d.job.Workspace].Add(d.amount)
		}
	}
	return m
}

// ofResource returns the shared demands for one resource, sorted by due time, with those beyond the allowances if excess is
// true.
func (x *cachedDemands) ofResource(i int, excess bool) []backlog.Demand {
	l := make([]backlog.Demand, 0, len(x.shared))
	for _, d := range x.shared {
		if excess || !d.job.Excess {
			l = append(l, backlog.Demand{Due: d.Due, Work: d.amount.Resources()[i]})
		}
	}
	return l
}

func (x *cachedDemands) clone() *cachedDemands {
	return &cachedDemands{at: x.at, guaranteed: slices.Clone(x.guaranteed), excess: slices.Clone(x.excess), shared: slices.Clone(x.shared)}
}
