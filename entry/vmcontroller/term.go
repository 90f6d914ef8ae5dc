package vmcontroller

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/rebalance"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
	"github.com/tarragonbank/tarragonbank/fleet/vmorder"
	"github.com/tarragonbank/tarragonbank/fleet/vmusage"
)

// term is the controller's state for one term of this entry as owner.
type term struct {
	controller *Controller
	owner      owner.Term
	// inFlight counts the orders that are being sent.
	inFlight sync.WaitGroup

	// lock guards the fields below, which the results of orders change concurrently with the steps.
	lock         sync.Mutex
	vms          map[string]vm.PlatformStatus
	listedAt     time.Time
	listFailedAt time.Time
	// readAt is when the reading of the list in vms began.
	readAt        time.Time
	poolsLoggedAt time.Time
	usageLoggedAt time.Time
	usage         *vmusage.Account
	// missingSince is when the first reading of the list without a VM began, for the VMs of waves and open orders.
	missingSince map[string]time.Time
	// previousLeasesExpired is true once no run of a previous owner can be left that the scheduler does not know.
	previousLeasesExpired bool
	// openOrders has at most one order per VM.
	openOrders map[string]*order
	waves      map[int]*progress
	// surplusSince is when each pool began to have more cores than it needs.
	surplusSince map[string]time.Time
	// poolSizes holds the number of cores that each pool had before the first move.
	poolSizes map[string]float64
	// poolLoads holds the recent demand of each pool.
	poolLoads map[string]*rebalance.Load
	// invalidMoves holds the pairs of VM kind and pool for which the platform rejected a move as invalid.
	invalidMoves map[[2]string]bool
	// lastOrdered is until when the last order for a VM, from any entry, may arrive; leasedUntil is when the order lease of a previous
	// owner on it expires.
	lastOrdered map[string]time.Time
	leasedUntil map[string]time.Time
	// pending holds the orders of this step, which are stored before they are sent.
	pending []*order
	// storeDelay is how long after the orders of a step are written to the store they may be sent.
	storeDelay time.Duration
	// budget is the number of orders that may be sent now, deferred the number of those that wait for it since the last step.
	budget   *vmorder.Budget
	deferred int
}

// order is a planned or sent order for a VM; it is open until the platform's list shows how it has ended.
type order struct {
	vm   string
	wave int
	// targetPool is the pool that the VM moves to, empty for maintenance.
	targetPool string
	// serverID is the VM's server when the order was planned, startedAt its start.
	serverID   string
	startedAt  time.Time
	sentAt     time.Time
	accepted   bool
	inFlight   bool
	acceptedAt time.Time
	// seenDown is true once the list has shown that the VM is down for an accepted order.
	seenDown bool
	// draining is true while the VM is only cordoned and no order has been planned, drainingSince when that began if the VM
	// is to move.
	draining      bool
	drainingSince time.Time
}

func newTerm(c *Controller, o owner.Term) *term {
	return &term{
		controller: c, owner: o, usage: vmusage.New(), vms: map[string]vm.PlatformStatus{}, openOrders: map[string]*order{}, waves: map[int]*progress{},
		surplusSince: map[string]time.Time{}, poolSizes: map[string]float64{}, poolLoads: map[string]*rebalance.Load{},
		invalidMoves: map[[2]string]bool{}, missingSince: map[string]time.Time{},
		lastOrdered: map[string]time.Time{}, leasedUntil: map[string]time.Time{},
		storeDelay: minStoreDelay, budget: vmorder.New(c.timing.OrdersPerSecond),
	}
}

// mayOrder takes an order from the budget and reports whether it may be sent; the caller holds the lock.
func (t *term) mayOrder(u vmorder.Urgency, now time.Time) bool {
	open := 0
	for _, o := range t.openOrders {
		if !o.draining && !o.accepted {
			open++
		}
	}
	if !t.budget.Take(u, open, now) {
		t.deferred++
		return false
	}
	return true
}

// reportDeferred reports the number of orders that waited for the budget in this step.
func (t *term) reportDeferred() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.controller.metrics.Gauge("vm_orders_deferred", float64(t.deferred))
	t.deferred = 0
}

// step reads the list of VMs if it is old, and does what the waves and the pools need now. It does nothing while the store
// has not lately confirmed that this entry owns the fleet.
func (t *term) step(ctx context.Context) {
	if _, fresh := t.owner.FencingToken(); !fresh {
		return
	}
	now := time.Now()
	if now.Sub(t.listedAt) > listInterval && (now.Sub(t.listFailedAt) <= listInterval || !t.readVMs(ctx)) {
		return
	}
	t.closeFinished()
	var loads map[string]scheduler.ServerLoad
	var needs map[string]scheduler.PoolNeed
	t.owner.Update(func(x *scheduler.Scheduler, now time.Time) {
		loads = x.ServerLoads(now)
		t.previousLeasesExpired = x.PreviousLeasesExpired(now)
		needs = x.PoolNeeds(now)
	})
	t.retryUnanswered(now)
	for _, w := range t.controller.allWaves() {
		t.stepWave(ctx, w, loads, needs, now)
	}
	t.stepRebalance(loads, needs, now)
	t.recordUsage(loads, needs, now)
	t.sendPending(ctx)
	t.reportDeferred()
}

// readVMs reads the list of VMs and reports whether it succeeded.
func (t *term) readVMs(ctx context.Context) bool {
	c, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	readAt := time.Now()
	l, err := t.controller.fleet.List(c)
	if err != nil {
		t.listFailedAt = time.Now()
		if ctx.Err() == nil {
			t.logDecision(decision.Record{Kind: decision.Dependency, Reason: "cannot list VMs: " + err.Error()})
		}
		return false
	}
	m := map[string]vm.PlatformStatus{}
	capacities := map[string]job.Size{}
	for _, v := range l {
		m[v.Name] = v
		capacities[v.Name] = v.Capacity
	}
	t.lock.Lock()
	t.vms = m
	t.readAt = readAt
	t.listedAt = time.Now()
	if len(t.poolSizes) == 0 {
		for _, v := range l {
			t.poolSizes[v.Pool] += float64(v.Capacity.CPU) / 1000
		}
	}
	t.lock.Unlock()
	t.owner.Update(func(s *scheduler.Scheduler, now time.Time) {
		s.SetVMCapacities(capacities)
		s.VMsListed(m, readAt, now)
	})
	return true
}

func (t *term) logDecision(r decision.Record) {
	r.Time = time.Now()
	if r.Kind == 0 {
		r.Kind = decision.Maintenance
	}
	t.controller.log.Add(r)
}

// retryUnanswered plans to send orders of unknown outcome again.
func (t *term) retryUnanswered(now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, o := range t.openOrders {
		if !o.draining && !o.accepted && !o.inFlight && now.Sub(o.sentAt) > retryInterval && t.budget.Take(vmorder.Needed, len(t.pending), now) {
			t.pending = append(t.pending, o)
		}
	}
}

// sendAsync sends an order in the background, unless the store has not lately confirmed that this entry owns the fleet.
func (t *term) sendAsync(ctx context.Context, o *order) {
	token, fresh := t.owner.FencingToken()
	if !fresh {
		return
	}
	t.lock.Lock()
	o.inFlight = true
	o.draining = false
	o.sentAt = time.Now()
	t.lock.Unlock()
	t.inFlight.Add(1)
	go func() {
		defer t.inFlight.Done()
		c, stop := context.WithTimeout(ctx, orderTimeout)
		defer stop()
		r, err := t.send(c, o, Issuer{Name: t.controller.name, FencingToken: token})
		t.handleResult(ctx, o, r, err)
	}()
}

func (t *term) send(ctx context.Context, o *order, i Issuer) (Result, error) {
	if o.targetPool != "" {
		return t.controller.fleet.Move(ctx, o.vm, o.targetPool, i)
	}
	return t.controller.fleet.Maintain(ctx, o.vm, o.wave, i)
}

// handleResult records the platform's result of an order: accepted orders stay open until the VM is back, those of unknown
// outcome until a retry has a result, and all others are closed.
func (t *term) handleResult(ctx context.Context, o *order, r Result, err error) {
	n := decision.Record{VM: o.vm, Pool: o.targetPool, Attempt: o.wave, Reason: "order " + r.String(), Duration: time.Since(o.sentAt)}
	if err != nil {
		n.Reason += ": " + err.Error()
	}
	t.logDecision(n)
	t.lock.Lock()
	o.inFlight = false
	if r != OutcomeUnknown {
		t.lastOrdered[o.vm] = time.Now()
	}
	switch r {
	case Accepted:
		o.accepted = true
		o.acceptedAt = time.Now()
	case OutcomeUnknown:
	case Invalid:
		if o.targetPool != "" {
			v := t.vms[o.vm]
			t.invalidMoves[[2]string{v.Kind(), o.targetPool}] = true
		}
		t.closeOrder(o, "order is invalid")
	default:
		t.closeOrder(o, "order was not accepted")
	}
	t.lock.Unlock()
	if r != Accepted {
		return
	}
	t.owner.Update(func(s *scheduler.Scheduler, now time.Time) { s.ServerTerminated(o.serverID, o.startedAt, now) })
	if o.wave > 0 && o.targetPool == "" {
		t.recordMaintained(ctx, o)
	}
}
