package dispatch

import (
	"maps"
	"slices"

	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/health"
)

// Unhealthy returns the set of VMs, over all pools, that this entry's health checks exclude from requests.
func (d *Dispatcher) Unhealthy() map[string]bool {
	m := map[string]bool{}
	for _, p := range d.sortedPools() {
		p.lock.Lock()
		for n := range p.health.Unhealthy() {
			m[n] = true
		}
		p.lock.Unlock()
	}
	return m
}

// PoolView describes one pool as this entry sees it.
type PoolView struct {
	Name string         `json:"name"`
	Load admission.Load `json:"load"`
	// Granted is the number of slots granted to this entry.
	Granted int `json:"granted"`
	// MayBorrow reports whether this entry may also use slots granted to other entries.
	MayBorrow bool `json:"lend"`
	// Unhealthy maps each VM that receives no requests, as it is unhealthy or leaving, to its health state.
	Unhealthy map[string]string `json:"out"`
	// OutOfService are the VMs whose phase allows no new work, sorted.
	OutOfService []string `json:"barred"`
	VMs          []string `json:"vms"`
}

// Pools returns the views of all pools, sorted by name.
func (d *Dispatcher) Pools() []PoolView {
	l := []PoolView{}
	for _, p := range d.sortedPools() {
		p.lock.Lock()
		v := PoolView{Name: p.name, Load: p.admission.Load(), Granted: p.allocation.Own.Slots(), MayBorrow: p.allocation.MayBorrow, Unhealthy: map[string]string{}}
		v.VMs = slices.Sorted(maps.Keys(p.vms))
		for n, s := range p.health.Unhealthy() {
			v.Unhealthy[n] = s.String()
		}
		for _, n := range v.VMs {
			if p.outOfService[n] {
				v.OutOfService = append(v.OutOfService, n)
			}
		}
		for n := range p.leaving {
			if _, ok := p.vms[n]; ok {
				v.Unhealthy[n] = health.Leaving.String()
			}
		}
		p.lock.Unlock()
		l = append(l, v)
	}
	return l
}
