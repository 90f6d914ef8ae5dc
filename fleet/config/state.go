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

// ApplyActions applies maintenance actions to the state sections and returns the sections that the actions affect.
func (s *Snapshot) ApplyActions(l []maintenance.Action) (Sections, error) {
	states := maps.Clone(s.VMStates)
	waves := maps.Clone(s.PoolStates)
	touched := map[string]bool{}
	for _, a := range l {
		if a.VM == "" {
			waves[a.Pool] = a.PoolState
			touched[wavesSection] = true
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
	if x := m[wavesSection]; x != nil {
		for _, n := range slices.Sorted(maps.Keys(waves)) {
			x.PoolStates = append(x.PoolStates, waves[n].Schema(n))
		}
	}
	return encodeSections(m)
}

func (s *Snapshot) stateSectionName(name string) string {
	v := s.VMs[name]
	return stateSectionPrefix + v.DataCentre + "/" + v.Rack
}

// Serves reports whether the phase of the VM allows new work.
func (s *Snapshot) Serves(v vm.VM) bool {
	return s.VMStates[v.Name].Phase.Serves()
}
