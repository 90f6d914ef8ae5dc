package dispatch

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/health"
	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/service"
	"github.com/tarragonbank/tarragonbank/fleet/share"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Logger takes decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Prober asks a VM on a new connection whether it takes work.
type Prober interface {
	Probe(ctx context.Context, v vm.VM, path string) bool
}

// Dispatcher holds the pools that the entry sends to.
type Dispatcher struct {
	self       string
	shares     share.Policy
	admission  admission.Policy
	log        Logger
	prober     Prober
	stallLimit time.Duration
	changed    func()

	lock    sync.RWMutex
	pools   map[string]*table
	peers   []Peer
	leaving map[string]bool
}

// Option changes a Dispatcher at its making.
type Option func(*Dispatcher)

// WithShares sets how slots are divided among entries.
func WithShares(p share.Policy) Option {
	return func(d *Dispatcher) { d.shares = p }
}

// WithAdmission sets how requests are admitted.
func WithAdmission(p admission.Policy) Option {
	return func(d *Dispatcher) { d.admission = p }
}

// WithStallLimit bounds the wait on a connection while no service time is known.
func WithStallLimit(t time.Duration) Option {
	return func(d *Dispatcher) { d.stallLimit = t }
}

// WithChanged has the function called when what the entry tells its peers has changed.
func WithChanged(f func()) Option {
	return func(d *Dispatcher) { d.changed = f }
}

// New makes a dispatcher without pools.
func New(self string, l Logger, p Prober, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		self:       self,
		admission:  admission.PolicyFunc(admission.Forecast.InTime),
		log:        l,
		prober:     p,
		stallLimit: time.Second,
		changed:    func() {},
		pools:      map[string]*table{},
		leaving:    map[string]bool{},
		peers:      []Peer{{Name: self}},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

func (d *Dispatcher) table(name string) *table {
	d.lock.RLock()
	defer d.lock.RUnlock()
	return d.pools[name]
}

func (d *Dispatcher) tables() []*table {
	d.lock.RLock()
	defer d.lock.RUnlock()
	l := make([]*table, 0, len(d.pools))
	for _, n := range slices.Sorted(maps.Keys(d.pools)) {
		l = append(l, d.pools[n])
	}
	return l
}

// SetConfig puts the pools and services of a configuration to use.
func (d *Dispatcher) SetConfig(s *config.Snapshot) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for n, p := range s.Pools {
		t := d.pools[n]
		if t == nil {
			t = newTable(n, d.self, d.shares, d.admission)
			d.pools[n] = t
		}
		t.setRules(p, services(s, n), s)
	}
	for n, t := range d.pools {
		if _, ok := s.Pools[n]; !ok {
			t.setRules(pool.Pool{Name: n}, nil, s)
			delete(d.pools, n)
		}
	}
	d.divide()
}

func services(s *config.Snapshot, pool string) []service.Service {
	l := []service.Service{}
	for _, x := range s.Services {
		if x.Pool == pool {
			l = append(l, x)
		}
	}
	return l
}

func (t *table) setRules(p pool.Pool, l []service.Service, s *config.Snapshot) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.rules = p
	t.vms = map[string]vm.VM{}
	t.barred = map[string]bool{}
	t.movable = map[string]bool{}
	t.held = map[string]time.Time{}
	for _, v := range p.VMs {
		t.vms[v.Name] = v
		t.barred[v.Name] = !s.Serves(v)
		t.movable[v.Name] = s.Pools[v.Home].Spare && !maintenance.Anchored(s.Pools[v.Home])[v.Name]
		if m := s.States[v.Name].Moved; !m.IsZero() {
			t.held[v.Name] = m.Add(MovedHold)
		}
	}
	t.probePath = service.DefaultHealthPath
	if len(l) > 0 {
		t.probePath = l[0].HealthPath
	}
	t.health.SetMost(max(p.MaxDown, 1))
	t.health.Keep(func(n string) bool { return t.vms[n].Name != "" })
	t.admission.SetRules(l, s.Teams)
}

// Peer is an entry that takes part in the work, with its demand for each pool in slots.
type Peer struct {
	Name       string
	DataCentre string
	Demand     map[string]int
}

// SetPeers takes the entries that share the work, this one included, and the VMs known to be leaving.
func (d *Dispatcher) SetPeers(l []Peer, leaving map[string]bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if reflect.DeepEqual(d.peers, l) && maps.Equal(d.leaving, leaving) {
		return
	}
	d.peers = l
	d.leaving = leaving
	d.divide()
}

// SetIsolated says whether the entry hears neither peers nor the platform. What it knows of VMs
// that may change pool then no longer holds, and it leaves them alone.
func (d *Dispatcher) SetIsolated(b bool) {
	now := time.Now()
	for _, t := range d.tables() {
		t.lock.Lock()
		if t.isolated != b {
			t.isolated = b
			t.divide(now)
		}
		t.lock.Unlock()
	}
}

// divide works out the entry's slots in every pool; the lock is held.
func (d *Dispatcher) divide() {
	now := time.Now()
	for n, t := range d.pools {
		t.lock.Lock()
		t.leaving = d.leaving
		t.entries = d.entries(n)
		t.divide(now)
		t.lock.Unlock()
	}
}

func (d *Dispatcher) entries(pool string) []share.Entry {
	l := make([]share.Entry, 0, len(d.peers))
	for _, p := range d.peers {
		l = append(l, share.Entry{Name: p.Name, DataCentre: p.DataCentre, Demand: p.Demand[pool]})
	}
	return l
}

// Demands is what the entry asks of each pool, in slots; small changes are left out.
func (d *Dispatcher) Demands() map[string]int {
	now := time.Now()
	m := map[string]int{}
	for _, t := range d.tables() {
		t.lock.Lock()
		t.demand = damped(t.demand, t.admission.Demand(now))
		if t.demand > 0 {
			m[t.name] = t.demand
		}
		t.lock.Unlock()
	}
	return m
}

// Changes of the demand that are published: a tenth and a slot up, a quarter and two slots down.
const (
	risePart  = 10
	riseSlots = 1
	fallPart  = 4
	fallSlots = 2
)

// damped keeps the old demand while the new one is near it.
func damped(old, n int) int {
	if n > old+old/risePart+riseSlots || n < old-old/fallPart-fallSlots || n == 0 {
		return n
	}
	return old
}

// SaidLeaving lists the VMs that told this entry that they are leaving, sorted.
func (d *Dispatcher) SaidLeaving() []string {
	l := []string{}
	for _, t := range d.tables() {
		t.lock.Lock()
		for n, s := range t.health.Out() {
			if s == health.Leaving {
				l = append(l, n)
			}
		}
		t.lock.Unlock()
	}
	slices.Sort(l)
	return l
}

// Run compares and probes VMs until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	compare := time.NewTicker(comparePeriod)
	defer compare.Stop()
	probe := time.NewTicker(probePeriod)
	defer probe.Stop()
	borrow := time.NewTicker(borrowPeriod)
	defer borrow.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-compare.C:
			d.compare()
		case <-probe.C:
			d.probe(ctx)
		case now := <-borrow.C:
			d.borrow(now)
		}
	}
}

// MovedHold is how long after its move a VM is left alone by its new pool. An entry that has not
// heard of the move stops using it sooner.
const MovedHold = 5 * time.Second

const (
	comparePeriod = 500 * time.Millisecond
	probePeriod   = 100 * time.Millisecond
	borrowPeriod  = 10 * time.Millisecond
)

// borrow has requests that have waited long enough try others' slots.
func (d *Dispatcher) borrow(now time.Time) {
	d.lock.RLock()
	defer d.lock.RUnlock()
	for _, t := range d.pools {
		if !t.queued.Load() {
			continue
		}
		t.lock.Lock()
		t.next(now)
		t.lock.Unlock()
	}
}

func (d *Dispatcher) compare() {
	for _, t := range d.tables() {
		now := time.Now()
		t.lock.Lock()
		t.release(now)
		l := t.compareLatency(now)
		t.lock.Unlock()
		for _, r := range l {
			d.log.Add(r)
		}
	}
}

func (d *Dispatcher) probe(ctx context.Context) {
	for _, t := range d.tables() {
		now := time.Now()
		t.lock.Lock()
		l := t.health.Due(now)
		t.lock.Unlock()
		for _, n := range l {
			go d.probeOne(ctx, t, n)
		}
	}
}

func (d *Dispatcher) probeOne(ctx context.Context, t *table, n string) {
	t.lock.Lock()
	v, known := t.vms[n]
	path := t.probePath
	t.lock.Unlock()
	ok := known && d.prober.Probe(ctx, v, path)
	now := time.Now()
	t.lock.Lock()
	c, changed := t.health.Probed(now, n, ok)
	if changed {
		t.admission.Forget(n)
		t.divide(now)
	}
	t.lock.Unlock()
	if changed {
		d.log.Add(t.describe(now, c))
		d.changed()
	}
}

// Unwell lists the VMs that this entry's requests found not to be well.
func (d *Dispatcher) Unwell() map[string]bool {
	m := map[string]bool{}
	for _, t := range d.tables() {
		t.lock.Lock()
		for n := range t.health.Out() {
			m[n] = true
		}
		t.lock.Unlock()
	}
	return m
}

// PoolView is one pool as the entry sees it.
type PoolView struct {
	Name    string            `json:"name"`
	Load    admission.Load    `json:"load"`
	Granted int               `json:"granted"`
	Lend    bool              `json:"lend"`
	Out     map[string]string `json:"out"`
	Barred  []string          `json:"barred"`
	VMs     []string          `json:"vms"`
}

// View describes all pools, sorted by name.
func (d *Dispatcher) View() []PoolView {
	l := []PoolView{}
	for _, t := range d.tables() {
		t.lock.Lock()
		v := PoolView{Name: t.name, Load: t.admission.Load(), Granted: t.division.Own.Slots(), Lend: t.division.Lend, Out: map[string]string{}}
		v.VMs = slices.Sorted(maps.Keys(t.vms))
		for n, s := range t.health.Out() {
			v.Out[n] = s.String()
		}
		for _, n := range v.VMs {
			if t.barred[n] {
				v.Barred = append(v.Barred, n)
			}
		}
		for n := range t.leaving {
			if _, ok := t.vms[n]; ok {
				v.Out[n] = health.Leaving.String()
			}
		}
		t.lock.Unlock()
		l = append(l, v)
	}
	return l
}

func median(l []time.Duration) time.Duration {
	slices.Sort(l)
	return l[len(l)/2]
}
