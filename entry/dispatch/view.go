package dispatch

import (
	"maps"
	"slices"

	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/health"
)

// Unwell lists the VMs that this entry's requests found not to be well.
func (d *Dispatcher) Unwell() map[string]bool {
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
	Name    string            `json:"name"`
	Load    admission.Load    `json:"load"`
	Granted int               `json:"granted"`
	Lend    bool              `json:"lend"`
	Out     map[string]string `json:"out"`
	Barred  []string          `json:"barred"`
	VMs     []string          `json:"vms"`
}

// View describes all pools, sorted by name.
func (d *Dispatcher) View() []PoolView {
	l := []PoolView{}
	for _, t := range d.tables() {
		t.lock.Lock()
		v := PoolView{Name: t.name, Load: t.admission.Load(), Granted: t.division.Own.Slots(), Lend: t.division.MayBorrow, Out: map[string]string{}}
		v.VMs = slices.Sorted(maps.Keys(t.vms))
		for n, s := range t.health.Unhealthy() {
			v.Out[n] = s.String()
		}
		for _, n := range v.VMs {
			if t.barred[n] {
				v.Barred = append(v.Barred, n)
			}
		}
		for n := range t.leaving {
			if _, ok := t.vms[n]; ok {
				v.Out[n] = health.Leaving.String()
			}
		}
		t.lock.Unlock()
		l = append(l, v)
	}
	return l
}
