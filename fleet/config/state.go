package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Stateful says whether a section is the controller's rather than the operators'.
func Stateful(name string) bool {
	return strings.HasPrefix(name, sectionState)
}

// Site is what decisions on maintenance rest on, as far as the configuration tells.
func (s *Snapshot) Site() maintenance.FleetState {
	return maintenance.FleetState{Rules: s.Rules, Pools: s.Pools, PoolStates: s.Waves, VMStates: s.States}
}

// Apply works actions into the controller's sections; those that stay the same are left out.
func (s *Snapshot) Apply(l []maintenance.Action) (Sections, error) {
	states := maps.Clone(s.States)
	waves := maps.Clone(s.Waves)
	touched := map[string]bool{}
	for _, a := range l {
		if a.VM == "" {
			waves[a.Pool] = a.PoolState
			touched[sectionWaves] = true
			continue
		}
		states[a.VM] = a.VMState
		touched[s.stateSection(a.VM)] = true
	}
	m := map[string]*schema.Section{}
	for n := range touched {
		m[n] = &schema.Section{}
	}
	for _, n := range slices.Sorted(maps.Keys(states)) {
		if x := m[s.stateSection(n)]; x != nil && s.VMs[n].Name != "" {
			x.VmStates = append(x.VmStates, states[n].Schema(n))
		}
	}
	if x := m[sectionWaves]; x != nil {
		for _, n := range slices.Sorted(maps.Keys(waves)) {
			x.PoolStates = append(x.PoolStates, waves[n].Schema(n))
		}
	}
	return encode(m)
}

func (s *Snapshot) stateSection(name string) string {
	v := s.VMs[name]
	return sectionState + v.DataCentre + "/" + v.Rack
}

// Serves says whether the VM's phase lets it be given work.
func (s *Snapshot) Serves(v vm.VM) bool {
	return s.States[v.Name].Phase.Serves()
}
