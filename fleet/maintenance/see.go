package maintenance

import (
	"net/netip"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Line is one line of the platform's lagging list of VMs.
type Line struct {
	Name    string
	Address netip.AddrPort
	Leaving bool
	// Boot identifies the VM's last start, empty while it is down.
	Boot string
}

// See joins the list with what requests found. A VM that is not listed, listed at another address
// than the inventory's, or listed twice and not running in both lines, is not seen as running.
func See(l []Line, vms map[string]vm.VM, unwell map[string]bool) map[string]Sight {
	m := map[string]Sight{}
	for _, x := range l {
		v, known := vms[x.Name]
		if !known {
			continue
		}
		s := Sight{Live: x.Boot != "" && !x.Leaving && x.Address == v.Address, Answers: !unwell[x.Name], Boot: x.Boot}
		if y, twice := m[x.Name]; twice {
			s.Live = s.Live && y.Live
		}
		m[x.Name] = s
	}
	return m
}
