package vmcontroller

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/rebalance"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// stepRebalance moves VMs to where the work is.
func (t *term) stepRebalance(loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed, now time.Time) {
	c := t.controller.table()
	if c == nil {
		return
	}
	pools, vms := t.rebalanceInput(loads, needs, now)
	t.logPools(pools, vms, now)
	l := rebalance.Decide(now, t.controller.policy, pools, vms, func(kind, pool string) bool {
		return t.invalidMoves[[2]string{kind, pool}]
	})
	for _, m := range l {
		t.orderMove(m)
	}
	t.reportIncomingCores(vms)
}

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
		t.trackSurplus(n, have[n] > rebalance.RequiredCores(t.controller.policy, needs[n].Cores), now)
		pools = append(pools, rebalance.Pool{Name: n, Standby: p.Standby, DemandCores: needs[n].Cores, MinVMs: needs[n].Servers, SurplusSince: t.surplusSince[n]})
	}
	return pools, vms
}

// poolLogInterval is how often the pools' needs are written to the log.
const poolLogInterval = time.Second

// logPools writes what the pools have and need, from which moves follow.
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
			"pool has %d VMs, its work needs %.0f cores and %d VMs at least", have[p.Name], p.DemandCores, p.MinVMs,
		)})
	}
}

// rebalanceVM counts a VM where it is or where it is going; one that is down counts nowhere.
func (t *term) rebalanceVM(name string, v vm.PlatformStatus, l scheduler.ServerLoad, now time.Time) rebalance.VM {
	x := rebalance.VM{
		Name: name, Pool: v.Pool, DataCentre: v.DataCentre, Kind: v.Kind(),
		Cores: float64(v.Capacity.CPU) / 1000, IdleSince: l.IdleSince,
	}
	d := t.openOrders[name]
	switch {
	case d != nil && d.targetPool != "":
		x.Pool = d.targetPool
	case d != nil && d.draining:
		x.Pool = ""
	case d != nil || v.State == vm.InMaintenance:
	case v.State == vm.Moving || now.Before(t.leasedUntil[name]):
	case v.State != vm.Up:
		x.Pool = ""
	case t.isStandby(v.Pool):
		x.Movable = true
	case !l.Listed || !l.Usable:
		// A VM that is up but does not serve is of no use where it is.
		x.Cores = 0
	default:
		x.Movable = l.Runs == 0
	}
	if x.IdleSince.IsZero() {
		x.IdleSince = now
	}
	return x
}

func (t *term) trackSurplus(pool string, has bool, now time.Time) {
	if !has {
		delete(t.surplusSince, pool)
		return
	}
	if t.surplusSince[pool].IsZero() {
		t.surplusSince[pool] = now
	}
}

// orderMove orders a VM to another pool if still nothing runs on it.
func (t *term) orderMove(m rebalance.Move) {
	if !t.isStandby(m.From) && !t.cordonIfIdle(m.VM) {
		return
	}
	t.logDecision(decision.Record{VM: m.VM, Pool: m.To, Service: m.From, Reason: "move: " + m.Reason})
	t.lock.Lock()
	d := &order{vm: m.VM, targetPool: m.To, serverID: t.vms[m.VM].ServerID}
	t.openOrders[m.VM] = d
	t.pending = append(t.pending, d)
	t.lock.Unlock()
}

// reportIncomingCores tells the scheduler which cores are on their way to each pool, and which are off.
func (t *term) reportIncomingCores(vms []rebalance.VM) {
	t.lock.Lock()
	reserve := 0.0
	for _, v := range vms {
		if t.isStandby(v.Pool) && t.openOrders[v.Name] == nil && v.Movable {
			reserve += v.Cores
		}
	}
	m := map[string]float64{}
	for n, d := range t.openOrders {
		if d.targetPool != "" && !t.isStandby(d.targetPool) {
			m[d.targetPool] += float64(t.vms[n].Capacity.CPU) / 1000
		}
	}
	t.lock.Unlock()
	t.owner.Do(func(s *scheduler.Scheduler, _ time.Time) { s.SetIncomingCores(m, reserve) })
}
