package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/health"
	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/retry"
	"github.com/tarragonbank/tarragonbank/fleet/share"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// A VM's latency is high above slowLatencyFactor times the median of its pool plus slowLatencyMargin. The
// latencies are only compared if at least slowLatencyMinVMs VMs have one.
const (
	slowLatencyFactor = 5
	slowLatencyMargin = 50 * time.Millisecond
	slowLatencyMinVMs = 3
)

// poolDispatcher dispatches the requests of one pool; the lock guards all fields that change, except hasQueued.
type poolDispatcher struct {
	name        string
	lock        sync.Mutex
	pool        pool.Pool
	vms         map[string]vm.VM
	admission   *admission.Pool
	health      *health.Table
	retries     *retry.Budget
	leaving     map[string]bool
	probePath   string
	self        string
	sharePolicy share.Policy
	entries     []share.Entry
	// outOfService are the VMs whose phase allows no new work, movable those that may be moved to another
	// pool. cooldownEnds has the VMs that were moved to this pool, with the times when their cooldowns end.
	outOfService map[string]bool
	movable      map[string]bool
	cooldownEnds map[string]time.Time
	isolated     bool
	allocation   share.Allocation
	demand       int
	// hasQueued reports whether requests are queued; it is read without the lock.
	hasQueued atomic.Bool
}

func newPoolDispatcher(name, self string, s share.Policy, p admission.Policy) *poolDispatcher {
	return &poolDispatcher{
		name:        name,
		self:        self,
		sharePolicy: s,
		vms:         map[string]vm.VM{},
		admission:   admission.New(name, admission.WithPolicy(p)),
		health:      health.New(1),
		retries:     retry.New(),
		leaving:     map[string]bool{},
	}
}

// dispatch assigns free slots to queued requests; the lock is held.
func (p *poolDispatcher) dispatch(now time.Time) {
	p.admission.Dispatch(now)
	p.hasQueued.Store(p.admission.Load().Waiting > 0)
}

// reallocate recomputes this entry's allocation of the eligible and reachable VMs; the lock is held.
// Unreachable VMs are left out because the other entries of the data centre mostly can't reach them either.
func (p *poolDispatcher) reallocate(now time.Time) {
	l := []vm.VM{}
	for _, v := range p.pool.VMs {
		if p.eligible(now, v.Name) && p.health.State(v.Name) != health.Unreachable {
			l = append(l, v)
		}
	}
	p.allocation = p.sharePolicy.Allocate(p.self, p.entries, l)
	p.applyAllocation(now)
}

// eligible reports whether the VM may receive requests, apart from its health; the lock is held.
func (p *poolDispatcher) eligible(now time.Time, n string) bool {
	return !p.leaving[n] && !p.outOfService[n] && !now.Before(p.cooldownEnds[n]) && !(p.isolated && p.movable[n])
}

// endCooldowns makes moved VMs whose cooldown has expired eligible; the lock is held.
func (p *poolDispatcher) endCooldowns(now time.Time) {
	for n, u := range p.cooldownEnds {
		if !now.Before(u) {
			delete(p.cooldownEnds, n)
			p.reallocate(now)
		}
	}
}

// applyAllocation passes the allocation and the usable VMs to admission and dispatches; the lock is held.
func (p *poolDispatcher) applyAllocation(now time.Time) {
	p.admission.SetAllocation(p.allocation, p.vms, func(n string) bool { return p.eligible(now, n) && p.health.Usable(n) })
	p.dispatch(now)
}

// observe records a health event and returns the decision to log if it causes a transition; the lock is held.
func (p *poolDispatcher) observe(now time.Time, vm string, e health.Event) (decision.Record, bool) {
	c, ok := p.health.Observe(now, vm, e)
	if !ok {
		return decision.Record{}, false
	}
	if !c.Withheld {
		p.reallocate(now)
	}
	return p.healthDecision(now, c), true
}

func (p *poolDispatcher) healthDecision(now time.Time, c health.Change) decision.Record {
	r := decision.Record{Time: now, Kind: decision.Health, Pool: p.name, VM: c.VM, Reason: c.From.String() + " to " + c.To.String()}
	if c.Withheld {
		r.Reason += " withheld by the pool's ejection limit"
	}
	return r
}

// detectHighLatency records a health event for each VM whose latency is high compared with its pool and
// returns the decisions to log; the lock is held.
func (p *poolDispatcher) detectHighLatency(now time.Time) []decision.Record {
	m := p.admission.Latencies()
	if len(m) < slowLatencyMinVMs {
		return nil
	}
	l := make([]time.Duration, 0, len(m))
	for _, d := range m {
		l = append(l, d)
	}
	limit := slowLatencyFactor*median(l) + slowLatencyMargin
	r := []decision.Record{}
	for n, d := range m {
		if d <= limit {
			p.health.ResetHighLatency(n)
			continue
		}
		if x, ok := p.observe(now, n, health.HighLatency); ok {
			r = append(r, x)
		}
	}
	return r
}
