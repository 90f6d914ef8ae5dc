package maintenance

import (
	"net/netip"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// ListedVM is one record of the platform's VM list, which lags behind the actual state.
type ListedVM struct {
	Name    string
	Address netip.AddrPort
	Leaving bool
	// BootID identifies the VM's last boot, empty while it is down.
	BootID string
}

// Observe combines the platform's list with the VMs that requests found unhealthy. A VM counts as running only if it
// is listed at its address in the inventory, and if listed twice, only if both records show it as running.
func Observe(l []ListedVM, vms map[string]vm.VM, unhealthy map[string]bool) map[string]Observation {
	m := map[string]Observation{}
	for _, x := range l {
		v, known := vms[x.Name]
		if !known {
			continue
		}
		s := Observation{Running: x.BootID != "" && !x.Leaving && x.Address == v.Address, Reachable: !unhealthy[x.Name], BootID: x.BootID}
		if y, twice := m[x.Name]; twice {
			s.Running = s.Running && y.Running
		}
		m[x.Name] = s
	}
	return m
}
