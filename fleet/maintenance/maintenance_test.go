package maintenance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

func TestMaintenance(t *testing.T) {
	suite.Run(t, "maintenance")
}

var now = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

var shortRules = maintenance.Rules{
	Period: time.Hour, Drain: 10 * time.Second, RebootLimit: time.Minute, Halt: 10 * time.Minute, Stay: time.Minute,
}

var healthy = maintenance.Observation{Running: true, Reachable: true, BootID: "1"}

// newFleetState returns pools of four healthy VMs, two to a rack, all due for maintenance.
func newFleetState(maxDown int, pools ...string) maintenance.FleetState {
	s := maintenance.FleetState{
		Rules: shortRules, Pools: map[string]pool.Pool{}, PoolStates: map[string]maintenance.PoolState{},
		VMStates: map[string]vm.State{}, Observations: map[string]maintenance.Observation{}, Demand: map[string]int{},
	}
	for _, n := range pools {
		p := pool.Pool{Name: n, MaxDown: maxDown, Spare: n == "spare"}
		for i := range 4 {
			v := vm.VM{Name: fmt.Sprintf("%s-%d", n, i), Rack: fmt.Sprintf("%s-r%d", n, i/2), Pool: n, HomePool: n, Slots: 8}
			p.VMs = append(p.VMs, v)
			s.VMStates[v.Name] = vm.State{MaintainedAt: now.Add(-24 * time.Hour)}
			s.Observations[v.Name] = healthy
		}
		s.Pools[n] = p
	}
	return s
}

// apply records the actions in the state, as the store would, and describes each of them.
func apply(s maintenance.FleetState, l []maintenance.Action) []string {
	r := []string{}
	for _, a := range l {
		if a.VM == "" {
			s.PoolStates[a.Pool] = a.PoolState
			r = append(r, fmt.Sprintf("%s: %s", a.Pool, a.Reason))
			continue
		}
		s.VMStates[a.VM] = a.VMState
		r = append(r, fmt.Sprintf("%s %s", a.VM, a.VMState.Phase))
	}
	return r
}

func phases(s maintenance.FleetState, p string) map[vm.Phase]int {
	m := map[vm.Phase]int{}
	for _, v := range s.Pools[p].VMs {
		m[s.VMStates[v.Name].Phase]++
	}
	return m
}

var _ = ginkgo.Describe("rolling maintenance", func() {
	ginkgo.It("starts with one VM and widens when it comes back, within the budget", func() {
		s := newFleetState(2, "cups")
		apply(s, maintenance.Decide(now, s))
		first := phases(s, "cups")[vm.Draining]
		at := now.Add(20 * time.Second)
		apply(s, maintenance.Decide(at, s))
		for n, x := range s.VMStates {
			if x.Phase == vm.Rebooting {
				s.Observations[n] = maintenance.Observation{Running: true, Reachable: true, BootID: "2"}
			}
		}
		at = at.Add(20 * time.Second)
		apply(s, maintenance.Decide(at, s))
		gomega.Expect([]int{first, phases(s, "cups")[vm.Draining], s.PoolStates["cups"].Width}).To(gomega.Equal([]int{1, 2, 2}))
	})

	ginkgo.It("halts when a VM does not come back, and returns draining VMs to service", func() {
		s := newFleetState(3, "cups")
		s.PoolStates["cups"] = maintenance.PoolState{Width: 3}
		s.VMStates["cups-0"] = vm.State{Phase: vm.Rebooting, Since: now.Add(-2 * time.Minute), BootID: "1", MaintainedAt: now}
		s.Observations["cups-0"] = maintenance.Observation{}
		s.VMStates["cups-1"] = vm.State{Phase: vm.Draining, Since: now, MaintainedAt: now}
		l := apply(s, maintenance.Decide(now, s))
		gomega.Expect(l).To(gomega.Equal([]string{"cups-0 failed", "cups: halted", "cups-1 inService"}))
	})

	ginkgo.It("explains why it waits", func() {
		s := newFleetState(1, "cups")
		why := []string{}
		ask := func() { why = append(why, maintenance.Explain(now, s, "cups")) }
		ask()
		s.Observations["cups-3"] = maintenance.Observation{Running: true}
		ask()
		s.PoolStates["cups"] = maintenance.PoolState{HaltedUntil: now.Add(time.Minute), Reason: "cups-0 did not come back"}
		ask()
		s.PoolStates["cups"] = maintenance.PoolState{Paused: true}
		ask()
		s.Observations["cups-3"] = healthy
		s.PoolStates["cups"] = maintenance.PoolState{}
		s.Rules.QuietFrom, s.Rules.QuietTo = 11, 13
		ask()
		gomega.Expect(why).To(gomega.Equal([]string{
			"", "the pool's budget is used up", "the wave is halted: cups-0 did not come back", "an operator paused the wave", "these are quiet hours",
		}))
	})

	ginkgo.It("does not start while failures use up the budget, and counts VMs without observation as down", func() {
		s := newFleetState(1, "cups")
		delete(s.Observations, "cups-2")
		gomega.Expect(apply(s, maintenance.Decide(now, s))).To(gomega.BeEmpty())
	})

	ginkgo.It("records a new VM as maintained, not as due", func() {
		s := newFleetState(1, "cups")
		for n := range s.VMStates {
			s.VMStates[n] = vm.State{}
		}
		apply(s, maintenance.Decide(now, s))
		gomega.Expect(phases(s, "cups")).To(gomega.Equal(map[vm.Phase]int{vm.InService: 4}))
	})
})

var _ = ginkgo.Describe("spare VMs", func() {
	lent := func(s maintenance.FleetState) int {
		n := 0
		for _, x := range s.VMStates {
			if x.Pool != "" {
				n++
			}
		}
		return n
	}

	ginkgo.It("are lent one at a time, and not all of them", func() {
		s := newFleetState(1, "cups", "spare")
		s.Rules.Period = 0
		s.Demand["cups"] = 60
		for i := range 6 {
			l := maintenance.Decide(now.Add(time.Duration(i)*time.Second), s)
			apply(s, l)
			for _, a := range l {
				relocate(s, a)
			}
		}
		gomega.Expect(lent(s)).To(gomega.Equal(3))
	})

	ginkgo.It("return only after the minimum stay and once they are no longer needed", func() {
		s := newFleetState(1, "cups", "spare")
		s.Rules.Period = 0
		s.Demand["cups"] = 30
		l := maintenance.Decide(now, s)
		apply(s, l)
		for _, a := range l {
			relocate(s, a)
		}
		s.Demand["cups"] = 5
		soon := maintenance.Decide(now.Add(30*time.Second), s)
		later := maintenance.Decide(now.Add(2*time.Minute), s)
		gomega.Expect([]int{lent(s), len(soon), len(later)}).To(gomega.Equal([]int{1, 0, 1}))
	})

	ginkgo.It("do not move while demand is between the two thresholds", func() {
		s := newFleetState(1, "cups", "spare")
		s.Rules.Period = 0
		s.Demand["cups"] = 24
		gomega.Expect(maintenance.Decide(now, s)).To(gomega.BeEmpty())
	})
})

// relocate moves a lent or returned VM to its new pool, as rereading the stored state does.
func relocate(s maintenance.FleetState, a maintenance.Action) {
	if a.VM == "" || a.VMState.MovedAt.IsZero() {
		return
	}
	for n, p := range s.Pools {
		kept := []vm.VM{}
		for _, v := range p.VMs {
			if v.Name != a.VM {
				kept = append(kept, v)
				continue
			}
			v.Pool = a.VMState.Pool
			if v.Pool == "" {
				v.Pool = v.HomePool
			}
			q := s.Pools[v.Pool]
			q.VMs = append(append([]vm.VM{}, q.VMs...), v)
			s.Pools[v.Pool] = q
		}
		p = s.Pools[n]
		if len(kept) < len(p.VMs) && n != a.VMState.Pool {
			p.VMs = kept
			s.Pools[n] = p
		}
	}
}
