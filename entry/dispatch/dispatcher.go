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
	peers   []Entry
	leaving map[string]bool
}

// Option changes a Dispatcher at its making.
type Option func(*Dispatcher)

// WithSharePolicy sets how slots are divided among entries.
func WithSharePolicy(p share.Policy) Option {
	return func(d *Dispatcher) { d.shares = p }
}

// WithAdmissionPolicy sets how requests are admitted.
func WithAdmissionPolicy(p admission.Policy) Option {
	return func(d *Dispatcher) { d.admission = p }
}

// WithStallLimit bounds the wait on a connection while no service time is known.
func WithStallLimit(t time.Duration) Option {
	return func(d *Dispatcher) { d.stallLimit = t }
}

// WithOnChange has the function called when what the entry tells its peers has changed.
func WithOnChange(f func()) Option {
	return func(d *Dispatcher) { d.changed = f }
}

// New makes a dispatcher without pools.
func New(self string, l Logger, p Prober, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		self:       self,
		admission:  admission.PolicyFunc(admission.Prediction.MeetsDeadline),
		log:        l,
		prober:     p,
		stallLimit: time.Second,
		changed:    func() {},
		pools:      map[string]*table{},
		leaving:    map[string]bool{},
		peers:      []Entry{{Name: self}},
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
		t.movable[v.Name] = s.Pools[v.HomePool].Spare && !maintenance.Pinned(s.Pools[v.HomePool])[v.Name]
		if m := s.VMStates[v.Name].MovedAt; !m.IsZero() {
			t.held[v.Name] = m.Add(MoveCooldown)
		}
	}
	t.probePath = service.DefaultHealthPath
	if len(l) > 0 {
		t.probePath = l[0].HealthPath
	}
	t.health.SetMaxEjected(max(p.MaxDown, 1))
	t.health.Retain(func(n string) bool { return t.vms[n].Name != "" })
	t.admission.SetServices(l, s.Teams)
}

// Entry is an entry that takes part in the work, with its demand for each pool in slots.
type Entry struct {
	Name       string
	DataCentre string
	Demand     map[string]int
}

// SetEntries takes the entries that share the work, this one included, and the VMs known to be leaving.
func (d *Dispatcher) SetEntries(l []Entry, leaving map[string]bool) {
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

// AnnouncedLeaving lists the VMs that told this entry that they are leaving, sorted.
func (d *Dispatcher) AnnouncedLeaving() []string {
	l := []string{}
	for _, t := range d.tables() {
		t.lock.Lock()
		for n, s := range t.health.Unhealthy() {
			if s == health.Leaving {
				l = append(l, n)
			}
		}
		t.lock.Unlock()
	}
	slices.Sort(l)
	return l
}
