package vmcontroller

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// ordersKey is where the latest orders for VMs are kept.
const ordersKey = "tarragonbank/orders"

// loadOrders learns which VMs an earlier owner gave orders to lately: these obey this entry only after their turn.
func (t *term) loadOrders(ctx context.Context) error {
	l, err := t.owner.Read(ctx, ordersKey)
	if err != nil {
		return err
	}
	for _, i := range l {
		m := &schema.VmOrders{}
		if err := proto.Unmarshal(i.Value, m); err != nil {
			t.logDecision(decision.Record{Reason: "orders cannot be read, all VMs wait: " + err.Error()})
			wait.For(ctx, t.controller.timing.OrderLease+orderLeaseMargin)
			return nil
		}
		for _, x := range m.Orders {
			at := time.UnixMilli(x.AtMs)
			t.lastOrdered[x.Vm] = at
			t.leasedUntil[x.Vm] = at.Add(t.controller.timing.OrderLease + orderLeaseMargin)
		}
	}
	return nil
}

// sendPending stores the orders of this step and then gives them.
func (t *term) sendPending(ctx context.Context) {
	t.lock.Lock()
	l := t.pending
	t.pending = nil
	t.lock.Unlock()
	if len(l) == 0 {
		return
	}
	if err := t.storeOrders(ctx, l); err != nil {
		t.logDecision(decision.Record{Kind: decision.Dependency, Reason: "orders not stored, not given: " + err.Error()})
		t.lock.Lock()
		for _, d := range l {
			t.closeOrder(d, "order withdrawn")
		}
		t.lock.Unlock()
		return
	}
	for _, d := range l {
		t.sendAsync(ctx, d)
	}
}

func (t *term) storeOrders(ctx context.Context, l []*order) error {
	now := time.Now()
	t.lock.Lock()
	for _, d := range l {
		t.lastOrdered[d.vm] = now
	}
	m := &schema.VmOrders{}
	for n, at := range t.lastOrdered {
		if _, open := t.openOrders[n]; !open && now.Sub(at) > t.controller.timing.OrderLease+orderLeaseMargin {
			delete(t.lastOrdered, n)
			continue
		}
		m.Orders = append(m.Orders, &schema.VmOrder{Vm: n, AtMs: at.UnixMilli()})
	}
	t.lock.Unlock()
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return t.owner.Write(ctx, []store.Write{{Key: ordersKey, Value: b}})
}

// uncordon lets new work come to a VM.
func (t *term) uncordon(name string) {
	t.owner.Do(func(s *scheduler.Scheduler, _ time.Time) { s.Cordon(name, false) })
}
