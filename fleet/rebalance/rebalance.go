package rebalance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Policy holds the thresholds for moves.
type Policy struct {
	// MinIdle is how long a VM must have been idle before it is switched off.
	MinIdle time.Duration
	// MinSurplus is how long a pool must have had surplus VMs before any of them is switched off.
	MinSurplus time.Duration
	// PackingEfficiency is the share of a pool's cores, from 0 to 1, that tasks can occupy; the rest is lost to
	// fragmentation.
	PackingEfficiency float64
	// MinVMs is the number of VMs that a pool always keeps.
	MinVMs int
}

// DefaultPolicy returns thresholds for moves that take one to two seconds and cost about as much as one second of a VM.
func DefaultPolicy() Policy {
	return Policy{MinIdle: 1200 * time.Millisecond, MinSurplus: 1500 * time.Millisecond, PackingEfficiency: 0.85, MinVMs: 2}
}

// Pool is a pool and its demand. A standby pool holds VMs that are switched off.
type Pool struct {
	Name    string
	Standby bool
	// DemandCores is the number of cores that the pool's work requests, MinVMs the number of VMs that it needs
	// regardless of their size.
	DemandCores float64
	MinVMs      int
	// SurplusSince is when the pool began to have more VMs than it needs; zero if it has no surplus.
	SurplusSince time.Time
	// HeldCores is the number of cores that the pool keeps although its work may not request them now, see Load.
	HeldCores float64
}

// VM is a VM that may be moved.
type VM struct {
	Name       string
	Pool       string
	DataCentre string
	Kind       string
	Cores      float64
	// Movable reports that no task runs on the VM, and that it is neither down nor being moved.
	Movable bool
	// Drainable reports that only finite tasks run on the VM, so that it is idle soon after it gets no new ones.
	Drainable bool
	// IdleSince is when the last task on the VM ended.
	IdleSince time.Time
}

// Move is the transfer of a VM to another pool, with the reason given to operators.
type Move struct {
	VM     string
	From   string
	To     string
	Reason string
	// Drain is true if the VM still runs tasks and moves when they have ended.
	Drain bool
}

// planner is the working state of one decision: the pools and VMs as they are after the moves chosen so far.
type planner struct {
	policy   Policy
	now      time.Time
	pools    map[string]*Pool
	vms      []VM
	cores    map[string]float64
	count    map[string]int
	moved    map[string]bool
	excluded func(kind, pool string) bool
}

// Decide returns the moves to make now. excluded reports whether a pool does not accept VMs of a kind.
// It lowers the demand of pools that cannot be satisfied, in place.
func Decide(now time.Time, y Policy, pools []Pool, vms []VM, excluded func(kind, pool string) bool) []Move {
	s := &planner{
		policy: y, now: now, pools: map[string]*Pool{}, vms: slices.Clone(vms),
		cores: map[string]float64{}, count: map[string]int{}, moved: map[string]bool{}, excluded: excluded,
	}
	for i := range pools {
		s.pools[pools[i].Name] = &pools[i]
	}
	for _, v := range vms {
		s.cores[v.Pool] += v.Cores
		if v.Cores > 0 {
			s.count[v.Pool]++
		}
	}
	slices.SortFunc(s.vms, func(a, b VM) int { return cmp.Or(a.IdleSince.Compare(b.IdleSince), cmp.Compare(a.Name, b.Name)) })
	l := s.grow(pools)
	return append(l, s.shrink(pools)...)
}

// RequiredCores returns how many cores a pool must have to run work that requests the given number of cores.
func RequiredCores(y Policy, cores float64) float64 {
	return cores / y.PackingEfficiency
}

// shortfall returns how many cores the pool lacks; it is negative if the pool has more than it needs.
func (s *planner) shortfall(p *Pool) float64 {
	if p.Standby {
		return 0
	}
	n := max(RequiredCores(s.policy, p.DemandCores), p.HeldCores) - s.cores[p.Name]
	if s.count[p.Name] < p.MinVMs {
		n = max(n, s.averageCores())
	}
	return n
}

// averageCores returns the average number of cores of a VM, and at least enough to exceed minShortfallCores.
func (s *planner) averageCores() float64 {
	sum := 0.0
	for _, v := range s.vms {
		sum += v.Cores
	}
	return max(sum/float64(max(len(s.vms), 1)), 2*minShortfallCores)
}

// minShortfallCores is the shortfall up to which no VM is moved.
const minShortfallCores = 1.0

// canSpare reports whether the pool meets its demand and its minimum without a VM of the given number of cores.
func (s *planner) canSpare(p *Pool, cores float64) bool {
	return p.Standby || s.count[p.Name] > max(s.policy.MinVMs, p.MinVMs) && -s.shortfall(p) >= cores
}

// grow moves VMs to the pools that are short of cores, one at a time and the largest shortfall first.
func (s *planner) grow(pools []Pool) []Move {
	l := []Move{}
	for {
		p := s.mostShort(pools)
		if p == nil {
			return l
		}
		v := s.donor(p)
		if v == nil {
			p.DemandCores = math.Min(p.DemandCores, s.cores[p.Name]*s.policy.PackingEfficiency)
			p.HeldCores = math.Min(p.HeldCores, s.cores[p.Name])
			p.MinVMs = min(p.MinVMs, s.count[p.Name])
			continue
		}
		l = append(l, s.move(v, p.Name, "demand is higher than the pool's VMs"))
	}
}

// mostShort returns the pool with the largest shortfall, or nil if no shortfall justifies a move.
func (s *planner) mostShort(pools []Pool) *Pool {
	var found *Pool
	for i := range pools {
		p := &pools[i]
		if s.shortfall(p) > minShortfallCores && (found == nil || s.shortfall(p) > s.shortfall(found)) {
			found = p
		}
	}
	return found
}

// donor returns the VM to move to the pool, or nil if there is none: preferably an idle one of another pool, which
// saves the later move to standby, otherwise one that is switched off, and at last one that has to be drained.
func (s *planner) donor(p *Pool) *VM {
	var off, busy *VM
	for i := range s.vms {
		v := &s.vms[i]
		from := s.pools[v.Pool]
		if !from.isStandby() && p.HeldCores > 0 && s.cores[p.Name] >= p.HeldCores && s.count[p.Name] >= p.MinVMs {
			// Moves take too long for the pool to follow its demand, so that it takes no VM that another pool may miss.
			continue
		}
		if from == nil || !v.Movable && !v.Drainable || s.moved[v.Name] || v.Pool == p.Name || s.excluded(v.Kind, p.Name) || !s.canSpare(from, v.Cores) {
			continue
		}
		switch {
		case !v.Movable:
			busy = cmp.Or(busy, v)
		case !from.Standby:
			return v
		default:
			off = cmp.Or(off, v)
		}
	}
	return cmp.Or(off, busy)
}

func (p *Pool) isStandby() bool {
	return p != nil && p.Standby
}

// move records the move of a VM and updates the capacity of both pools.
func (s *planner) move(v *VM, to, reason string) Move {
	s.moved[v.Name] = true
	s.cores[v.Pool] -= v.Cores
	s.count[v.Pool]--
	s.cores[to] += v.Cores
	s.count[to]++
	return Move{VM: v.Name, From: v.Pool, To: to, Reason: reason, Drain: !v.Movable}
}

// shrink switches off VMs that have been idle for MinIdle, in pools that have had a surplus for MinSurplus.
func (s *planner) shrink(pools []Pool) []Move {
	l := []Move{}
	for i := range s.vms {
		v := &s.vms[i]
		p := s.pools[v.Pool]
		if p == nil || p.Standby || !v.Movable || s.moved[v.Name] || s.now.Sub(v.IdleSince) < s.policy.MinIdle {
			continue
		}
		if p.SurplusSince.IsZero() || s.now.Sub(p.SurplusSince) < s.policy.MinSurplus || !s.canSpare(p, v.Cores) {
			continue
		}
		if to := s.standbyPool(pools, v); to != "" {
			l = append(l, s.move(v, to, "idle"))
		}
	}
	return l
}

// standbyPool returns the first standby pool that accepts the VM's kind, or an empty string.
func (s *planner) standbyPool(pools []Pool, v *VM) string {
	for _, p := range pools {
		if p.Standby && !s.excluded(v.Kind, p.Name) {
			return p.Name
		}
	}
	return ""
}
