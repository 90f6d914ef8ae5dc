package vm

import (
	"net/netip"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const bytesPerGiB = 1 << 30

// VM is a VM of the inventory, which runs a backend server.
type VM struct {
	Name       string
	DataCentre string
	Rack       string
	Address    netip.AddrPort
	// Pool is the pool that the VM currently serves, HomePool the one that the inventory assigns.
	Pool         string
	HomePool     string
	Processors   int
	MemoryBytes  int64
	Accelerators int
	// Slots is how many requests the VM can process concurrently.
	Slots int
	// Connections is the number of connections stated in the inventory; configuration checks require at least Slots.
	Connections int
}

// New converts a VM of the schema. The address must have been validated; an invalid one becomes the zero value.
func New(m *schema.Vm) VM {
	a, _ := netip.ParseAddrPort(m.Address)
	return VM{
		Name:         m.Name,
		DataCentre:   m.DataCentre,
		Rack:         m.Rack,
		Address:      a,
		Pool:         m.Pool,
		HomePool:     m.Pool,
		Processors:   int(m.Processors),
		MemoryBytes:  m.MemoryGb * bytesPerGiB,
		Accelerators: int(m.Accelerators),
		Slots:        int(m.Slots),
		Connections:  int(m.Connections),
	}
}
