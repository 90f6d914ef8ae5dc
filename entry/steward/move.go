package steward

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/rebalance"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// stepMoves moves VMs to where the work is.
func (t *term) stepMoves(loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed, now time.Time) {
	c := t.steward.table()
	if c == nil {
		return
	}
	pools, vms := t.rebalanceInput(loads, needs, now)
	t.logPools(pools, vms, now)
	l := rebalance.Decide(now, t.steward.policy, pools, vms, func(kind, pool string) bool {
		return t.barred[[2]string{kind, pool}]
	})
	for _, m := range l {
		t.move(m)
	}
	t.tellComing(vms)
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
	for n, p := range t.steward.table().Pools {
		t.trackSurplus(n, have[n] > rebalance.RequiredCores(t.steward.policy, needs[n].Cores), now)
		pools = append(pools, rebalance.Pool{Name: n, Standby: p.Standby, DemandCores: needs[n].Cores, MinVMs: needs[n].Servers, SurplusSince: t.surplus[n]})
	}
	return pools, vms
}

// poolsEvery is how often the pools' needs are written to the log.
const poolsEvery = time.Second

// logPools writes what the pools have and need, from which moves follow.
func (t *term) logPools(pools []rebalance.Pool, vms []rebalance.VM, now time.Time) {
	if now.Sub(t.logged) < poolsEvery {
		return
	}
	t.logged = now
	have := map[string]int{}
	for _, v := range vms {
		have[v.Pool]++
	}
	for _, p := range pools {
		t.note(decision.Record{Pool: p.Name, Reason: fmt.Sprintf(
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
	d := t.duties[name]
	switch {
	case d != nil && d.pool != "":
		x.Pool = d.pool
	case d != nil && d.prepared:
		x.Pool = ""
	case d != nil || v.State == vm.InMaintenance:
	case v.State == vm.Moving || now.Before(t.embargo[name]):
	case v.State != vm.Up:
		x.Pool = ""
	case t.standby(v.Pool):
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
		delete(t.surplus, pool)
		return
	}
	if t.surplus[pool].IsZero() {
		t.surplus[pool] = now
	}
}

// move orders a VM to another pool if still nothing runs on it.
func (t *term) move(m rebalance.Move) {
	if !t.standby(m.From) && !t.empty(m.VM) {
		return
	}
	t.note(decision.Record{VM: m.VM, Pool: m.To, Service: m.From, Reason: "move: " + m.Reason})
	t.lock.Lock()
	d := &duty{vm: m.VM, pool: m.To, server: t.vms[m.VM].ServerID}
	t.duties[m.VM] = d
	t.wanted = append(t.wanted, d)
	t.lock.Unlock()
}

// tellComing tells the scheduler which cores are on their way to each pool, and which are off.
func (t *term) tellComing(vms []rebalance.VM) {
	t.lock.Lock()
	reserve := 0.0
	for _, v := range vms {
		if t.standby(v.Pool) && t.duties[v.Name] == nil && v.Movable {
			reserve += v.Cores
		}
	}
	m := map[string]float64{}
	for n, d := range t.duties {
		if d.pool != "" && !t.standby(d.pool) {
			m[d.pool] += float64(t.vms[n].Capacity.CPU) / 1000
		}
	}
	t.lock.Unlock()
	t.office.Do(func(s *scheduler.Scheduler, _ time.Time) { s.SetIncomingCores(m, reserve) })
}
