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

const (
	slowFactor = 5
	slowMargin = 50 * time.Millisecond
	slowSample = 3
)

// table is the state of one pool under its lock.
type table struct {
	name      string
	lock      sync.Mutex
	rules     pool.Pool
	vms       map[string]vm.VM
	admission *admission.Pool
	health    *health.Table
	retries   *retry.Budget
	leaving   map[string]bool
	probePath string
	self      string
	shares    share.Policy
	entries   []share.Entry
	// barred are the VMs whose phase lets them have no work, movable those that may change pool,
	// held those that have, until the time.
	barred   map[string]bool
	movable  map[string]bool
	held     map[string]time.Time
	isolated bool
	division share.Allocation
	demand   int
	// queued says, without the lock, that requests wait.
	queued atomic.Bool
}

func newTable(name, self string, s share.Policy, p admission.Policy) *table {
	return &table{
		name:      name,
		self:      self,
		shares:    s,
		vms:       map[string]vm.VM{},
		admission: admission.New(name, admission.WithPolicy(p)),
		health:    health.New(1),
		retries:   retry.New(),
		leaving:   map[string]bool{},
	}
}

// next gives free slots to waiting requests; the lock is held.
func (t *table) next(now time.Time) {
	t.admission.Dispatch(now)
	t.queued.Store(t.admission.Load().Waiting > 0)
}

// divide works out the entry's part of the VMs that can be reached; the lock is held.
// What one entry cannot reach, others of its data centre mostly cannot either.
func (t *table) divide(now time.Time) {
	l := []vm.VM{}
	for _, v := range t.rules.VMs {
		if t.usable(now, v.Name) && t.health.State(v.Name) != health.Unreachable {
			l = append(l, v)
		}
	}
	t.division = t.shares.Allocate(t.self, t.entries, l)
	t.regrant(now)
}

// usable says whether what is known beside the VM's health lets it have work; the lock is held.
func (t *table) usable(now time.Time, n string) bool {
	return !t.leaving[n] && !t.barred[n] && !now.Before(t.held[n]) && !(t.isolated && t.movable[n])
}

// release gives VMs that have moved work once they have been left alone for long enough; the lock is held.
func (t *table) release(now time.Time) {
	for n, u := range t.held {
		if !now.Before(u) {
			delete(t.held, n)
			t.divide(now)
		}
	}
}

// regrant recomputes which slots can be used; the lock is held.
func (t *table) regrant(now time.Time) {
	t.admission.SetAllocation(t.division, t.vms, func(n string) bool { return t.usable(now, n) && t.health.Usable(n) })
	t.next(now)
}

func (t *table) observe(now time.Time, vm string, e health.Event) (decision.Record, bool) {
	c, ok := t.health.Observe(now, vm, e)
	if !ok {
		return decision.Record{}, false
	}
	if !c.Withheld {
		t.divide(now)
	}
	return t.describe(now, c), true
}

func (t *table) describe(now time.Time, c health.Change) decision.Record {
	r := decision.Record{Time: now, Kind: decision.Health, Pool: t.name, VM: c.VM, Reason: c.From.String() + " to " + c.To.String()}
	if c.Withheld {
		r.Reason += " withheld by the pool's budget"
	}
	return r
}

// compareLatency finds VMs that answer far slower than their pool; the lock is held.
func (t *table) compareLatency(now time.Time) []decision.Record {
	m := t.admission.Latencies()
	if len(m) < slowSample {
		return nil
	}
	l := make([]time.Duration, 0, len(m))
	for _, d := range m {
		l = append(l, d)
	}
	limit := slowFactor*median(l) + slowMargin
	r := []decision.Record{}
	for n, d := range m {
		if d <= limit {
			t.health.ResetSlow(n)
			continue
		}
		if x, ok := t.observe(now, n, health.HighLatency); ok {
			r = append(r, x)
		}
	}
	return r
}
