package vm

import (
	"net/netip"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const bytesPerGiB = 1 << 30

// VM is one backend server VM of the inventory.
type VM struct {
	Name       string
	DataCentre string
	Rack       string
	Address    netip.AddrPort
	// Pool is where the VM serves now, Home the pool that the inventory gives it.
	Pool         string
	HomePool     string
	Processors   int
	MemoryBytes  int64
	Accelerators int
	Slots        int
	Connections  int
}

// New converts a VM of the schema, whose address has been checked.
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
