package owner

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/mirror"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// Store is what an owner needs of the platform's store.
type Store interface {
	mirror.Store
	Get(ctx context.Context, key string) (store.Item, error)
	Transact(ctx context.Context, t store.Transaction) (store.Revision, error)
	Grant(ctx context.Context, life time.Duration) (store.LeaseID, error)
	Keep(ctx context.Context, l store.LeaseID) error
	Revoke(ctx context.Context, l store.LeaseID) error
}

// Servers carries orders to backend servers; each fails with a FencedError where a later owner gave orders before.
type Servers interface {
	Start(ctx context.Context, o scheduler.StartOrder, token uint64) (scheduler.StartAnswer, time.Duration, error)
	Stop(ctx context.Context, o scheduler.StopOrder, token uint64) error
	Pace(ctx context.Context, o scheduler.PaceOrder, token uint64) error
	Poll(ctx context.Context, h scheduler.LeaseRequest, token uint64, wait time.Duration) (server.Listing, error)
}

// Registry decodes how backend servers register themselves in the store.
type Registry interface {
	Prefix() string
	// ID is the server's identity by its key.
	ID(key string) string
	// Decode fails where the item does not name a server that can be used.
	Decode(i store.Item) (server.Server, error)
}

// Adviser asks which servers may run a step: tickets by server, and how long they hold.
type Adviser interface {
	Advise(ctx context.Context, step string, servers []string) (map[string]string, time.Duration, error)
}

// Logger takes decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// FencedError reports a server that has had orders of a later owner.
type FencedError struct {
	Server string
}

// Error describes the failure in one line.
func (e *FencedError) Error() string {
	return "server " + e.Server + " obeys a later owner"
}

// Dependencies are the peers that an owner works with.
type Dependencies struct {
	Store    Store
	Servers  Servers
	Registry Registry
	Adviser  Adviser
	Log      Logger
	Metrics  Metrics
	Worker   Worker
}

// Metrics counts what the owner does.
type Metrics interface {
	Event(name, kind string)
	Time(name, kind string, d time.Duration)
	Gauge(name string, v float64)
}

// Identity names this entry among the others.
type Identity struct {
	Name    string
	Address netip.AddrPort
	// Cores is how many cores the entry may use.
	Cores float64
}

// Owner is this entry's part in the ownership.
type Owner struct {
	self          Identity
	limits        scheduler.Limits
	deps          Dependencies
	largerEntries entryContacts

	// lock guards the fields below; no I/O happens under it.
	lock    sync.Mutex
	table   *queue.Table
	known   Record
	term    *term
	leaving bool
	wakeup  chan struct{}
}

// Record is who owns the fleet, as the store last told; Revision 0 means nobody.
type Record struct {
	Name     string
	Address  netip.AddrPort
	Revision store.Revision
	// TakenAt is when it took over, by its own clock.
	TakenAt time.Time
}

// New makes an owner that does not own anything yet.
func New(self Identity, l scheduler.Limits, d Dependencies) *Owner {
	return &Owner{self: self, limits: l, deps: d, wakeup: make(chan struct{}, 1)}
}

// SetTable puts a newer version of the configuration in force.
func (o *Owner) SetTable(t *queue.Table) {
	o.lock.Lock()
	r := o.term
	o.table = t
	o.lock.Unlock()
	if r != nil {
		r.update(func(s *scheduler.Scheduler, _ time.Time) { s.SetTable(t) })
	}
}

// Known is who owns the fleet, as the store last told.
func (o *Owner) Known() Record {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.known
}

// Current is the reign of this entry, or nil.
func (o *Owner) Current() JobService {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.term == nil || !o.term.accepting() {
		return nil
	}
	return o.term
}

// Stored says whether the store has a job, for an entry that reaches no owner; it fails where the store does not tell.
func (o *Owner) Stored(ctx context.Context, id string) (bool, error) {
	c, stop := context.WithTimeout(ctx, storedTimeout)
	defer stop()
	_, err := o.deps.Store.Get(c, jobPrefix+id)
	var absent *store.AbsentError
	if errors.As(err, &absent) {
		return false, nil
	}
	return err == nil, err
}

// storedTimeout bounds the look for a job whose caller waits; the store answers within milliseconds.
const storedTimeout = 200 * time.Millisecond

// Leave hands the ownership over and takes it no more.
func (o *Owner) Leave() {
	o.lock.Lock()
	o.leaving = true
	r := o.term
	o.lock.Unlock()
	if r != nil {
		r.stepDown("this entry leaves")
	}
	o.wake()
}

func (o *Owner) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

func (o *Owner) logDecision(kind decision.Kind, reason string, revision store.Revision) {
	o.deps.Log.Add(decision.Record{Time: time.Now(), Kind: kind, Reason: reason, Revision: uint64(revision)})
}
