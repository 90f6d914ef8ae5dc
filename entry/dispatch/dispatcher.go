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

// Logger records decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Prober sends a health check to a VM on a new connection and reports whether the VM accepts requests.
type Prober interface {
	Probe(ctx context.Context, v vm.VM, path string) bool
}

// Dispatcher dispatches the requests of this entry to the VMs of all pools. It is safe for concurrent use.
type Dispatcher struct {
	self            string
	sharePolicy     share.Policy
	admissionPolicy admission.Policy
	log             Logger
	prober          Prober
	stallLimit      time.Duration
	onChange        func()

	lock    sync.RWMutex
	pools   map[string]*poolDispatcher
	entries []Entry
	leaving map[string]bool
}

// Option configures a new Dispatcher.
type Option func(*Dispatcher)

// WithSharePolicy sets the policy that divides slots among entries. It has no default.
func WithSharePolicy(p share.Policy) Option {
	return func(d *Dispatcher) { d.sharePolicy = p }
}

// WithAdmissionPolicy sets the admission policy; by default, requests that can meet their deadline are admitted.
func WithAdmissionPolicy(p admission.Policy) Option {
	return func(d *Dispatcher) { d.admissionPolicy = p }
}

// WithStallLimit sets the minimum stall timeout of a service while its service time has not been measured.
// The default is 1 s.
func WithStallLimit(l time.Duration) Option {
	return func(d *Dispatcher) { d.stallLimit = l }
}

// WithOnChange sets a function that is called when the state that this entry sends to its peers has changed.
func WithOnChange(f func()) Option {
	return func(d *Dispatcher) { d.onChange = f }
}

const defaultStallLimit = time.Second

// New creates a dispatcher without pools for the entry named self, the only one that it knows until SetEntries is called.
func New(self string, l Logger, p Prober, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		self:            self,
		admissionPolicy: admission.PolicyFunc(admission.Prediction.MeetsDeadline),
		log:             l,
		prober:          p,
		stallLimit:      defaultStallLimit,
		onChange:        func() {},
		pools:           map[string]*poolDispatcher{},
		leaving:         map[string]bool{},
		entries:         []Entry{{Name: self}},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

func (d *Dispatcher) pool(name string) *poolDispatcher {
	d.lock.RLock()
	defer d.lock.RUnlock()
	return d.pools[name]
}

func (d *Dispatcher) sortedPools() []*poolDispatcher {
	d.lock.RLock()
	defer d.lock.RUnlock()
	l := make([]*poolDispatcher, 0, len(d.pools))
	for _, n := range slices.Sorted(maps.Keys(d.pools)) {
		l = append(l, d.pools[n])
	}
	return l
}

// SetConfig applies the pools, services, teams and VM states of a configuration.
func (d *Dispatcher) SetConfig(s *config.Snapshot) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for n, x := range s.Pools {
		p := d.pools[n]
		if p == nil {
			p = newPoolDispatcher(n, d.self, d.sharePolicy, d.admissionPolicy)
			d.pools[n] = p
		}
		p.setConfig(x, services(s, n), s)
	}
	for n, p := range d.pools {
		if _, ok := s.Pools[n]; !ok {
			p.setConfig(pool.Pool{Name: n}, nil, s)
			delete(d.pools, n)
		}
	}
	d.reallocate()
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

func (p *poolDispatcher) setConfig(x pool.Pool, l []service.Service, s *config.Snapshot) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.pool = x
	p.vms = map[string]vm.VM{}
	p.outOfService = map[string]bool{}
	p.movable = map[string]bool{}
	p.cooldownEnds = map[string]time.Time{}
	for _, v := range x.VMs {
		p.vms[v.Name] = v
		p.outOfService[v.Name] = !s.Serves(v)
		p.movable[v.Name] = s.Pools[v.HomePool].Spare && !maintenance.Pinned(s.Pools[v.HomePool])[v.Name]
		if m := s.VMStates[v.Name].MovedAt; !m.IsZero() {
			p.cooldownEnds[v.Name] = m.Add(MoveCooldown)
		}
	}
	p.probePath = service.DefaultHealthPath
	if len(l) > 0 {
		p.probePath = l[0].HealthPath
	}
	p.health.SetMaxEjected(max(x.MaxDown, 1))
	p.health.Retain(func(n string) bool { return p.vms[n].Name != "" })
	p.admission.SetServices(l, s.Teams)
}

// Entry is an entry that sends requests to the pools.
type Entry struct {
	Name       string
	DataCentre string
	// Demand maps pools to the entry's demand in slots.
	Demand map[string]int
}

// SetEntries sets the entries that share the slots, including this one, and the VMs that are known to be leaving.
func (d *Dispatcher) SetEntries(l []Entry, leaving map[string]bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if reflect.DeepEqual(d.entries, l) && maps.Equal(d.leaving, leaving) {
		return
	}
	d.entries = l
	d.leaving = leaving
	d.reallocate()
}

// SetIsolated sets whether this entry hears from neither its peers nor the platform. An isolated entry would
// not learn that a movable VM was moved to another pool, so it sends no requests to movable VMs.
func (d *Dispatcher) SetIsolated(b bool) {
	now := time.Now()
	for _, p := range d.sortedPools() {
		p.lock.Lock()
		if p.isolated != b {
			p.isolated = b
			p.reallocate(now)
		}
		p.lock.Unlock()
	}
}

// reallocate recomputes this entry's allocation in every pool; the lock is held.
func (d *Dispatcher) reallocate() {
	now := time.Now()
	for n, p := range d.pools {
		p.lock.Lock()
		p.leaving = d.leaving
		p.entries = d.shareEntries(n)
		p.reallocate(now)
		p.lock.Unlock()
	}
}

func (d *Dispatcher) shareEntries(pool string) []share.Entry {
	l := make([]share.Entry, 0, len(d.entries))
	for _, e := range d.entries {
		l = append(l, share.Entry{Name: e.Name, DataCentre: e.DataCentre, Demand: e.Demand[pool]})
	}
	return l
}

// AnnouncedLeaving returns the sorted names of the VMs that announced to this entry that they are leaving.
func (d *Dispatcher) AnnouncedLeaving() []string {
	l := []string{}
	for _, p := range d.sortedPools() {
		p.lock.Lock()
		for n, s := range p.health.Unhealthy() {
			if s == health.Leaving {
				l = append(l, n)
			}
		}
		p.lock.Unlock()
	}
	slices.Sort(l)
	return l
}
