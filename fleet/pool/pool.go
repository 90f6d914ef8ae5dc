package pool

import (
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Pool is a set of VMs with a disruption budget.
type Pool struct {
	Name string
	// MaxDown is how many VMs may be down when maintenance or an operator takes one out of service; failed VMs count.
	MaxDown int
	// MaxDownPerDataCentre and MaxDownPerRack limit the same per data centre and per rack; 0 means no limit.
	MaxDownPerDataCentre int
	MaxDownPerRack       int
	// Spare marks the pool whose VMs are lent to other pools.
	Spare bool
	VMs   []vm.VM
}

// New converts a pool of the schema. If its MaxDown is 0, MaxDown is MaxDownShare of the pool's VMs, rounded down.
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

// Slots returns how many requests the pool's VMs can process concurrently.
func (p Pool) Slots() int {
	n := 0
	for _, v := range p.VMs {
		n += v.Slots
	}
	return n
}

// WithinBudget reports whether the budget permits all VMs for which down returns true to be out of service at once.
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

// allAtMost reports whether no count exceeds the limit; a limit of 0 means no limit.
func allAtMost(m map[string]int, limit int) bool {
	for _, n := range m {
		if limit > 0 && n > limit {
			return false
		}
	}
	return true
}
