package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Pools returns the capacity and the demand of each pool, sorted by name.
func (s *Scheduler) Pools(now time.Time) Reply {
	m := map[string]*schema.PoolStatus{}
	status := func(name string) *schema.PoolStatus {
		if m[name] == nil {
			m[name] = &schema.PoolStatus{Name: name}
		}
		return m[name]
	}
	if s.table != nil {
		for n := range s.table.Pools {
			status(n)
		}
	}
	for _, v := range s.servers {
		if v.exists() {
			v.addTo(status(v.info.Pool), now)
		}
	}
	for n, x := range s.PoolNeeds(now) {
		status(n).CoresNeeded = x.Cores
	}
	for _, j := range s.active {
		status(s.poolOf(j)).TasksWaiting += j.status().Waiting
	}
	l := []*schema.PoolStatus{}
	for _, p := range m {
		l = append(l, p)
	}
	slices.SortFunc(l, func(a, b *schema.PoolStatus) int { return cmp.Compare(a.Name, b.Name) })
	return Reply{Result: Done, Pools: l}
}

// addTo adds the server to the status of its pool.
func (v *serverState) addTo(p *schema.PoolStatus, now time.Time) {
	p.Servers++
	p.Cores += float64(v.info.Capacity.CPU) / milliPerCore
	p.CoresUsed += float64(v.used.CPU) / milliPerCore
	p.TasksRunning += int32(len(v.runs))
	if v.usable(now) && !v.health.isSuspect(now) {
		p.Usable++
	}
	if !v.reachable || now.Sub(v.listedAt) >= listingTimeout {
		p.Silent++
	}
}
