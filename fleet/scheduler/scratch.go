package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/reservation"
)

// scratch returns a copy of the scheduler on which a job of a queue can be submitted and placed in a pool without any effect
// on s. Jobs and servers are copied one level deep, so the copy must not change the tasks and runs of s.
func (s *Scheduler) scratch(queue, pool string, now time.Time) *Scheduler {
	c := *s
	c.dirtyJobs, c.loggedEnds, c.removedJobs, c.orders = nil, nil, nil, Orders{}
	c.waiting.steps, c.startRate.demands = slices.Clone(s.waiting.steps), nil
	c.serversChanged()
	c.jobs, c.active, c.activeOf = maps.Clone(s.jobs), make(map[string]*jobState, len(s.active)+1), map[string]map[string]*jobState{}
	c.scheduled, c.finite = map[string]*jobState{}, map[string]map[string]*jobState{}
	c.pendingJobs, c.ended = maps.Clone(s.pendingJobs), endedJobs{}
	for id, j := range s.active {
		x := *j
		c.activate(&x)
		c.jobs[id] = &x
	}
	c.usage = s.usage.Clone()
	// Each pass makes its reservations anew.
	c.books, c.heldServers = map[string]*reservation.Book{}, nil
	c.servers = make(map[string]*serverState, len(s.servers))
	for id, v := range s.servers {
		x := *v
		x.usage = c.usage
		if v.info.Pool == pool {
			x.runs, x.runsOf = maps.Clone(v.runs), maps.Clone(v.runsOf)
		}
		c.servers[id] = &x
	}
	c.unplacedAt, c.poolCores = maps.Clone(s.unplacedAt), maps.Clone(s.poolCores)
	c.poolDemandCache = maps.Clone(s.poolDemandCache)
	if x := s.poolDemandCache[pool]; x != nil {
		c.poolDemandCache[pool] = x.clone()
	}
	s.copyShares(&c, pool, now)
	c.rates = maps.Clone(s.rates)
	if x := s.rates[queue]; x != nil {
		a := *x
		a.rate, a.firstSeen = x.rate.Clone(), maps.Clone(x.firstSeen)
		c.rates[queue] = &a
	}
	return &c
}

// copyShares copies the accounts of the workspaces that a submission to the pool changes.
func (s *Scheduler) copyShares(c *Scheduler, pool string, now time.Time) {
	c.allowances, c.offered, c.allocations, c.shares = s.allowances.Clone(now), maps.Clone(s.offered), maps.Clone(s.allocations), maps.Clone(s.shares)
	if p, ok := s.shares[pool]; ok {
		c.shares[pool] = poolShares{p.guaranteed.Clone(), p.all.Clone()}
	}
	c.capDemandCache, c.totals = map[string]capDemands{}, poolTotals{}
	c.refusals = make(map[string]map[Cause]int64, len(s.refusals))
	for n, m := range s.refusals {
		c.refusals[n] = maps.Clone(m)
	}
}
