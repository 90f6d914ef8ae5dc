package tarragond

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/platform"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/service"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

const (
	// maxListAge is the age beyond which the platform's list of VMs isn't used for maintenance decisions.
	maxListAge = 5 * time.Second
	// forecastHorizon is how far ahead the peak demand is forecast, and so how early a VM is lent or kept for it.
	forecastHorizon = time.Hour
	// isolationTimeout is how long an entry hears from neither a peer nor the platform before it considers itself isolated.
	isolationTimeout = 3 * time.Second
)

// Observe returns the configuration and the fleet's state for the controller. It returns false if there is no configuration
// or the platform's list of VMs is too old.
func (e *Entry) Observe(ctx context.Context) (*config.Snapshot, maintenance.FleetState, bool) {
	c := e.active.Current()
	_, at := e.watcher.Machines()
	if c == nil || time.Since(at) > maxListAge {
		return nil, maintenance.FleetState{}, false
	}
	s := e.FleetState(c)
	e.probeRebooted(ctx, c, s)
	return c, s, true
}

// FleetState returns the configured state combined with the platform's list of VMs, the health that requests observed, and
// the average and forecast demand. If the watcher's list is older than maxListAge, it requests a new one; all VMs count as
// down if that fails.
func (e *Entry) FleetState(c *config.Snapshot) maintenance.FleetState {
	s := c.MaintenanceState()
	l, at := e.watcher.Machines()
	if time.Since(at) > maxListAge {
		l, _ = e.platform.Machines(context.Background())
	}
	s.Observations = maintenance.Observe(toMaintenanceMachines(l), c.VMs, e.dispatcher.Unhealthy())
	now := time.Now()
	s.Demand = e.averageDemand.update(now, c.MaintenanceRules.DemandMemory, e.sumDemand())
	s.ForecastDemand = map[string]int{}
	for n := range c.Pools {
		s.ForecastDemand[n] = e.demandProfile.PeakDemand(now, n, forecastHorizon)
	}
	return s
}

// RecordDemand adds the average demand in the state to the daily demand profile.
func (e *Entry) RecordDemand(s maintenance.FleetState) {
	now := time.Now()
	for n, d := range s.Demand {
		e.demandProfile.Observe(now, n, d)
	}
}

// toMaintenanceMachines converts the platform's list of VMs.
func toMaintenanceMachines(l []platform.Machine) []maintenance.ListedVM {
	r := make([]maintenance.ListedVM, 0, len(l))
	for _, m := range l {
		r = append(r, maintenance.ListedVM{Name: m.Name, Address: m.Address, Leaving: m.Leaving, BootID: m.BootID})
	}
	return r
}

// probeRebooted probes the VMs that run again after a reboot, since no request goes to them that would show whether they are
// reachable.
func (e *Entry) probeRebooted(ctx context.Context, c *config.Snapshot, s maintenance.FleetState) {
	for n, x := range c.VMStates {
		if x.Phase != vm.Rebooting && x.Phase != vm.Failed || !s.Observations[n].Running || s.Observations[n].BootID == x.BootID {
			continue
		}
		v := s.Observations[n]
		v.Reachable = e.backend.Probe(ctx, c.VMs[n], service.DefaultHealthPath)
		s.Observations[n] = v
	}
}

// sumDemand returns the sum of all entries' demand for each pool, in slots.
func (e *Entry) sumDemand() map[string]int {
	m := map[string]int{}
	for _, x := range e.node.WorkSharers() {
		for _, d := range x.Row.Body.Demands {
			m[d.Pool] += int(d.Demand)
		}
	}
	return m
}

// demandAverage is an exponential moving average of demand by pool. Averaging keeps short bursts from moving VMs.
type demandAverage struct {
	lock   sync.Mutex
	last   time.Time
	values map[string]float64
}

// update adds the demand m to the average, with memory as the time constant, and returns the rounded average. Demand of pools
// that m lacks decays.
func (a *demandAverage) update(now time.Time, memory time.Duration, m map[string]int) map[string]int {
	a.lock.Lock()
	defer a.lock.Unlock()
	weight := min(now.Sub(a.last).Seconds()/memory.Seconds(), 1)
	if a.values == nil {
		a.values = map[string]float64{}
		weight = 0
	}
	a.last = now
	for n, d := range m {
		a.values[n] += weight * (float64(d) - a.values[n])
	}
	r := map[string]int{}
	for n, v := range a.values {
		if _, ok := m[n]; !ok {
			a.values[n] = v * (1 - weight)
		}
		r[n] = int(a.values[n] + 0.5)
	}
	return r
}

// isolated reports whether the entry has heard from neither a peer nor the platform for isolationTimeout.
func (e *Entry) isolated(now time.Time) bool {
	if now.Sub(e.watcher.LastContact()) < isolationTimeout {
		return false
	}
	for _, m := range e.node.Members() {
		if m.Name() != e.settings.Name && now.Sub(m.LastHeard) < isolationTimeout {
			return false
		}
	}
	return true
}
