package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Pools tells what each pool has and what its work asks for.
func (s *Scheduler) Pools(now time.Time) Reply {
	m := map[string]*schema.PoolStatus{}
	of := func(name string) *schema.PoolStatus {
		if m[name] == nil {
			m[name] = &schema.PoolStatus{Name: name}
		}
		return m[name]
	}
	if s.table != nil {
		for n := range s.table.Pools {
			of(n)
		}
	}
	for _, v := range s.servers {
		if v.there() {
			v.addTo(of(v.info.Pool), now)
		}
	}
	for n, x := range s.Needs(now) {
		of(n).CoresNeeded = x.Cores
	}
	for _, j := range s.active {
		of(s.poolOf(j)).TasksWaiting += j.status().Waiting
	}
	l := []*schema.PoolStatus{}
	for _, p := range m {
		l = append(l, p)
	}
	slices.SortFunc(l, func(a, b *schema.PoolStatus) int { return cmp.Compare(a.Name, b.Name) })
	return Reply{Result: Done, Pools: l}
}

// addTo adds the server to its pool's figures.
func (v *serverState) addTo(p *schema.PoolStatus, now time.Time) {
	p.Servers++
	p.Cores += float64(v.info.Capacity.CPU) / milli
	p.CoresUsed += float64(v.used.CPU) / milli
	p.TasksRunning += int32(len(v.runs))
	if v.usable(now) {
		p.Usable++
	}
	if !v.reachable || now.Sub(v.heard) >= silence {
		p.Silent++
	}
}
