package rebalance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Policy holds the limits of moves.
type Policy struct {
	// MinIdle is for how long a VM must have been idle before it is switched off.
	MinIdle time.Duration
	// MinSurplus is for how long a pool must have had more VMs than it needs before it gives any away to be switched off.
	MinSurplus time.Duration
	// PackingEfficiency is the part of a pool's cores that work can fill; the rest is lost to packing.
	PackingEfficiency float64
	// MinVMs is how many VMs a pool keeps.
	MinVMs int
}

// DefaultPolicy suits moves of one to two seconds that cost about as much as a second of a VM.
func DefaultPolicy() Policy {
	return Policy{MinIdle: 1200 * time.Millisecond, MinSurplus: 1500 * time.Millisecond, PackingEfficiency: 0.85, MinVMs: 2}
}

// Pool is a pool with what it needs.
type Pool struct {
	Name    string
	Standby bool
	// DemandCores are what its work asks for, Servers how many VMs at least.
	DemandCores float64
	MinVMs      int
	// SurplusSince is since when the pool has had more VMs than it needs; zero if it has not.
	SurplusSince time.Time
}

// VM is a VM that may be moved.
type VM struct {
	Name       string
	Pool       string
	DataCentre string
	Kind       string
	Cores      float64
	// Movable says that nothing runs on it and that it is not down or on its way.
	Movable bool
	// IdleSince is since when nothing has run on it.
	IdleSince time.Time
}

// Move takes a VM to another pool.
type Move struct {
	VM     string
	From   string
	To     string
	Reason string
}

// planner is the state while moves are chosen.
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

// Decide returns the moves for now; barred says which kinds of VM a pool does not take.
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

// RequiredCores is how many cores a pool should have for what its work asks for.
func RequiredCores(y Policy, cores float64) float64 {
	return cores / y.PackingEfficiency
}

// shortfall is how many cores the pool is short of.
func (s *planner) shortfall(p *Pool) float64 {
	if p.Standby {
		return 0
	}
	n := RequiredCores(s.policy, p.DemandCores) - s.cores[p.Name]
	if s.count[p.Name] < p.MinVMs {
		n = max(n, s.averageCores())
	}
	return n
}

// averageCores is how many cores a VM has.
func (s *planner) averageCores() float64 {
	sum := 0.0
	for _, v := range s.vms {
		sum += v.Cores
	}
	return max(sum/float64(max(len(s.vms), 1)), 2*minShortfallCores)
}

// minShortfallCores is a lack of cores for which no VM is moved.
const minShortfallCores = 1.0

// canSpare says whether the pool can do without a VM of so many cores.
func (s *planner) canSpare(p *Pool, cores float64) bool {
	return p.Standby || s.count[p.Name] > max(s.policy.MinVMs, p.MinVMs) && -s.shortfall(p) >= cores
}

// grow gives VMs to pools that need them, the one that lacks most first.
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
			p.MinVMs = min(p.MinVMs, s.count[p.Name])
			continue
		}
		l = append(l, s.move(v, p.Name, "demand is higher than the pool's VMs"))
	}
}

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

// donor is the VM that a pool gets: one that is idle in another pool, since that saves a move, else one that is off.
func (s *planner) donor(p *Pool) *VM {
	var off *VM
	for i := range s.vms {
		v := &s.vms[i]
		from := s.pools[v.Pool]
		if from == nil || !v.Movable || s.moved[v.Name] || v.Pool == p.Name || s.excluded(v.Kind, p.Name) || !s.canSpare(from, v.Cores) {
			continue
		}
		if !from.Standby {
			return v
		}
		if off == nil {
			off = v
		}
	}
	return off
}

func (s *planner) move(v *VM, to, reason string) Move {
	s.moved[v.Name] = true
	s.cores[v.Pool] -= v.Cores
	s.count[v.Pool]--
	s.cores[to] += v.Cores
	s.count[to]++
	return Move{VM: v.Name, From: v.Pool, To: to, Reason: reason}
}

// shrink switches off VMs that have been idle in pools that have had too many.
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

func (s *planner) standbyPool(pools []Pool, v *VM) string {
	for _, p := range pools {
		if p.Standby && !s.excluded(v.Kind, p.Name) {
			return p.Name
		}
	}
	return ""
}
