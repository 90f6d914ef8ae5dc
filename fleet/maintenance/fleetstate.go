package maintenance

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Defaults of the maintenance rules.
const (
	DefaultPeriod       = 12 * 24 * time.Hour
	DefaultDrain        = 10 * time.Second
	DefaultRebootLimit  = 5 * time.Minute
	DefaultHalt         = time.Hour
	DefaultStay         = 10 * time.Minute
	DefaultDemandMemory = time.Minute
)

// Rules are the settings for maintenance and for lending VMs.
type Rules struct {
	// Period is the time between two maintenances of a VM; 0 disables maintenance.
	Period time.Duration
	// Drain is how long a VM is drained before it is rebooted.
	Drain time.Duration
	// RebootLimit is how long a reboot may take before the VM counts as failed.
	RebootLimit time.Duration
	// Halt is how long a pool's rolling maintenance is halted after a VM failed to come back.
	Halt time.Duration
	// Stay is how long a lent VM stays at least.
	Stay time.Duration
	// DemandMemory is the time over which demand is averaged.
	DemandMemory time.Duration
	// QuietFrom and QuietTo are hours of the day in UTC between which no maintenance starts. Equal values disable
	// the quiet hours.
	QuietFrom int
	QuietTo   int
}

// NewRules converts rules of the schema and sets defaults for absent fields. If m is nil, maintenance is disabled.
func NewRules(m *schema.Maintenance) Rules {
	if m == nil {
		return Rules{Stay: DefaultStay, DemandMemory: DefaultDemandMemory}
	}
	r := Rules{
		Period: DefaultPeriod, Drain: DefaultDrain, RebootLimit: DefaultRebootLimit, Halt: DefaultHalt, Stay: DefaultStay, DemandMemory: DefaultDemandMemory,
		QuietFrom: int(m.QuietFrom), QuietTo: int(m.QuietTo),
	}
	if m.Period != nil {
		r.Period = m.Period.AsDuration()
	}
	if m.Drain != nil {
		r.Drain = m.Drain.AsDuration()
	}
	if m.RebootLimit != nil {
		r.RebootLimit = m.RebootLimit.AsDuration()
	}
	if m.Halt != nil {
		r.Halt = m.Halt.AsDuration()
	}
	if m.Stay != nil {
		r.Stay = m.Stay.AsDuration()
	}
	if m.DemandMemory != nil {
		r.DemandMemory = m.DemandMemory.AsDuration()
	}
	return r
}

// quiet reports whether the time is within the quiet hours, which may span midnight.
func (r Rules) quiet(t time.Time) bool {
	h := t.UTC().Hour()
	if r.QuietFrom <= r.QuietTo {
		return h >= r.QuietFrom && h < r.QuietTo
	}
	return h >= r.QuietFrom || h < r.QuietTo
}

// Observation is the observed condition of a VM; the zero value means that nothing is known of it.
type Observation struct {
	// Running reports that the platform lists the VM as running.
	Running bool
	// Reachable reports that requests have not found the VM unhealthy.
	Reachable bool
	// BootID identifies the VM's last boot.
	BootID string
}

// Healthy reports whether the VM is known to be running and reachable.
func (s Observation) Healthy() bool {
	return s.Running && s.Reachable
}

// PoolState is the state of a pool's rolling maintenance. Messages to operators call it a wave; it is unrelated to the
// platform's maintenance waves in package wave.
type PoolState struct {
	// Width is how many VMs may be in maintenance at once; 0 counts as 1.
	Width int
	// HaltedUntil is when halted maintenance continues, Reason why it was halted.
	HaltedUntil time.Time
	Reason      string
	// Paused reports that an operator paused the maintenance.
	Paused bool
}

// NewPoolState converts a pool state of the schema.
func NewPoolState(m *schema.PoolState) PoolState {
	s := PoolState{Width: int(m.Width), Reason: m.Reason, Paused: m.Paused}
	if m.HaltedUntilUnixMs > 0 {
		s.HaltedUntil = time.UnixMilli(m.HaltedUntilUnixMs)
	}
	return s
}

// Schema converts the state of the named pool to the schema.
func (s PoolState) Schema(name string) *schema.PoolState {
	m := &schema.PoolState{Name: name, Width: int32(s.Width), Reason: s.Reason, Paused: s.Paused}
	if !s.HaltedUntil.IsZero() {
		m.HaltedUntilUnixMs = s.HaltedUntil.UnixMilli()
	}
	return m
}

// FleetState is the complete input of a decision.
type FleetState struct {
	Rules        Rules
	Pools        map[string]pool.Pool
	PoolStates   map[string]PoolState
	VMStates     map[string]vm.State
	Observations map[string]Observation
	// Demand is the demand for each pool, in slots, averaged over Rules.DemandMemory.
	Demand map[string]int
	// ForecastDemand is the peak demand forecast for each pool, in slots.
	ForecastDemand map[string]int
}

// peakDemand returns the higher of the pool's current and forecast demand, in slots.
func (s *FleetState) peakDemand(pool string) int {
	return max(s.Demand[pool], s.ForecastDemand[pool])
}

// Down counts the pool's VMs that are down, whether planned or not.
func (s *FleetState) Down(pool string) int {
	n := 0
	for _, v := range s.Pools[pool].VMs {
		if s.IsDown(v.Name) {
			n++
		}
	}
	return n
}

// IsDown reports whether the VM is out of service, whether planned or not. A VM without an observation counts as down.
func (s *FleetState) IsDown(name string) bool {
	return !s.VMStates[name].Phase.Serves() || !s.Observations[name].Healthy()
}

// PlannedDown counts the pool's VMs that are out of service by decision of the controller or an operator.
func (s *FleetState) PlannedDown(pool string) int {
	n := 0
	for _, v := range s.Pools[pool].VMs {
		if s.isPlannedDown(v.Name) {
			n++
		}
	}
	return n
}

func (s *FleetState) isPlannedDown(name string) bool {
	switch s.VMStates[name].Phase {
	case vm.Draining, vm.Rebooting, vm.Held:
		return true
	default:
		return false
	}
}

func (s *FleetState) poolNames() []string {
	return slices.Sorted(maps.Keys(s.Pools))
}
