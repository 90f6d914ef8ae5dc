package maintenance

import (
	"net/netip"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Machine is one line of the platform's lagging list of VMs.
type Machine struct {
	Name    string
	Address netip.AddrPort
	Leaving bool
	// BootID identifies the VM's last start, empty while it is down.
	BootID string
}

// Observe joins the list with what requests found. A VM that is not listed, listed at another address
// than the inventory's, or listed twice and not running in both lines, is not seen as running.
func Observe(l []Machine, vms map[string]vm.VM, unwell map[string]bool) map[string]Observation {
	m := map[string]Observation{}
	for _, x := range l {
		v, known := vms[x.Name]
		if !known {
			continue
		}
		s := Observation{Running: x.BootID != "" && !x.Leaving && x.Address == v.Address, Reachable: !unwell[x.Name], BootID: x.BootID}
		if y, twice := m[x.Name]; twice {
			s.Running = s.Running && y.Running
		}
		m[x.Name] = s
	}
	return m
}
