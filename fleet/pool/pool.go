package pool

import (
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Pool is a set of VMs with an availability budget.
type Pool struct {
	Name string
	// MaxDown is how many VMs may be out of service at once by our doing.
	MaxDown int
	// MaxDownPerDataCentre and MaxDownPerRack bound the VMs of each, 0 for no such bound.
	MaxDownPerDataCentre int
	MaxDownPerRack       int
	Spare                bool
	VMs                  []vm.VM
}

// New converts a pool of the schema with its VMs.
func New(m *schema.Pool, l []vm.VM) Pool {
	p := Pool{
		Name: m.Name, MaxDown: int(m.MaxDown), Spare: m.Spare, VMs: l,
		MaxDownPerDataCentre: int(m.MaxDownPerDataCentre), MaxDownPerRack: int(m.MaxDownPerRack),
	}
	if p.MaxDown == 0 {
		p.MaxDown = int(m.MaxDownShare * float64(len(l)))
	}
	return p
}

// Slots is how many requests the pool's VMs run at once.
func (p Pool) Slots() int {
	n := 0
	for _, v := range p.VMs {
		n += v.Slots
	}
	return n
}

// WithinBudget says whether the budget lets the VMs be down at once for which down says so.
func (p Pool) WithinBudget(down func(name string) bool) bool {
	n := 0
	centres := map[string]int{}
	racks := map[string]int{}
	for _, v := range p.VMs {
		if !down(v.Name) {
			continue
		}
		n++
		centres[v.DataCentre]++
		racks[v.Rack]++
	}
	return n <= p.MaxDown && allAtMost(centres, p.MaxDownPerDataCentre) && allAtMost(racks, p.MaxDownPerRack)
}

func allAtMost(m map[string]int, most int) bool {
	for _, n := range m {
		if most > 0 && n > most {
			return false
		}
	}
	return true
}
