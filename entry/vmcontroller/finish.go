package vmcontroller

import (
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

const (
	// settleTime is how long after the expected downtime a VM may be listed otherwise than ordered before its order is closed
	// nevertheless; the list is read every 500 ms.
	settleTime = time.Second
	// maxServerStart is how long after the expected downtime a VM that has left a standby pool may be listed without a server.
	maxServerStart = 5 * time.Second
	// removedAfter is how long a VM must be missing from the list to count as removed. A VM that was just added, or that a page of the
	// list has missed, is missing for less.
	removedAfter = 3 * time.Second
)

// closeFinished closes the orders of VMs that no longer exist, and the accepted ones that have ended.
func (t *term) closeFinished() {
	t.lock.Lock()
	defer t.lock.Unlock()
	for n, o := range t.openOrders {
		v, known := t.vms[n]
		if t.isRemoved(n) && !o.inFlight {
			t.closeOrder(o, "VM no longer exists")
			continue
		}
		if !known || o.draining || o.inFlight || !o.accepted {
			continue
		}
		if reason, ended := t.ending(o, v); ended {
			t.closeOrder(o, reason)
			t.resumeServer(o, v)
		}
	}
	t.uncordonOthers()
}

// uncordonOthers uncordons the VMs that have no open order, whatever has left them cordoned; the caller holds the lock.
func (t *term) uncordonOthers() {
	var l []string
	t.owner.Update(func(s *scheduler.Scheduler, _ time.Time) { l = s.CordonedVMs() })
	for _, n := range l {
		if t.openOrders[n] == nil {
			t.logDecision(decision.Record{VM: n, Reason: "VM was cordoned without an order"})
			t.uncordon(n)
		}
	}
}

// isRemoved reports whether the VM has been missing from the list for removedAfter; the caller holds the lock.
func (t *term) isRemoved(name string) bool {
	if _, known := t.vms[name]; known {
		delete(t.missingSince, name)
		return false
	}
	if t.missingSince[name].IsZero() {
		t.missingSince[name] = t.readAt
	}
	return t.readAt.Sub(t.missingSince[name]) >= removedAfter
}

// ending reports whether the latest reading of the list shows that an accepted order has ended, and how. A server may have the
// same ID afterwards, so that an unchanged ID shows neither that the order had no effect nor that the VM is still down.
func (t *term) ending(o *order, v vm.PlatformStatus) (string, bool) {
	o.seenDown = o.seenDown || v.State != vm.Up
	late := t.readAt.Sub(o.acceptedAt) - t.downtime(o)
	if late <= 0 || v.State == vm.Moving || v.State == vm.InMaintenance {
		return "", false
	}
	switch {
	case v.State != vm.Up || o.targetPool != "" && v.Pool != o.targetPool:
		return "VM is listed as " + v.State.String() + " in pool " + v.Pool + " after the order", late > settleTime
	case v.ServerID != o.serverID || t.isStandby(v.Pool):
		return "VM is back", true
	case v.ServerID == "":
		return "VM is back without a server", late > maxServerStart
	case o.seenDown:
		return "VM is back, its server has the same ID", true
	default:
		return "VM was not listed as down: its server has started again under its ID, or an earlier order was already carried out", late > settleTime
	}
}

// resumeServer lets the scheduler ask the VM's server, if it has the ID that it had before the order, which incarnation it is.
func (t *term) resumeServer(o *order, v vm.PlatformStatus) {
	if v.State == vm.Up && v.ServerID != "" && v.ServerID == o.serverID {
		t.owner.Update(func(s *scheduler.Scheduler, _ time.Time) { s.ServerMayRun(o.serverID) })
	}
}

// downtime returns how long the VM is down for the order.
func (t *term) downtime(o *order) time.Duration {
	if o.targetPool != "" {
		return t.controller.timing.MoveDowntime
	}
	return t.controller.timing.MaintenanceDowntime
}

// closeOrder removes an open order and uncordons its VM; the caller holds the lock.
func (t *term) closeOrder(o *order, reason string) {
	delete(t.openOrders, o.vm)
	t.logDecision(decision.Record{VM: o.vm, Pool: o.targetPool, Attempt: o.wave, Reason: reason})
	t.uncordon(o.vm)
}
