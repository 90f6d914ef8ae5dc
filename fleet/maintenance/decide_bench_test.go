package maintenance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{50, 650, 1300} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			s := newFleetState(2)
			pools := max(n*210/1300, 5)
			for i := range n {
				p := s.Pools[fmt.Sprintf("pool-%03d", i%pools)]
				p.Name = fmt.Sprintf("pool-%03d", i%pools)
				p.MaxDown = 2
				v := vm.VM{Name: fmt.Sprintf("vm-%04d", i), Rack: fmt.Sprintf("r%d", i/4), Pool: p.Name, HomePool: p.Name, Slots: 8}
				p.VMs = append(p.VMs, v)
				s.Pools[p.Name] = p
				s.VMStates[v.Name] = vm.State{MaintainedAt: now.Add(-time.Hour)}
				s.Observations[v.Name] = healthy
			}
			b.ReportAllocs()
			for b.Loop() {
				maintenance.Decide(now, s)
			}
		})
	}
}
