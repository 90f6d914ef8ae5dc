package vmcontroller

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/rebalance"
	"github.com/tarragonbank/tarragonbank/fleet/store"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
	"github.com/tarragonbank/tarragonbank/fleet/wave"
)

// Result is the platform's result of an order for a VM.
type Result int

// The results of an order for a VM.
//
//go:generate enumer -type=Result -linecomment -transform=title-lower
const (
	// Accepted means that the platform carries the order out, or did so before.
	Accepted Result = iota
	// Busy means that the VM is not up or is shutting down.
	Busy
	// NotInWave means that the VM does not belong to the wave.
	NotInWave // foreign
	// Invalid means that the VM does not exist, or that the pool does not accept its kind.
	Invalid // impossible
	// OutcomeUnknown means that the order may have been carried out, or may still be.
	OutcomeUnknown // unanswered
	// Refused means that the platform did not take the order: it is overloaded or unreachable.
	Refused // declined
)

// Issuer identifies the entry that gives an order, and its term as owner by the fencing token.
type Issuer struct {
	Name         string
	FencingToken uint64
}

// Fleet lists the platform's VMs and orders changes of them. Orders are idempotent.
type Fleet interface {
	List(ctx context.Context) ([]vm.PlatformStatus, error)
	Move(ctx context.Context, name, pool string, i Issuer) (Result, error)
	Maintain(ctx context.Context, name string, wave int, i Issuer) (Result, error)
}

// StatusEncoder encodes the status of a wave for the operators.
type StatusEncoder interface {
	// Status returns the write that publishes whether the wave is running or complete.
	Status(wave int, complete bool) store.Write
}

// Logger records decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Metrics sets gauges.
type Metrics interface {
	Gauge(name string, v float64)
}

// noMetrics drops all gauges.
type noMetrics struct{}

// Gauge drops the value.
func (noMetrics) Gauge(string, float64) {}

// Option configures a new Controller.
type Option func(c *Controller)

// WithMetrics reports the account of VM time as gauges.
func WithMetrics(m Metrics) Option {
	return func(c *Controller) { c.metrics = m }
}

// Timing holds the durations of orders to VMs and their limit.
type Timing struct {
	// MoveDowntime and MaintenanceDowntime are how long a VM is down for an order.
	MoveDowntime        time.Duration
	MaintenanceDowntime time.Duration
	// OrderLease is how long a VM accepts further orders only from the entry that gave the last one.
	OrderLease time.Duration
	// OrdersPerSecond is the number of orders that the platform takes in a second, 0 if that is not known.
	OrdersPerSecond float64
}

// Controller carries out maintenance waves and moves while its entry owns the fleet.
type Controller struct {
	name     string
	fleet    Fleet
	statuses StatusEncoder
	log      Logger
	metrics  Metrics
	timing   Timing
	policy   rebalance.Policy
	table    func() *queue.Table

	// lock guards the fields below; waves are added concurrently with Run.
	lock        sync.Mutex
	waves       map[int]wave.Wave
	requestedAt map[int]time.Time
}

const (
	// stepInterval is the time between two decisions about waves and moves.
	stepInterval = 200 * time.Millisecond
	// listInterval is the minimum age at which the list of VMs is read again.
	listInterval = 500 * time.Millisecond
	// orderTimeout and listTimeout bound calls to the platform.
	orderTimeout = 900 * time.Millisecond
	listTimeout  = 900 * time.Millisecond
	// retryInterval is the time after which a failed read of the store, or an order of unknown outcome, is repeated.
	// Orders are idempotent.
	retryInterval = 400 * time.Millisecond
	// orderLeaseMargin is added to the order lease before a previous owner's VMs get orders of this entry.
	orderLeaseMargin = 300 * time.Millisecond
)

// New returns a controller for the entry of this name. The function table returns the active configuration, or nil if
// there is none yet.
func New(name string, f Fleet, e StatusEncoder, l Logger, t Timing, table func() *queue.Table, opts ...Option) *Controller {
	c := &Controller{
		name: name, fleet: f, statuses: e, log: l, metrics: noMetrics{}, timing: t, policy: rebalance.DefaultPolicy(), table: table,
		waves: map[int]wave.Wave{}, requestedAt: map[int]time.Time{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// AddWave adds a wave that the platform's operators request. A wave with a known number is ignored.
func (c *Controller) AddWave(w wave.Wave) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if _, ok := c.waves[w.Number]; ok {
		return
	}
	c.waves[w.Number] = w
	c.requestedAt[w.Number] = time.Now()
	c.log.Add(decision.Record{Time: time.Now(), Kind: decision.Maintenance, Reason: "wave requested", Attempt: w.Number})
}

func (c *Controller) allWaves() []wave.Wave {
	c.lock.Lock()
	defer c.lock.Unlock()
	l := []wave.Wave{}
	for _, w := range c.waves {
		l = append(l, w)
	}
	return l
}

// Run controls the VMs for one term as owner, until the context ends and all orders in flight have returned.
func (c *Controller) Run(ctx context.Context, o owner.Term) {
	t := newTerm(c, o)
	if !t.loadProgress(ctx) {
		return
	}
	k := time.NewTicker(stepInterval)
	defer k.Stop()
	defer t.inFlight.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.C:
			t.step(ctx)
		}
	}
}
