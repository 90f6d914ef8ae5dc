package vmcontroller

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// ordersKey is the store's key of the latest order of each VM.
const ordersKey = "tarragonbank/orders"

const (
	// minStoreDelay and maxStoreDelay bound how long after an order is written to the store it may be sent: twice as long as the last
	// write took. As long as writes take longer, the ownership is not confirmed often enough for orders either.
	minStoreDelay = 200 * time.Millisecond
	maxStoreDelay = time.Second
)

// loadOrders reads the latest orders of previous owners. Their VMs accept orders of this entry once the order lease has
// expired. A previous owner sends none later than a second after it has lost the ownership.
func (t *term) loadOrders(ctx context.Context) error {
	l, err := t.owner.Read(ctx, ordersKey)
	if err != nil {
		return err
	}
	for _, i := range l {
		m := &schema.VmOrders{}
		if err := proto.Unmarshal(i.Value, m); err != nil {
			t.logDecision(decision.Record{Reason: "stored orders cannot be decoded, waiting until all order leases have expired: " + err.Error()})
			wait.For(ctx, t.controller.timing.OrderLease+orderLeaseMargin)
			return nil
		}
		latest := time.Now().Add(owner.MaxConfirmationAge + orderTimeout)
		for _, o := range m.Orders {
			at := time.UnixMilli(o.AtMs)
			if at.After(latest) {
				at = latest
			}
			t.lastOrdered[o.Vm] = at
			t.leasedUntil[o.Vm] = at.Add(t.controller.timing.OrderLease + orderLeaseMargin)
		}
		for _, p := range m.PoolSizes {
			t.poolSizes[p.Pool] = p.Cores
		}
	}
	return nil
}

// sendPending stores the orders of this step, those that are repeated too, and then sends them. If they cannot be stored, new ones are
// dropped, and the others are repeated later.
func (t *term) sendPending(ctx context.Context) {
	t.lock.Lock()
	l := t.pending
	t.pending = nil
	t.lock.Unlock()
	if len(l) == 0 {
		return
	}
	now, limit := time.Now(), t.storeDelay
	err := t.storeOrders(ctx, l, now.Add(limit+orderTimeout))
	d := time.Since(now)
	t.storeDelay = min(max(2*d, minStoreDelay), maxStoreDelay)
	if err != nil {
		t.logDecision(decision.Record{Kind: decision.Dependency, Reason: "orders not stored and therefore not sent: " + err.Error()})
		t.lock.Lock()
		for _, o := range l {
			if o.sentAt.IsZero() {
				t.closeOrder(o, "order dropped, not stored")
			}
		}
		t.lock.Unlock()
		return
	}
	if d > limit {
		t.logDecision(decision.Record{Kind: decision.Dependency, Reason: "orders stored too slowly and therefore not sent yet", Duration: d})
		return
	}
	for _, o := range l {
		t.sendAsync(ctx, o)
	}
}

// storeOrders stores until when the last order for each VM may arrive, without those whose order lease has expired and that have no
// open order. The given orders may arrive until arrival.
func (t *term) storeOrders(ctx context.Context, l []*order, arrival time.Time) error {
	now := time.Now()
	t.lock.Lock()
	for _, o := range l {
		t.lastOrdered[o.vm] = arrival
	}
	m := &schema.VmOrders{}
	for n, at := range t.lastOrdered {
		if _, open := t.openOrders[n]; !open && now.Sub(at) > t.controller.timing.OrderLease+orderLeaseMargin {
			delete(t.lastOrdered, n)
			continue
		}
		m.Orders = append(m.Orders, &schema.VmOrder{Vm: n, AtMs: at.UnixMilli()})
	}
	for p, c := range t.poolSizes {
		m.PoolSizes = append(m.PoolSizes, &schema.PoolSize{Pool: p, Cores: c})
	}
	t.lock.Unlock()
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return t.owner.Write(ctx, []store.Write{{Key: ordersKey, Value: b}})
}

// uncordon lets the scheduler place new runs on a VM.
func (t *term) uncordon(name string) {
	t.owner.Update(func(s *scheduler.Scheduler, _ time.Time) { s.Cordon(name, false) })
}
