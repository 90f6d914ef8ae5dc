package dispatch

import (
	"maps"
	"slices"

	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/health"
)

// Unhealthy lists the VMs that this entry's requests found not to be well.
func (d *Dispatcher) Unhealthy() map[string]bool {
	m := map[string]bool{}
	for _, t := range d.tables() {
		t.lock.Lock()
		for n := range t.health.Unhealthy() {
			m[n] = true
		}
		t.lock.Unlock()
	}
	return m
}

// PoolView is one pool as the entry sees it.
type PoolView struct {
	Name         string            `json:"name"`
	Load         admission.Load    `json:"load"`
	Granted      int               `json:"granted"`
	MayBorrow    bool              `json:"lend"`
	Unhealthy    map[string]string `json:"out"`
	OutOfService []string          `json:"barred"`
	VMs          []string          `json:"vms"`
}

// Pools describes all pools, sorted by name.
func (d *Dispatcher) Pools() []PoolView {
	l := []PoolView{}
	for _, t := range d.tables() {
		t.lock.Lock()
		v := PoolView{Name: t.name, Load: t.admission.Load(), Granted: t.division.Own.Slots(), MayBorrow: t.division.MayBorrow, Unhealthy: map[string]string{}}
		v.VMs = slices.Sorted(maps.Keys(t.vms))
		for n, s := range t.health.Unhealthy() {
			v.Unhealthy[n] = s.String()
		}
		for _, n := range v.VMs {
			if t.barred[n] {
				v.OutOfService = append(v.OutOfService, n)
			}
		}
		for n := range t.leaving {
			if _, ok := t.vms[n]; ok {
				v.Unhealthy[n] = health.Leaving.String()
			}
		}
		t.lock.Unlock()
		l = append(l, v)
	}
	return l
}
