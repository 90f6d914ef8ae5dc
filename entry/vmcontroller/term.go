package vmcontroller

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// term is the steward's state for one reign.
type term struct {
	controller *Controller
	owner      owner.Office
	// inFlight counts those that are out.
	inFlight sync.WaitGroup

	// lock guards what follows; orders that are answered change it.
	lock          sync.Mutex
	vms           map[string]vm.PlatformStatus
	listedAt      time.Time
	poolsLoggedAt time.Time
	// settled says that no run of an earlier owner can be left unknown.
	settled      bool
	openOrders   map[string]*order
	waves        map[int]*progress
	surplusSince map[string]time.Time
	invalidMoves map[[2]string]bool
	// lastOrdered is when each VM was last given an order, by any entry; embargo is until when it obeys another one.
	lastOrdered map[string]time.Time
	leasedUntil map[string]time.Time
	// pending are the orders of this step, which are stored before they are given.
	pending []*order
}

// order is an order for a VM until the VM is back.
type order struct {
	vm   string
	wave int
	// targetPool is where the VM goes; empty for maintenance.
	targetPool string
	serverID   string
	sentAt     time.Time
	accepted   bool
	inFlight   bool
	acceptedAt time.Time
	// seenDown says that the list has shown the VM as away since.
	seenDown bool
	// draining says that the VM is only being emptied so far.
	draining bool
}

func newTerm(s *Controller, o owner.Office) *term {
	return &term{
		controller: s, owner: o, vms: map[string]vm.PlatformStatus{}, openOrders: map[string]*order{}, waves: map[int]*progress{},
		surplusSince: map[string]time.Time{}, invalidMoves: map[[2]string]bool{},
		lastOrdered: map[string]time.Time{}, leasedUntil: map[string]time.Time{},
	}
}

func (t *term) step(ctx context.Context) {
	if _, fresh := t.owner.Fence(); !fresh {
		return
	}
	now := time.Now()
	if now.Sub(t.listedAt) > listInterval && !t.readVMs(ctx) {
		return
	}
	t.closeFinished(now)
	var loads map[string]scheduler.ServerLoad
	var needs map[string]scheduler.PoolNeed
	t.owner.Do(func(x *scheduler.Scheduler, now time.Time) {
		loads = x.ServerLoads(now)
		t.settled = x.Settled(now)
		needs = x.PoolNeeds(now)
	})
	t.retryUnanswered(ctx, now)
	for _, w := range t.controller.allWaves() {
		t.stepWave(ctx, w, loads, needs, now)
	}
	t.stepRebalance(loads, needs, now)
	t.sendPending(ctx)
}

// readVMs reads the readVMs of VMs.
func (t *term) readVMs(ctx context.Context) bool {
	c, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	l, err := t.controller.fleet.List(c)
	if err != nil {
		if ctx.Err() == nil {
			t.logDecision(decision.Record{Kind: decision.Dependency, Reason: "list of VMs not read: " + err.Error()})
		}
		return false
	}
	m := map[string]vm.PlatformStatus{}
	for _, v := range l {
		m[v.Name] = v
	}
	t.vms = m
	t.listedAt = time.Now()
	return true
}

// closeFinished ends the duties of VMs that are back.
func (t *term) closeFinished(now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for n, d := range t.openOrders {
		v, known := t.vms[n]
		if !known {
			t.closeOrder(d, "VM is gone")
			continue
		}
		if d.draining || d.inFlight || !d.accepted {
			continue
		}
		if v.State != vm.Up {
			d.seenDown = true
			continue
		}
		if t.hadNoEffect(d, v) {
			t.closeOrder(d, "VM has stayed: the order was carried out before")
			t.owner.Do(func(s *scheduler.Scheduler, _ time.Time) { s.TerminationFailed(d.serverID) })
			continue
		}
		back := d.seenDown || now.Sub(d.acceptedAt) > t.downtime(d)
		moved := d.targetPool == "" || v.Pool == d.targetPool
		served := v.ServerID != d.serverID || t.isStandby(v.Pool)
		if back && moved && served && t.listedAt.After(d.acceptedAt.Add(t.downtime(d))) {
			t.closeOrder(d, "VM is back")
		}
	}
}

// hadNoEffect says whether a VM goes on as it was, though the order was accepted: an earlier owner's order has had its
// effect, which this one did not know.
func (t *term) hadNoEffect(d *order, v vm.PlatformStatus) bool {
	return !d.seenDown && v.ServerID != "" && v.ServerID == d.serverID && t.listedAt.After(d.acceptedAt.Add(t.downtime(d)+noEffectMargin))
}

// noEffectMargin is how much longer than its order takes a VM may seem to stay: the list is read each half second.
const noEffectMargin = time.Second

// downtime is how long a VM is downtime for the duty.
func (t *term) downtime(d *order) time.Duration {
	if d.targetPool != "" {
		return t.controller.timing.MoveDowntime
	}
	return t.controller.timing.MaintenanceDowntime
}

// closeOrder forgets a duty; the caller holds the lock.
func (t *term) closeOrder(d *order, reason string) {
	delete(t.openOrders, d.vm)
	t.logDecision(decision.Record{VM: d.vm, Pool: d.targetPool, Attempt: d.wave, Reason: reason})
	t.uncordon(d.vm)
}

func (t *term) logDecision(r decision.Record) {
	r.Time = time.Now()
	if r.Kind == 0 {
		r.Kind = decision.Maintenance
	}
	t.controller.log.Add(r)
}

// retryUnanswered gives orders that were not answered again.
func (t *term) retryUnanswered(ctx context.Context, now time.Time) {
	t.lock.Lock()
	l := []*order{}
	for _, d := range t.openOrders {
		if !d.draining && !d.accepted && !d.inFlight && now.Sub(d.sentAt) > retryInterval {
			l = append(l, d)
		}
	}
	t.lock.Unlock()
	for _, d := range l {
		t.sendAsync(ctx, d)
	}
}

// sendAsync sends the order of a duty.
func (t *term) sendAsync(ctx context.Context, d *order) {
	fence, fresh := t.owner.Fence()
	if !fresh {
		return
	}
	t.lock.Lock()
	d.inFlight = true
	d.draining = false
	d.sentAt = time.Now()
	t.lock.Unlock()
	t.inFlight.Add(1)
	go func() {
		defer t.inFlight.Done()
		c, stop := context.WithTimeout(ctx, orderTimeout)
		defer stop()
		a, err := t.send(c, d, Issuer{Name: t.controller.name, FencingToken: fence})
		t.handleResult(ctx, d, a, err)
	}()
}

func (t *term) send(ctx context.Context, d *order, s Issuer) (Result, error) {
	if d.targetPool != "" {
		return t.controller.fleet.Move(ctx, d.vm, d.targetPool, s)
	}
	return t.controller.fleet.Maintain(ctx, d.vm, d.wave, s)
}

// handleResult takes the platform's answer to an order.
func (t *term) handleResult(ctx context.Context, d *order, a Result, err error) {
	r := decision.Record{VM: d.vm, Pool: d.targetPool, Attempt: d.wave, Reason: "order " + a.String(), Duration: time.Since(d.sentAt)}
	if err != nil {
		r.Reason += ": " + err.Error()
	}
	t.logDecision(r)
	t.lock.Lock()
	d.inFlight = false
	switch a {
	case Accepted:
		d.accepted = true
		d.acceptedAt = time.Now()
	case OutcomeUnknown:
	case Invalid:
		if d.targetPool != "" {
			v := t.vms[d.vm]
			t.invalidMoves[[2]string{v.Kind(), d.targetPool}] = true
		}
		t.closeOrder(d, "order is impossible")
	default:
		t.closeOrder(d, "order was turned away")
	}
	t.lock.Unlock()
	if a != Accepted {
		return
	}
	t.owner.Do(func(s *scheduler.Scheduler, now time.Time) { s.ServerTerminated(d.serverID, now) })
	if d.wave > 0 && d.targetPool == "" {
		t.recordMaintained(ctx, d)
	}
}
