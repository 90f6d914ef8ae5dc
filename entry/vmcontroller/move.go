package vmcontroller

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/rebalance"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
	"github.com/tarragonbank/tarragonbank/fleet/vmorder"
)

// stepRebalance plans the moves between pools that package rebalance decides, and reports the moving cores to the
// scheduler.
func (t *term) stepRebalance(loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed, now time.Time) {
	c := t.controller.table()
	if c == nil {
		return
	}
	t.finishDrains(now)
	pools, vms := t.rebalanceInput(loads, needs, now)
	t.logPools(pools, vms, now)
	l := rebalance.Decide(now, t.controller.policy, pools, vms, t.isInvalidMove)
	for _, m := range l {
		if m.Drain {
			t.drainForMove(m, now)
			continue
		}
		t.orderMove(m, now)
	}
	t.reportProvisioning(vms)
}

// isInvalidMove reports whether the platform has rejected the move of a VM of this kind to the pool as invalid.
func (t *term) isInvalidMove(kind, pool string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.invalidMoves[[2]string{kind, pool}]
}

// rebalanceInput returns the pools with their demand, and the VMs that are part of them.
func (t *term) rebalanceInput(loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed, now time.Time) ([]rebalance.Pool, []rebalance.VM) {
	t.lock.Lock()
	defer t.lock.Unlock()
	vms := []rebalance.VM{}
	have := map[string]float64{}
	for n, v := range t.vms {
		x := t.rebalanceVM(n, v, loads[v.ServerID], now)
		if x.Pool == "" {
			continue
		}
		have[x.Pool] += x.Cores
		vms = append(vms, x)
	}
	pools := []rebalance.Pool{}
	for n, p := range t.controller.table().Pools {
		held := t.heldCores(n, needs[n], now)
		t.trackSurplus(n, have[n] > rebalance.RequiredCores(t.controller.policy, needs[n].Cores), now)
		pools = append(pools, rebalance.Pool{
			Name: n, Standby: p.Standby, DemandCores: needs[n].Cores, HeldCores: held, MinVMs: needs[n].Servers, SurplusSince: t.surplusSince[n],
		})
	}
	return pools, vms
}

// heldCores returns the number of cores that a pool keeps although its work may not request them now.
func (t *term) heldCores(pool string, n scheduler.PoolNeed, now time.Time) float64 {
	l := t.poolLoads[pool]
	if l == nil {
		l = rebalance.NewLoad(t.poolSizes[pool], now)
		t.poolLoads[pool] = l
	}
	l.Observe(n.Cores, now)
	if n.Slack == 0 {
		return 0
	}
	return l.HeldCores(t.controller.policy, t.controller.timing.MoveDowntime, n.Slack)
}

// poolLogInterval is the time between two logs of the pools' capacity and demand.
const poolLogInterval = time.Second

// logPools logs the pools' capacity and demand, which explain the moves.
func (t *term) logPools(pools []rebalance.Pool, vms []rebalance.VM, now time.Time) {
	if now.Sub(t.poolsLoggedAt) < poolLogInterval {
		return
	}
	t.poolsLoggedAt = now
	have := map[string]int{}
	for _, v := range vms {
		have[v.Pool]++
	}
	for _, p := range pools {
		t.logDecision(decision.Record{Pool: p.Name, Reason: fmt.Sprintf(
			"pool has %d VMs; its demand is %.0f cores and at least %d VMs", have[p.Name], p.DemandCores, p.MinVMs,
		)})
	}
}

// rebalanceVM returns a VM as part of the pool that it is in or moves to. A VM that is being drained,
// or is down for another reason than a move or maintenance, is part of no pool.
func (t *term) rebalanceVM(name string, v vm.PlatformStatus, l scheduler.ServerLoad, now time.Time) rebalance.VM {
	x := rebalance.VM{
		Name: name, Pool: v.Pool, DataCentre: v.DataCentre, Kind: v.Kind(),
		Cores: float64(v.Capacity.CPU) / 1000, IdleSince: l.IdleSince,
	}
	o := t.openOrders[name]
	switch {
	case o != nil && o.targetPool != "":
		x.Pool = o.targetPool
	case o != nil && o.draining:
		x.Pool = ""
	case o != nil || v.State == vm.InMaintenance:
	case v.State == vm.Moving || now.Before(t.leasedUntil[name]):
	case v.State != vm.Up:
		x.Pool = ""
	case t.isStandby(v.Pool):
		x.Movable = true
	case !l.Listed || !l.Usable:
		// A VM that is up but whose server is not usable adds no capacity.
		x.Cores = 0
	default:
		x.Cores = min(x.Cores, l.Cores)
		x.Movable = l.Runs == 0
		x.Drainable = l.Runs > 0 && l.LongRunning == 0
	}
	if x.IdleSince.IsZero() {
		x.IdleSince = now
	}
	return x
}

// trackSurplus records since when a pool has a surplus.
func (t *term) trackSurplus(pool string, has bool, now time.Time) {
	if !has {
		delete(t.surplusSince, pool)
		return
	}
	if t.surplusSince[pool].IsZero() {
		t.surplusSince[pool] = now
	}
}

// orderMove plans the order for a VM's move to another pool if the budget allows it and the VM is still idle.
func (t *term) orderMove(m rebalance.Move, now time.Time) {
	u := vmorder.Needed
	if t.isStandby(m.To) {
		u = vmorder.Saving
	}
	t.lock.Lock()
	ok := t.mayOrder(u, now)
	t.lock.Unlock()
	if !ok || !t.isStandby(m.From) && !t.cordonIfIdle(m.VM) {
		return
	}
	t.logDecision(decision.Record{VM: m.VM, Pool: m.To, Service: m.From, Reason: "move: " + m.Reason})
	t.plan(&order{vm: m.VM, targetPool: m.To})
}

// drainForMove cordons a VM until its tasks have ended and its move can be ordered.
func (t *term) drainForMove(m rebalance.Move, now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.openOrders[m.VM] != nil {
		return
	}
	t.openOrders[m.VM] = &order{vm: m.VM, targetPool: m.To, serverID: t.vms[m.VM].ServerID, draining: true, drainingSince: now}
	t.logDecision(decision.Record{VM: m.VM, Pool: m.To, Service: m.From, Reason: "draining VM for a move: " + m.Reason})
	t.owner.Update(func(s *scheduler.Scheduler, _ time.Time) { s.Cordon(m.VM, true) })
}

// maxMoveDrain is how long a VM is drained for a move. Tasks last about a second; after a longer one, the need has passed.
const maxMoveDrain = 3 * time.Second

// finishDrains plans the orders for the VMs that are drained for a move and idle, and gives up on those that take too long.
func (t *term) finishDrains(now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for n, o := range t.openOrders {
		if !o.draining || o.targetPool == "" {
			continue
		}
		v, known := t.vms[n]
		var l scheduler.ServerLoad
		t.owner.Update(func(s *scheduler.Scheduler, now time.Time) { l = s.ServerLoad(v.ServerID, now) })
		switch {
		case !known || v.State != vm.Up || v.ServerID != o.serverID:
			t.closeOrder(o, "VM changed while it was drained for a move")
		case t.isIdle(v, l) && t.mayOrder(vmorder.Needed, now):
			o.draining, o.startedAt = false, l.StartedAt
			t.pending = append(t.pending, o)
		case now.Sub(o.drainingSince) > maxMoveDrain:
			t.closeOrder(o, "VM not idle in time for a move")
		}
	}
}

// reportProvisioning gives the scheduler the cores that are moving to each pool and those of standby VMs, and how long a move
// takes.
func (t *term) reportProvisioning(vms []rebalance.VM) {
	t.lock.Lock()
	reserve := 0.0
	for _, v := range vms {
		if t.isStandby(v.Pool) && t.openOrders[v.Name] == nil && v.Movable {
			reserve += v.Cores
		}
	}
	m := map[string]float64{}
	for n, o := range t.openOrders {
		if o.targetPool != "" && !t.isStandby(o.targetPool) {
			m[o.targetPool] += float64(t.vms[n].Capacity.CPU) / 1000
		}
	}
	p := scheduler.Provisioning{IncomingCores: m, ReserveCores: reserve, MoveTime: t.controller.timing.MoveDowntime}
	t.lock.Unlock()
	t.owner.Update(func(s *scheduler.Scheduler, _ time.Time) { s.SetProvisioning(p) })
}
