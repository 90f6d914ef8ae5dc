package steward

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

// Answer is the platform's answer to an order for a VM.
type Answer int

// The answers to an order for a VM.
//
//go:generate enumer -type=Answer -transform=title-lower
const (
	// Accepted means that the order is carried out, or was before.
	Accepted Answer = iota
	// Busy means that the VM is not up or is leaving.
	Busy
	// Foreign means that the VM is not part of the wave.
	Foreign
	// Impossible means that there is no such VM, or that the pool does not take its kind.
	Impossible
	// Unanswered means that the order may have been carried out, or may be later.
	Unanswered
	// Declined means that the platform takes no more orders at present.
	Declined
)

// Stamp marks an order with who gives it.
type Stamp struct {
	Holder string
	Fence  uint64
}

// Fleet is the platform's list of VMs and its orders for them.
type Fleet interface {
	List(ctx context.Context) ([]vm.PlatformStatus, error)
	Move(ctx context.Context, name, pool string, s Stamp) (Answer, error)
	Maintain(ctx context.Context, name string, wave int, s Stamp) (Answer, error)
}

// Board is where the operators read how a wave stands.
type Board interface {
	// Status is the item that tells it.
	Status(wave int, complete bool) store.Write
}

// Logger takes decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Bounds are the times of orders to VMs.
type Bounds struct {
	// Move and Maintenance are how long a VM is away for each.
	Move        time.Duration
	Maintenance time.Duration
	// Turn is for how long a VM obeys one entry only.
	Turn time.Duration
}

// Steward carries out waves and moves while its entry owns the fleet.
type Steward struct {
	name   string
	fleet  Fleet
	board  Board
	log    Logger
	bounds Bounds
	policy rebalance.Policy
	table  func() *queue.Table

	// lock guards the waves, which the operators' side adds.
	lock  sync.Mutex
	waves map[int]wave.Wave
	began map[int]time.Time
}

const (
	// stepEvery is how often is decided what to do.
	stepEvery = 200 * time.Millisecond
	// listEvery is how often the list of VMs is read.
	listEvery = 500 * time.Millisecond
	// orderLimit bounds an order to the platform.
	orderLimit = 900 * time.Millisecond
	// listLimit bounds a reading of the list.
	listLimit = 900 * time.Millisecond
	// orderAgain is after how long an order that was not answered is given again; it is idempotent.
	orderAgain = 400 * time.Millisecond
	// turnMargin is added to the time for which VMs obey one entry.
	turnMargin = 300 * time.Millisecond
)

// New makes a steward.
func New(name string, f Fleet, b Board, l Logger, bounds Bounds, table func() *queue.Table) *Steward {
	return &Steward{
		name: name, fleet: f, board: b, log: l, bounds: bounds, policy: rebalance.DefaultPolicy(), table: table,
		waves: map[int]wave.Wave{}, began: map[int]time.Time{},
	}
}

// AddWave takes a wave that the operators ask for.
func (s *Steward) AddWave(w wave.Wave) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, ok := s.waves[w.Number]; ok {
		return
	}
	s.waves[w.Number] = w
	s.began[w.Number] = time.Now()
	s.log.Add(decision.Record{Time: time.Now(), Kind: decision.Maintenance, Reason: "wave is asked for", Attempt: w.Number})
}

func (s *Steward) openWaves() []wave.Wave {
	s.lock.Lock()
	defer s.lock.Unlock()
	l := []wave.Wave{}
	for _, w := range s.waves {
		l = append(l, w)
	}
	return l
}

// Run works for one reign.
func (s *Steward) Run(ctx context.Context, o owner.Term) {
	t := newTerm(s, o)
	if !t.load(ctx) {
		return
	}
	k := time.NewTicker(stepEvery)
	defer k.Stop()
	defer t.orders.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.C:
			t.step(ctx)
		}
	}
}
