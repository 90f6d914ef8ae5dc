package pool

import (
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Pool is a set of VMs with an availability budget.
type Pool struct {
	Name    string
	MaxDown int
	Spare   bool
	VMs     []vm.VM
}

// New converts a pool of the schema with its VMs.
func New(m *schema.Pool, l []vm.VM) Pool {
	return Pool{Name: m.Name, MaxDown: int(m.MaxDown), Spare: m.Spare, VMs: l}
}

// Slots is how many requests the pool's VMs run at once.
func (p Pool) Slots() int {
	n := 0
	for _, v := range p.VMs {
		n += v.Slots
	}
	return n
}
