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

// Result is the platform's answer to an order for a VM.
type Result int

// The answers to an order for a VM.
//
//go:generate enumer -type=Result -linecomment -transform=title-lower
const (
	// Accepted means that the order is carried out, or was before.
	Accepted Result = iota
	// Busy means that the VM is not up or is leaving.
	Busy
	// NotInWave means that the VM is not part of the wave.
	NotInWave // foreign
	// Invalid means that there is no such VM, or that the pool does not take its kind.
	Invalid // impossible
	// OutcomeUnknown means that the order may have been carried out, or may be later.
	OutcomeUnknown // unanswered
	// Refused means that the platform takes no more orders at present.
	Refused // declined
)

// Issuer marks an order with who gives it.
type Issuer struct {
	Name         string
	FencingToken uint64
}

// Fleet is the platform's list of VMs and its orders for them.
type Fleet interface {
	List(ctx context.Context) ([]vm.PlatformStatus, error)
	Move(ctx context.Context, name, pool string, s Issuer) (Result, error)
	Maintain(ctx context.Context, name string, wave int, s Issuer) (Result, error)
}

// StatusEncoder is where the operators read how a wave stands.
type StatusEncoder interface {
	// Status is the item that tells it.
	Status(wave int, complete bool) store.Write
}

// Logger takes decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Timing are the times of orders to VMs.
type Timing struct {
	// MoveDowntime and Maintenance are how long a VM is away for each.
	MoveDowntime        time.Duration
	MaintenanceDowntime time.Duration
	// OrderLease is for how long a VM obeys one entry only.
	OrderLease time.Duration
}

// Controller carries out waves and moves while its entry owns the fleet.
type Controller struct {
	name     string
	fleet    Fleet
	statuses StatusEncoder
	log      Logger
	timing   Timing
	policy   rebalance.Policy
	table    func() *queue.Table

	// lock guards the waves, which the operators' side adds.
	lock        sync.Mutex
	waves       map[int]wave.Wave
	requestedAt map[int]time.Time
}

const (
	// stepInterval is how often is decided what to do.
	stepInterval = 200 * time.Millisecond
	// listInterval is how often the list of VMs is read.
	listInterval = 500 * time.Millisecond
	// orderTimeout bounds an order to the platform.
	orderTimeout = 900 * time.Millisecond
	// listTimeout bounds a reading of the list.
	listTimeout = 900 * time.Millisecond
	// retryInterval is after how long an order that was not answered is given again; it is idempotent.
	retryInterval = 400 * time.Millisecond
	// orderLeaseMargin is added to the time for which VMs obey one entry.
	orderLeaseMargin = 300 * time.Millisecond
)

// New makes a steward.
func New(name string, f Fleet, b StatusEncoder, l Logger, bounds Timing, table func() *queue.Table) *Controller {
	return &Controller{
		name: name, fleet: f, statuses: b, log: l, timing: bounds, policy: rebalance.DefaultPolicy(), table: table,
		waves: map[int]wave.Wave{}, requestedAt: map[int]time.Time{},
	}
}

// AddWave takes a wave that the operators ask for.
func (s *Controller) AddWave(w wave.Wave) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, ok := s.waves[w.Number]; ok {
		return
	}
	s.waves[w.Number] = w
	s.requestedAt[w.Number] = time.Now()
	s.log.Add(decision.Record{Time: time.Now(), Kind: decision.Maintenance, Reason: "wave is asked for", Attempt: w.Number})
}

func (s *Controller) allWaves() []wave.Wave {
	s.lock.Lock()
	defer s.lock.Unlock()
	l := []wave.Wave{}
	for _, w := range s.waves {
		l = append(l, w)
	}
	return l
}

// Run works for one reign.
func (s *Controller) Run(ctx context.Context, o owner.Office) {
	t := newTerm(s, o)
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
