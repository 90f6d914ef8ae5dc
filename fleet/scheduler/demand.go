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
// holds those of the jobs within their allowance, excess the others, all both of them. shared holds the demands of all workspaces' jobs,
// sorted by due time.
type cachedDemands struct {
	at                      time.Time
	guaranteed, excess, all *backlog.Demands
	shared                  []demand
}

// newCachedDemands returns the demands of the list.
func newCachedDemands(l []demand, now time.Time) *cachedDemands {
	x := &cachedDemands{at: now}
	guaranteed, excess := make([]backlog.Demand, 0, len(l)), []backlog.Demand{}
	for _, d := range l {
		if d.job.Workspace != "" {
			x.shared = append(x.shared, d)
		}
		if d.job.Excess {
			excess = append(excess, d.Demand)
		} else {
			guaranteed = append(guaranteed, d.Demand)
		}
	}
	slices.SortFunc(x.shared, compareDemands)
	x.guaranteed, x.excess = backlog.NewDemands(guaranteed), backlog.NewDemands(excess)
	return x
}

// acceptedDemands returns the remaining work and due time of each finite job that a pool has accepted, at most
// demandsLifetime old. At the peak of a turn, hundreds of jobs are submitted each second while as many are under way. Compare them with what is
// supplied from the time at which they were computed on.
func (s *Scheduler) acceptedDemands(pool string, now time.Time) *cachedDemands {
	x := s.poolDemandCache[pool]
	if x == nil || now.Sub(x.at) > demandsLifetime {
		l := []demand{}
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
				l = append(l, s.demandOf(j, now))
			}
		}
		x = newCachedDemands(l, now)
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

func compareDemands(a, b demand) int {
	return backlog.CompareDue(a.Demand, b.Demand)
}

// add adds an accepted job to the demands.
func (x *cachedDemands) add(d demand) {
	l := x.guaranteed
	if d.job.Excess {
		l = x.excess
	}
	if d.job.Workspace != "" {
		k, _ := slices.BinarySearchFunc(x.shared, d, compareDemands)
		x.shared = slices.Insert(x.shared, k, d)
	}
	l.Add(d.Demand)
	x.all = nil
}

// competing returns the demands that a new job must not make late. Jobs beyond their allowance count only for one another.
func (x *cachedDemands) competing(n *job.Job) *backlog.Demands {
	if !n.Excess || x.excess.Len() == 0 {
		return x.guaranteed
	}
	if x.all == nil {
		x.all = backlog.NewDemands(slices.Concat(x.guaranteed.List(), x.excess.List()))
	}
	return x.all
}

// demandsLifetime is how long the demands of a pool are reused. They are computed from all tasks of its jobs, which at a peak costs more than
// all else that submissions need.
const demandsLifetime = 100 * time.Millisecond

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
	return &cachedDemands{at: x.at, guaranteed: x.guaranteed.Clone(), excess: x.excess.Clone(), shared: slices.Clone(x.shared)}
}
