package maintenance

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Defaults of the rules that an operator may leave out.
const (
	DefaultPeriod       = 12 * 24 * time.Hour
	DefaultDrain        = 10 * time.Second
	DefaultRebootLimit  = 5 * time.Minute
	DefaultHalt         = time.Hour
	DefaultStay         = 10 * time.Minute
	DefaultDemandMemory = time.Minute
)

// Rules say how VMs are maintained and lent.
type Rules struct {
	Period       time.Duration
	Drain        time.Duration
	RebootLimit  time.Duration
	Halt         time.Duration
	Stay         time.Duration
	DemandMemory time.Duration
	QuietFrom    int
	QuietTo      int
}

// NewRules converts rules of the schema and fills in defaults; without rules nothing is maintained.
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

// quiet says whether nothing new begins at the time.
func (r Rules) quiet(t time.Time) bool {
	h := t.UTC().Hour()
	if r.QuietFrom <= r.QuietTo {
		return h >= r.QuietFrom && h < r.QuietTo
	}
	return h >= r.QuietFrom || h < r.QuietTo
}

// Observation is what is seen of a VM now; the zero value is a VM of which nothing is known.
type Observation struct {
	// Running says that the platform lists the VM as running.
	Running bool
	// Reachable says that entries reach it.
	Reachable bool
	// BootID identifies the VM's last start.
	BootID string
}

// Healthy says that the VM is known to be well; what is unknown counts as down.
func (s Observation) Healthy() bool {
	return s.Running && s.Reachable
}

// PoolState is how far a pool's maintenance has come.
type PoolState struct {
	Width       int
	HaltedUntil time.Time
	Reason      string
	Paused      bool
}

// NewPoolState converts a wave of the schema.
func NewPoolState(m *schema.PoolState) PoolState {
	w := PoolState{Width: int(m.Width), Reason: m.Reason, Paused: m.Paused}
	if m.HaltedUntilUnixMs > 0 {
		w.HaltedUntil = time.UnixMilli(m.HaltedUntilUnixMs)
	}
	return w
}

// Schema converts the wave back.
func (w PoolState) Schema(name string) *schema.PoolState {
	m := &schema.PoolState{Name: name, Width: int32(w.Width), Reason: w.Reason, Paused: w.Paused}
	if !w.HaltedUntil.IsZero() {
		m.HaltedUntilUnixMs = w.HaltedUntil.UnixMilli()
	}
	return m
}

// FleetState is all that a decision rests on.
type FleetState struct {
	Rules        Rules
	Pools        map[string]pool.Pool
	PoolStates   map[string]PoolState
	VMStates     map[string]vm.State
	Observations map[string]Observation
	// Demand is the slots that each pool is asked for, averaged over some minutes.
	Demand map[string]int
	// Expected is the most that each pool will be asked for soon.
	Expected map[string]int
}

// peakDemand is what the pool is asked for now or soon, in slots.
func (s *FleetState) peakDemand(pool string) int {
	return max(s.Demand[pool], s.Expected[pool])
}

// Down counts the pool's VMs that do not serve, for whatever reason.
func (s *FleetState) Down(pool string) int {
	n := 0
	for _, v := range s.Pools[pool].VMs {
		if s.IsDown(v.Name) {
			n++
		}
	}
	return n
}

// IsDown says whether the VM does not serve, for whatever reason; what is unknown is down.
func (s *FleetState) IsDown(name string) bool {
	return !s.VMStates[name].Phase.Serves() || !s.Observations[name].Healthy()
}

// PlannedDown counts the pool's VMs that are down by our doing.
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
