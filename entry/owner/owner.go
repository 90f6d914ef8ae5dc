package owner

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/mirror"
	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// Store is the part of the platform's store that an owner uses.
type Store interface {
	mirror.Store
	Get(ctx context.Context, key string) (store.Item, error)
	Transact(ctx context.Context, t store.Transaction) (store.Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	KeepAlive(ctx context.Context, l store.LeaseID) error
	Revoke(ctx context.Context, l store.LeaseID) error
}

// Servers sends orders to backend servers. Each call carries the owner's fencing token and fails with a FencedError if
// the server has accepted a higher one. Start also returns the server's clock, or 0 if the answer had none. Poll renews
// the lease of the server's runs, acknowledges the run ends that are stored, and waits up to wait for a new end before
// it returns the listing.
type Servers interface {
	Start(ctx context.Context, o scheduler.StartOrder, token uint64) (scheduler.StartAnswer, time.Duration, error)
	Stop(ctx context.Context, o scheduler.StopOrder, token uint64) error
	Pace(ctx context.Context, o scheduler.PaceOrder, token uint64) error
	Poll(ctx context.Context, h scheduler.PollRequest, token uint64, wait time.Duration) (server.Listing, error)
}

// Registry decodes the registrations of backend servers in the store.
type Registry interface {
	// Prefix is the prefix of the registrations' keys.
	Prefix() string
	// ID returns the ID of the server that is registered under the key.
	ID(key string) string
	// Decode fails if the item is malformed or does not describe a usable server.
	Decode(i store.Item) (server.Server, error)
}

// Adviser asks the advice service which servers may run a step. It returns tickets by server ID and how long they are
// valid.
type Adviser interface {
	Advise(ctx context.Context, step string, servers []string) (map[string]string, time.Duration, error)
}

// Logger records decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// FencedError reports a server that rejected an order because it has accepted a later owner's fencing token.
type FencedError struct {
	Server string
}

// Error names the server that rejected the order.
func (e *FencedError) Error() string {
	return "server " + e.Server + " has accepted a later owner's fencing token"
}

// Dependencies are the services that an owner calls. Controller and ConfigAge may be nil.
type Dependencies struct {
	Store      Store
	Servers    Servers
	Registry   Registry
	Adviser    Adviser
	Log        Logger
	Metrics    Metrics
	Controller Controller
	// ConfigAge returns how long ago this entry sent the last call by which the store proved that the configuration in force
	// is the stored one. It is nil if nothing depends on that.
	ConfigAge func() time.Duration
	// Usage returns the processor time that the process has used. It is nil if that is not known.
	Usage func() time.Duration
	// MaxOrders is the number of orders to start and stop runs that are sent at the same time, 0 for no limit.
	MaxOrders int
	// Account sums up what the owner spends its time on. It may be nil.
	Account *processor.Account
}

// Metrics counts events, observes durations and sets gauges.
type Metrics interface {
	Event(name, kind string)
	Time(name, kind string, d time.Duration)
	Gauge(name string, v float64)
	// TaggedGauge and TaggedCount are for metrics with labels of their own.
	TaggedGauge(name string, tags map[string]string, v float64)
	TaggedCount(name string, tags map[string]string, n int64)
}

// Identity describes this entry to the others. Address is where its peers reach it.
type Identity struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Cores is the number of CPU cores that the entry may use.
	Cores float64
}

// Owner takes part in the election on behalf of this entry and holds its term while it has one.
type Owner struct {
	self          Identity
	limits        scheduler.Limits
	deps          Dependencies
	largerEntries entryContacts
	workspaces    *workspaceMetrics
	// ownerKey follows the owner's key, nil before Run.
	ownerKey atomic.Pointer[mirror.Mirror]

	// lock guards the fields below and is not held during I/O.
	lock  sync.Mutex
	table *queue.Table
	known Record
	// learned is the newest owner that another entry has named and the store has not.
	learned Record
	vacancy vacancy
	term    *term
	leaving bool
	// servers are the servers that were registered in this entry's terms, by ID, as far as its last term knew them.
	servers map[string]server.Server
	wakeup  chan struct{}
}

// Record is the owner record as last read from the store. A Revision of 0 means that there is no owner.
type Record struct {
	Name     string
	Address  netip.AddrPort
	Revision store.Revision
	// TakenAt is when the owner took over, by its own clock.
	TakenAt time.Time
}

// vacancy is the last time at which the ownership was found to be free. revision is that of the record that was removed,
// since is when this entry learned of its removal.
type vacancy struct {
	revision store.Revision
	since    time.Time
}

// New returns an Owner without a term; Run starts the election.
func New(self Identity, l scheduler.Limits, d Dependencies) *Owner {
	return &Owner{
		self: self, limits: l, deps: d, workspaces: newWorkspaceMetrics(d.Metrics), servers: map[string]server.Server{},
		wakeup: make(chan struct{}, 1),
	}
}

// SetTable applies the queue table of a newer configuration.
func (o *Owner) SetTable(t *queue.Table) {
	o.lock.Lock()
	r := o.term
	o.table = t
	o.lock.Unlock()
	if r != nil {
		r.update(processor.Other, func(s *scheduler.Scheduler, _ time.Time) { s.SetTable(t) })
	}
}

// Known returns the owner record as last read from the store.
func (o *Owner) Known() Record {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.learned.Revision > o.known.Revision {
		return o.learned
	}
	return o.known
}

// Learn records the owner that another entry has named, unless the store has named that or a later one. It only decides
// where calls are sent: whoever is asked answers by what the store has confirmed.
func (o *Owner) Learn(r Record) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if r.Revision > max(o.known.Revision, o.vacancy.revision, o.learned.Revision) {
		o.learned = r
	}
}

// Predecessor returns the address of the owner before this entry's term while it should be told of the new owner. The store
// may not answer it.
func (o *Owner) Predecessor() (netip.AddrPort, bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	r := o.term
	if r == nil || !r.accepting() || !r.previousAddress.IsValid() || r.previousAddress == o.self.Address || time.Since(r.startedAt) > announceTime {
		return netip.AddrPort{}, false
	}
	return r.previousAddress, true
}

// announceTime is how long a new owner tells its predecessor of itself. Outages of the store last some seconds.
const announceTime = 15 * time.Second

// Current returns the job service of this entry's term, or nil if it does not own the fleet or has not loaded the jobs.
func (o *Owner) Current() JobService {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.term == nil || !o.term.accepting() {
		return nil
	}
	return o.term
}

// OwnershipAge returns how long ago this entry sent the last call by which the store confirmed its ownership. The result is
// false if it does not own the fleet.
func (o *Owner) OwnershipAge() (time.Duration, bool) {
	o.lock.Lock()
	r := o.term
	o.lock.Unlock()
	if r == nil || !r.accepting() {
		return 0, false
	}
	return r.confirmationAge(), true
}

// Stored looks a job up in the store, for an entry that cannot reach the owner, and returns whether the store has it and the
// name of its workspace. It fails if the store does not answer within storedTimeout.
func (o *Owner) Stored(ctx context.Context, id string) (stored bool, workspace string, err error) {
	c, stop := context.WithTimeout(ctx, storedTimeout)
	defer stop()
	var m schema.JobRecord
	if stored, err = o.readStored(c, jobPrefix+id, &m); stored || err != nil {
		return stored, m.Workspace, err
	}
	// The record of an ended job is deleted in the transaction that stores its end, so its progress is read second.
	var p schema.JobProgress
	stored, err = o.readStored(c, progressPrefix+id, &p)
	return stored, p.Workspace, err
}

// readStored reads and decodes a key. The result is false if the store does not have the key.
func (o *Owner) readStored(ctx context.Context, key string, m proto.Message) (bool, error) {
	i, err := o.deps.Store.Get(ctx, key)
	var notFound *store.NotFoundError
	switch {
	case errors.As(err, &notFound):
		return false, nil
	case err != nil:
		return false, err
	default:
		return true, proto.Unmarshal(i.Value, m)
	}
}

// storedTimeout bounds the lookup of a job while its caller waits. The store usually answers within milliseconds, and
// within 250 ms when it is slow; an ended job takes two reads.
const storedTimeout = 600 * time.Millisecond

// Leave ends this entry's term and keeps it from taking another one.
func (o *Owner) Leave() {
	o.lock.Lock()
	o.leaving = true
	r := o.term
	o.lock.Unlock()
	if r != nil {
		r.leave("this entry is leaving")
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
