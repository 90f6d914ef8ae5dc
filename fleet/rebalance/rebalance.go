package rebalance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Policy holds the limits of moves.
type Policy struct {
	// Idle is for how long a VM must have been idle before it is switched off.
	Idle time.Duration
	// Calm is for how long a pool must have had more VMs than it needs before it gives any away to be switched off.
	Calm time.Duration
	// Fill is the part of a pool's cores that work can fill; the rest is lost to packing.
	Fill float64
	// Least is how many VMs a pool keeps.
	Least int
}

// DefaultPolicy suits moves of one to two seconds that cost about as much as a second of a VM.
func DefaultPolicy() Policy {
	return Policy{Idle: 1200 * time.Millisecond, Calm: 1500 * time.Millisecond, Fill: 0.85, Least: 2}
}

// Pool is a pool with what it needs.
type Pool struct {
	Name    string
	Standby bool
	// Cores are what its work asks for, Servers how many VMs at least.
	Cores   float64
	Servers int
	// Surplus is since when the pool has had more VMs than it needs; zero if it has not.
	Surplus time.Time
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
	// Idle is since when nothing has run on it.
	Idle time.Time
}

// Move takes a VM to another pool.
type Move struct {
	VM     string
	From   string
	To     string
	Reason string
}

// site is the state while moves are chosen.
type site struct {
	policy Policy
	now    time.Time
	pools  map[string]*Pool
	vms    []VM
	cores  map[string]float64
	count  map[string]int
	taken  map[string]bool
	barred func(kind, pool string) bool
}

// Decide returns the moves for now; barred says which kinds of VM a pool does not take.
func Decide(now time.Time, y Policy, pools []Pool, vms []VM, barred func(kind, pool string) bool) []Move {
	s := &site{
		policy: y, now: now, pools: map[string]*Pool{}, vms: slices.Clone(vms),
		cores: map[string]float64{}, count: map[string]int{}, taken: map[string]bool{}, barred: barred,
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
	slices.SortFunc(s.vms, func(a, b VM) int { return cmp.Or(a.Idle.Compare(b.Idle), cmp.Compare(a.Name, b.Name)) })
	l := s.grow(pools)
	return append(l, s.shrink(pools)...)
}

// Needed is how many cores a pool should have for what its work asks for.
func Needed(y Policy, cores float64) float64 {
	return cores / y.Fill
}

// lacks is how many cores the pool is short of.
func (s *site) lacks(p *Pool) float64 {
	if p.Standby {
		return 0
	}
	n := Needed(s.policy, p.Cores) - s.cores[p.Name]
	if s.count[p.Name] < p.Servers {
		n = max(n, s.typical())
	}
	return n
}

// typical is how many cores a VM has.
func (s *site) typical() float64 {
	sum := 0.0
	for _, v := range s.vms {
		sum += v.Cores
	}
	return max(sum/float64(max(len(s.vms), 1)), 2*lackIgnored)
}

// lackIgnored is a lack of cores for which no VM is moved.
const lackIgnored = 1.0

// spares says whether the pool can do without a VM of so many cores.
func (s *site) spares(p *Pool, cores float64) bool {
	return p.Standby || s.count[p.Name] > max(s.policy.Least, p.Servers) && -s.lacks(p) >= cores
}

// grow gives VMs to pools that need them, the one that lacks most first.
func (s *site) grow(pools []Pool) []Move {
	l := []Move{}
	for {
		p := s.neediest(pools)
		if p == nil {
			return l
		}
		v := s.donor(p)
		if v == nil {
			p.Cores = math.Min(p.Cores, s.cores[p.Name]*s.policy.Fill)
			p.Servers = min(p.Servers, s.count[p.Name])
			continue
		}
		l = append(l, s.take(v, p.Name, "demand is higher than the pool's VMs"))
	}
}

func (s *site) neediest(pools []Pool) *Pool {
	var found *Pool
	for i := range pools {
		p := &pools[i]
		if s.lacks(p) > lackIgnored && (found == nil || s.lacks(p) > s.lacks(found)) {
			found = p
		}
	}
	return found
}

// donor is the VM that a pool gets: one that is idle in another pool, since that saves a move, else one that is off.
func (s *site) donor(p *Pool) *VM {
	var off *VM
	for i := range s.vms {
		v := &s.vms[i]
		from := s.pools[v.Pool]
		if from == nil || !v.Movable || s.taken[v.Name] || v.Pool == p.Name || s.barred(v.Kind, p.Name) || !s.spares(from, v.Cores) {
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

func (s *site) take(v *VM, to, reason string) Move {
	s.taken[v.Name] = true
	s.cores[v.Pool] -= v.Cores
	s.count[v.Pool]--
	s.cores[to] += v.Cores
	s.count[to]++
	return Move{VM: v.Name, From: v.Pool, To: to, Reason: reason}
}

// shrink switches off VMs that have been idle in pools that have had too many.
func (s *site) shrink(pools []Pool) []Move {
	l := []Move{}
	for i := range s.vms {
		v := &s.vms[i]
		p := s.pools[v.Pool]
		if p == nil || p.Standby || !v.Movable || s.taken[v.Name] || s.now.Sub(v.Idle) < s.policy.Idle {
			continue
		}
		if p.Surplus.IsZero() || s.now.Sub(p.Surplus) < s.policy.Calm || !s.spares(p, v.Cores) {
			continue
		}
		if to := s.standby(pools, v); to != "" {
			l = append(l, s.take(v, to, "idle"))
		}
	}
	return l
}

func (s *site) standby(pools []Pool, v *VM) string {
	for _, p := range pools {
		if p.Standby && !s.barred(v.Kind, p.Name) {
			return p.Name
		}
	}
	return ""
}
