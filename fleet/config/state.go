package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// IsStateSection reports whether a section is written by the controller rather than by operators.
func IsStateSection(name string) bool {
	return strings.HasPrefix(name, stateSectionPrefix)
}

// MaintenanceState returns the part of the input for maintenance decisions that the configuration holds.
func (s *Snapshot) MaintenanceState() maintenance.FleetState {
	return maintenance.FleetState{Rules: s.MaintenanceRules, Pools: s.Pools, PoolStates: s.PoolStates, VMStates: s.VMStates}
}

// ApplyActions returns the encoded state sections that the maintenance actions change, without the states of VMs that are
// not in the inventory. It does not modify the snapshot.
func (s *Snapshot) ApplyActions(l []maintenance.Action) (Sections, error) {
	states := maps.Clone(s.VMStates)
	poolStates := maps.Clone(s.PoolStates)
	touched := map[string]bool{}
	for _, a := range l {
		if a.VM == "" {
			poolStates[a.Pool] = a.PoolState
			touched[poolStatesSection] = true
			continue
		}
		states[a.VM] = a.VMState
		touched[s.stateSectionName(a.VM)] = true
	}
	m := map[string]*schema.Section{}
	for n := range touched {
		m[n] = &schema.Section{}
	}
	for _, n := range slices.Sorted(maps.Keys(states)) {
		if x := m[s.stateSectionName(n)]; x != nil && s.VMs[n].Name != "" {
			x.VmStates = append(x.VmStates, states[n].Schema(n))
		}
	}
	if x := m[poolStatesSection]; x != nil {
		for _, n := range slices.Sorted(maps.Keys(poolStates)) {
			x.PoolStates = append(x.PoolStates, poolStates[n].Schema(n))
		}
	}
	return encodeSections(m)
}

func (s *Snapshot) stateSectionName(name string) string {
	v := s.VMs[name]
	return stateSectionPrefix + v.DataCentre + "/" + v.Rack
}

// Serves reports whether the VM is in a phase in which it may receive requests.
func (s *Snapshot) Serves(v vm.VM) bool {
	return s.VMStates[v.Name].Phase.Serves()
}
