package vmcontroller_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/vmcontroller"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
	"github.com/tarragonbank/tarragonbank/fleet/wave"
)

// restart describes how a VM goes down for an order and comes back.
type restart struct {
	// after is the time for which it is down.
	after time.Duration
	// failed means that it does not come back from maintenance.
	failed bool
	// hidden means that the list cannot be read until the VM is back.
	hidden bool
	// clockStep is how far the clock of the VM has jumped meanwhile.
	clockStep time.Duration
}

// apply restarts each VM at its first order, under the ID of its server. The first n orders for each VM get no answer.
func (k restart) apply(o *fakeOwner, f *fakeFleet, n int) {
	orders := map[string]int{}
	f.onOrder = func(name string) {
		orders[name]++
		f.result = vmcontroller.Accepted
		if orders[name] <= n {
			f.result = vmcontroller.OutcomeUnknown
		}
		if orders[name] == 1 {
			k.takeDown(o, f, name, f.orders[len(f.orders)-1])
		}
	}
}

// takeDown takes a VM down for an order; the caller holds the fleet's lock.
func (k restart) takeDown(o *fakeOwner, f *fakeFleet, name, order string) {
	f.failLists = k.hidden
	f.update(name, func(v *vm.PlatformStatus) { v.State, v.ServerID = vm.InMaintenance, "" })
	go o.Update(func(s *scheduler.Scheduler, now time.Time) {
		s.ServerUnreachable("s-"+name, time.Unix(1, 0), now, "connection refused")
	})
	time.AfterFunc(k.after, func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		f.failLists = false
		f.update(name, func(v *vm.PlatformStatus) {
			w := strings.Fields(order)
			if k.failed && w[0] == "maintain" {
				v.State = vm.Down
				return
			}
			v.State = vm.Up
			if w[0] == "move" {
				v.Pool = w[3]
			}
			if v.Pool != "off" {
				v.ServerID = "s-" + name
				startIdle(o, v, time.Unix(2, 0).Add(k.clockStep))
			}
		})
	})
}

// startIdle registers the server of a VM, which started at the given time, and has it list no runs for 20 s.
func startIdle(o *fakeOwner, v *vm.PlatformStatus, startedAt time.Time) {
	name, id, pool, began := v.Name, v.ServerID, v.Pool, time.Now()
	var list func()
	list = func() {
		reportIdleLife(o, name, id, pool, startedAt, time.Since(began)+time.Millisecond)
		if time.Since(began) < 20*time.Second {
			time.AfterFunc(time.Second, list)
		}
	}
	list()
}

// Guards against VMs that stay cordoned, and waves that stop, because an order ended otherwise than by another server ID.
func TestOrderEndsHoweverItsVMComesBack(t *testing.T) {
	for n, k := range map[string]struct {
		restart    restart
		unanswered int
	}{
		"under the same ID":                     {restart{after: 2 * time.Second}, 0},
		"under the same ID, not listed as down": {restart{after: 2 * time.Second, hidden: true}, 0},
		"under the same ID, late":               {restart{after: 5 * time.Second}, 0},
		"under the same ID, the answer lost":    {restart{after: 2 * time.Second}, 1},
		"before an answer arrives":              {restart{after: 2 * time.Second}, 6},
		"never":                                 {restart{after: 2 * time.Second, failed: true}, 0},
	} {
		t.Run(n, func(t *testing.T) {
			run(t, func(_ *gomega.WithT, o *fakeOwner, x *fakeFleet) {
				for i := range x.vms {
					reportIdle(o, x.vms[i].Name)
				}
				x.secondWave = &wave.Wave{Number: 2, VMs: []string{"b", "c"}, TimeLimit: 30 * time.Second, MaxDown: 1}
				k.restart.apply(o, x, k.unanswered)
			}, func(g *gomega.WithT, o *fakeOwner, x *fakeFleet) {
				time.Sleep(40 * time.Second)
				g.Expect(o.read("status 2")).To(gomega.Equal("complete"), strings.Join(x.ordered(), ", "))
				o.Update(func(s *scheduler.Scheduler, _ time.Time) { g.Expect(s.CordonedVMs()).To(gomega.BeEmpty()) })
			})
		})
	}
}

// Guards against VMs that serve nothing for good after a cause that is not known.
func TestVMCordonedWithoutOrderIsUncordoned(t *testing.T) {
	run(t, func(_ *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		reportIdle(o, "b")
		o.Update(func(s *scheduler.Scheduler, _ time.Time) { s.Cordon("b", true) })
	}, func(g *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		time.Sleep(2 * time.Second)
		o.Update(func(s *scheduler.Scheduler, _ time.Time) { g.Expect(s.CordonedVMs()).NotTo(gomega.ContainElement("b")) })
	})
}

// Guards against a VM that serves nothing in the pool that it was moved to, since its server has the same ID there.
func TestVMThatMovesUnderTheSameIDServesItsPool(t *testing.T) {
	const id = "00000000000000a1"
	run(t, func(_ *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		for i := range x.vms {
			reportIdle(o, x.vms[i].Name)
		}
		o.Update(func(s *scheduler.Scheduler, now time.Time) {
			s.Restore(&schema.JobRecord{
				Id: id, Queue: "carvings", Steps: []*schema.StepRecord{{Count: 1, CpuMilli: 32000, EstimateMs: 1000, Lasting: true}},
			}, &schema.JobProgress{}, now)
		})
		restart{after: time.Second}.apply(o, x, 0)
	}, func(g *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		time.Sleep(6 * time.Second)
		o.Update(func(s *scheduler.Scheduler, now time.Time) {
			s.Plan(now)
			g.Expect(s.Explain(id, now).Jobs[0].Tasks[0].Server).NotTo(gomega.BeEmpty(), strings.Join(x.ordered(), ", "))
		})
	})
}

// Guards against a server that is taken for ended, with its runs, by the late answer to an order that has ended its last incarnation.
func TestLateAnswerToOrderDoesNotEndTheNextIncarnation(t *testing.T) {
	run(t, func(_ *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		for i := range x.vms {
			reportIdle(o, x.vms[i].Name)
		}
		restart{after: time.Second}.apply(o, x, 6)
	}, func(g *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		time.Sleep(1500 * time.Millisecond)
		for range 100 {
			o.Update(func(s *scheduler.Scheduler, now time.Time) {
				g.Expect(s.ServerLoad("s-a", now).Usable).To(gomega.BeTrue())
			})
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(x.ordered()).To(gomega.ContainElement("maintain a by e1"))
		g.Expect(o.read("status")).To(gomega.Equal("complete"))
	})
}

// Guards against a wave that is reported as complete although a VM of it, which the list did not show yet, was not maintained.
func TestWaveAwaitsVMThatIsNotListedYet(t *testing.T) {
	run(t, func(_ *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		reportIdle(o, "a")
		missing := x.vms[0]
		x.vms = x.vms[1:]
		time.AfterFunc(2*time.Second, func() {
			x.lock.Lock()
			defer x.lock.Unlock()
			x.vms = append(x.vms, missing)
		})
	}, func(g *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		time.Sleep(1900 * time.Millisecond)
		g.Expect(o.read("status")).To(gomega.Equal("running"))
		time.Sleep(3 * time.Second)
		g.Expect(x.ordered()).To(gomega.ContainElement("maintain a by e1"))
		g.Expect(o.read("status")).To(gomega.Equal("complete"))
	})
}

// Guards against a wave that waits for a VM that was removed for good.
func TestWaveDoesNotAwaitRemovedVM(t *testing.T) {
	run(t, func(_ *gomega.WithT, _ *fakeOwner, x *fakeFleet) {
		x.vms = x.vms[1:]
	}, func(g *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		time.Sleep(5 * time.Second)
		g.Expect(o.read("status")).To(gomega.Equal("complete"))
	})
}

// Guards against exceeding a wave's cap because the list misses a VM that is in maintenance.
func TestVMMissingFromTheListCountsAsDown(t *testing.T) {
	down, most := 0, 0
	run(t, func(_ *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		for i := range x.vms {
			reportIdle(o, x.vms[i].Name)
		}
		x.secondWave = &wave.Wave{Number: 2, VMs: []string{"b", "c"}, TimeLimit: 30 * time.Second, MaxDown: 1}
		x.onOrder = func(name string) {
			if !strings.Contains(x.orders[len(x.orders)-1], "wave 2") {
				return
			}
			down++
			most = max(most, down)
			for i := range x.vms {
				if x.vms[i].Name == name {
					v := x.vms[i]
					x.vms = slices.Delete(x.vms, i, i+1)
					time.AfterFunc(2*time.Second, func() {
						x.lock.Lock()
						defer x.lock.Unlock()
						down--
						v.ServerID = "t-" + name
						x.vms = append(x.vms, v)
						reportIdleAs(o, name, v.ServerID)
					})
					return
				}
			}
		}
	}, func(g *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		time.Sleep(20 * time.Second)
		g.Expect(o.read("status 2")).To(gomega.Equal("complete"), strings.Join(x.ordered(), ", "))
		g.Expect(most).To(gomega.Equal(1))
	})
}
