package vmcontroller

import (
	"fmt"
	"strings"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
	"github.com/tarragonbank/tarragonbank/fleet/vmusage"
)

// usageLogInterval is the time between two logs of the account of VM time.
const usageLogInterval = 5 * time.Second

// recordUsage adds the VMs that are on to the account of VM time, and reports it.
func (t *term) recordUsage(loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed, now time.Time) {
	t.lock.Lock()
	vms := []vmusage.VM{}
	for n, v := range t.vms {
		if !t.isStandby(v.Pool) || v.State == vm.Moving {
			vms = append(vms, t.usageOf(n, v, loads[v.ServerID]))
		}
	}
	pools := map[string]vmusage.Pool{}
	for n, x := range needs {
		pools[n] = vmusage.Pool{Waiting: x.Waiting, Surplus: !t.surplusSince[n].IsZero()}
	}
	t.usage.Add(now, vms, pools)
	due := now.Sub(t.usageLoggedAt) >= usageLogInterval
	if due {
		t.usageLoggedAt = now
	}
	t.lock.Unlock()
	l := []string{}
	for _, c := range vmusage.CauseValues() {
		d := t.usage.Total(c)
		t.controller.metrics.Gauge("vm_seconds_"+c.String(), d.Seconds())
		l = append(l, fmt.Sprintf("%s %.0f", c, d.Seconds()))
	}
	if due {
		t.logDecision(decision.Record{Reason: "VM-seconds of this term: " + strings.Join(l, ", ")})
	}
}

func (t *term) usageOf(name string, v vm.PlatformStatus, l scheduler.ServerLoad) vmusage.VM {
	o := t.openOrders[name]
	return vmusage.VM{
		Pool: v.Pool, Cores: float64(v.Capacity.CPU) / 1000, UsedCores: l.UsedCores, Runs: l.Runs, LongRunning: l.LongRunning,
		Down: v.State != vm.Up, Cordoned: o != nil, Usable: l.Listed && l.Usable,
	}
}
