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
	// maxListAge is how old the platform's list may be for decisions to rest on it.
	maxListAge = 5 * time.Second
	// forecastHorizon is how long before it is needed a VM is lent, or kept.
	forecastHorizon = time.Hour
	// isolationTimeout is how long an entry hears nobody before it takes itself as cut off.
	isolationTimeout = 3 * time.Second
)

// Sight is what is known of the site; without a fresh list of VMs it is too little.
func (e *Entry) Sight(ctx context.Context) (*config.Snapshot, maintenance.FleetState, bool) {
	c := e.active.Current()
	_, at := e.watcher.Machines()
	if c == nil || time.Since(at) > maxListAge {
		return nil, maintenance.FleetState{}, false
	}
	s := e.FleetState(c)
	e.probeRebooted(ctx, c, s)
	return c, s, true
}

// FleetState joins the configuration with the platform's list, what requests saw, and demand.
func (e *Entry) FleetState(c *config.Snapshot) maintenance.FleetState {
	s := c.MaintenanceState()
	l, at := e.watcher.Machines()
	if time.Since(at) > maxListAge {
		l, _ = e.platform.Machines(context.Background())
	}
	s.Observations = maintenance.Observe(toMaintenanceMachines(l), c.VMs, e.dispatcher.Unwell())
	now := time.Now()
	s.Demand = e.averageDemand.update(now, c.MaintenanceRules.DemandMemory, e.sumDemand())
	s.Expected = map[string]int{}
	for n := range c.Pools {
		s.Expected[n] = e.demandProfile.PeakDemand(now, n, forecastHorizon)
	}
	return s
}

// Learn takes the demand of now into the profile of the day.
func (e *Entry) Learn(s maintenance.FleetState) {
	now := time.Now()
	for n, d := range s.Demand {
		e.demandProfile.Observe(now, n, d)
	}
}

func toMaintenanceMachines(l []platform.Machine) []maintenance.Machine {
	r := make([]maintenance.Machine, 0, len(l))
	for _, m := range l {
		r = append(r, maintenance.Machine{Name: m.Name, Address: m.Address, Leaving: m.Leaving, BootID: m.BootID})
	}
	return r
}

// probeRebooted asks VMs that come back from a reboot themselves, since no request goes to them.
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

// sumDemand adds up what all entries ask of each pool.
func (e *Entry) sumDemand() map[string]int {
	m := map[string]int{}
	for _, x := range e.node.Sharing() {
		for _, d := range x.Row.Body.Demands {
			m[d.Pool] += int(d.Demand)
		}
	}
	return m
}

// demandAverage forgets old demand slowly, so that short floods move no VM.
type demandAverage struct {
	lock   sync.Mutex
	last   time.Time
	values map[string]float64
}

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

// isolated says whether the entry has heard neither a peer nor the platform for some time.
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
