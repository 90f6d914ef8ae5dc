package scheduler

import (
	"maps"
	"slices"
)

// scratch returns a copy of the scheduler on which a job of a queue can be submitted and placed in a pool without any effect
// on s. Jobs and servers are copied one level deep, so the copy must not change the tasks and runs of s.
func (s *Scheduler) scratch(queue, pool string) *Scheduler {
	c := *s
	c.dirtyJobs, c.removedJobs, c.orders, c.sortedServers = nil, nil, Orders{}, nil
	c.jobs, c.active = maps.Clone(s.jobs), make(map[string]*jobState, len(s.active)+1)
	for id, j := range s.active {
		x := *j
		c.active[id] = &x
		c.jobs[id] = &x
	}
	c.servers = make(map[string]*serverState, len(s.servers))
	for id, v := range s.servers {
		x := *v
		if v.info.Pool == pool {
			x.runs = maps.Clone(v.runs)
		}
		c.servers[id] = &x
	}
	c.advice, c.unplacedAt, c.poolCores = maps.Clone(s.advice), maps.Clone(s.unplacedAt), maps.Clone(s.poolCores)
	c.poolDemandCache = maps.Clone(s.poolDemandCache)
	if x := s.poolDemandCache[pool]; x != nil {
		c.poolDemandCache[pool] = &cachedDemands{at: x.at, demands: slices.Clone(x.demands)}
	}
	c.poolLateDemandCache = maps.Clone(s.poolLateDemandCache)
	if x := s.poolLateDemandCache[pool]; x != nil {
		c.poolLateDemandCache[pool] = &cachedDemands{at: x.at, demands: slices.Clone(x.demands)}
	}
	c.rates = maps.Clone(s.rates)
	if x := s.rates[queue]; x != nil {
		a := *x
		a.firstSeen = maps.Clone(x.firstSeen)
		c.rates[queue] = &a
	}
	return &c
}
