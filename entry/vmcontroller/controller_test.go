package vmcontroller_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/vmcontroller"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
	"github.com/tarragonbank/tarragonbank/fleet/wave"
)

var table = queue.New(1, []queue.Queue{{Name: "plans", Pool: "cups"}, {Name: "carvings", Pool: "saws"}}, map[string]queue.Pool{
	"cups": {Name: "cups"}, "saws": {Name: "saws"}, "off": {Name: "off", Standby: true},
}, queue.Limits{})

// fakeOwner is an owner's term with a scheduler, and a store in memory whose writes can fail.
type fakeOwner struct {
	lock       sync.Mutex
	scheduler  *scheduler.Scheduler
	items      map[string][]byte
	failWrites bool
	// writeDelay is how long a write takes.
	writeDelay time.Duration
	began      time.Time
}

func newFakeOwner() *fakeOwner {
	s := scheduler.New(scheduler.Limits{MaxLease: 6 * time.Second}, time.Now())
	s.SetTable(table)
	return &fakeOwner{scheduler: s, items: map[string][]byte{}, began: time.Now()}
}

func (o *fakeOwner) Update(f func(*scheduler.Scheduler, time.Time)) {
	o.lock.Lock()
	defer o.lock.Unlock()
	f(o.scheduler, time.Now())
}

func (o *fakeOwner) FencingToken() (uint64, bool) { return 9, true }
func (o *fakeOwner) StartedAt() time.Time         { return o.began }

func (o *fakeOwner) Read(_ context.Context, prefix string) ([]store.Item, error) {
	l := []store.Item{}
	for k, v := range o.items {
		if strings.HasPrefix(k, prefix) {
			l = append(l, store.Item{Key: k, Value: v, Revision: 1})
		}
	}
	return l, nil
}

func (o *fakeOwner) Write(_ context.Context, l []store.Write) error {
	time.Sleep(o.writeDelay)
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.failWrites {
		return errors.New("store unavailable")
	}
	for _, w := range l {
		o.items[w.Key] = w.Value
	}
	return nil
}

func (o *fakeOwner) read(key string) string {
	o.lock.Lock()
	defer o.lock.Unlock()
	return string(o.items[key])
}

// fakeFleet records the orders that it gets and gives them all the same result.
type fakeFleet struct {
	lock   sync.Mutex
	vms    []vm.PlatformStatus
	orders []string
	result vmcontroller.Result
	// latency is how long an order is on its way. It arrives also if its sender no longer waits.
	latency time.Duration
	// secondWave runs beside wave 1 if it is set.
	secondWave *wave.Wave
	// onOrder is called with the VM of each order, under the lock.
	onOrder func(name string)
	// lists counts the readings of the list. They fail if failLists is true.
	lists     int
	failLists bool
}

func (f *fakeFleet) List(context.Context) ([]vm.PlatformStatus, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.lists++
	if f.failLists {
		return nil, errors.New("too many readings")
	}
	return append([]vm.PlatformStatus{}, f.vms...), nil
}

func (f *fakeFleet) Move(_ context.Context, name, pool string, i vmcontroller.Issuer) (vmcontroller.Result, error) {
	return f.order(name, "move "+name+" to "+pool+" by "+i.Name)
}

func (f *fakeFleet) Maintain(_ context.Context, name string, n int, i vmcontroller.Issuer) (vmcontroller.Result, error) {
	if n > 1 {
		return f.order(name, fmt.Sprintf("maintain %s by %s for wave %d", name, i.Name, n))
	}
	return f.order(name, "maintain "+name+" by "+i.Name)
}

func (f *fakeFleet) order(name, s string) (vmcontroller.Result, error) {
	time.Sleep(f.latency)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.orders = append(f.orders, s)
	if f.onOrder != nil {
		f.onOrder(name)
	}
	return f.result, nil
}

func (f *fakeFleet) ordered() []string {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]string{}, f.orders...)
}

type statusEncoder struct{}

func (statusEncoder) Status(n int, complete bool) store.Write {
	key := "status"
	if n > 1 {
		key = fmt.Sprintf("status %d", n)
	}
	if complete {
		return store.Write{Key: key, Value: []byte("complete")}
	}
	return store.Write{Key: key, Value: []byte("running")}
}

type discardLogger struct{}

func (discardLogger) Add(decision.Record) {}

func newVM(name string) vm.PlatformStatus {
	return vm.PlatformStatus{
		Name: name, Pool: "cups", ServerID: "s-" + name, Labels: []string{"plain"}, Capacity: job.Size{CPU: 64000, MemoryMB: 1000},
	}
}

// reportIdle registers a VM's server and has it list no runs.
func reportIdle(o *fakeOwner, name string) {
	reportIdleAs(o, name, "s-"+name)
}

func reportIdleAs(o *fakeOwner, name, id string) {
	reportIdleWith(o, name, id, 64000)
}

// reportIdleWith registers a VM's server with a capacity in thousandths of a core and has it list no runs.
func reportIdleWith(o *fakeOwner, name, id string, cpu int64) {
	report(o, server.Server{ID: id, StartedAt: time.Unix(1, 0), VM: name, Pool: "cups", Capacity: job.Size{CPU: cpu}}, time.Duration(time.Now().UnixNano()))
}

// reportIdleLife registers an incarnation of a VM's server and has it list no runs at the time clock after its start.
func reportIdleLife(o *fakeOwner, name, id, pool string, startedAt time.Time, clock time.Duration) {
	report(o, server.Server{ID: id, StartedAt: startedAt, VM: name, Pool: pool, Capacity: job.Size{CPU: 64000}}, clock)
}

func report(o *fakeOwner, v server.Server, clock time.Duration) {
	v.Capacity.MemoryMB = 1000
	v.Address = netip.MustParseAddrPort("127.0.0.1:1")
	o.Update(func(s *scheduler.Scheduler, now time.Time) {
		s.Register(v, now)
		s.ListingReceived(v.ID, server.Listing{StartedAt: v.StartedAt, Clock: clock}, now)
	})
}

// restartOnOrder takes VMs down with each order and brings them back after 2 s, with another server.
func (f *fakeFleet) restartOnOrder(o *fakeOwner) {
	f.onOrder = func(name string) {
		f.update(name, func(v *vm.PlatformStatus) { v.State, v.ServerID = vm.InMaintenance, "" })
		time.AfterFunc(2*time.Second, func() {
			f.lock.Lock()
			f.update(name, func(v *vm.PlatformStatus) { v.State, v.ServerID = vm.Up, "t-"+name })
			f.lock.Unlock()
			reportIdleAs(o, name, "t-"+name)
		})
	}
}

func (f *fakeFleet) update(name string, change func(v *vm.PlatformStatus)) {
	for i := range f.vms {
		if f.vms[i].Name == name {
			change(&f.vms[i])
		}
	}
}

// scenario prepares or checks a controller's owner and fleet.
type scenario func(g *gomega.WithT, o *fakeOwner, x *fakeFleet)

// newController returns the controller of an entry with a wave over VM a.
func newController(entry string, x *fakeFleet) *vmcontroller.Controller {
	c := vmcontroller.New(entry, x, statusEncoder{}, discardLogger{}, vmcontroller.Timing{
		MoveDowntime: time.Second, MaintenanceDowntime: 2 * time.Second, OrderLease: 3 * time.Second,
	}, func() *queue.Table { return table })
	c.AddWave(wave.Wave{Number: 1, VMs: []string{"a"}, TimeLimit: 10 * time.Second, MaxDown: 1})
	return c
}

// run prepares VMs a, b and c, runs a controller with a wave over VM a, and checks what it does.
func run(t *testing.T, prepare, check scenario) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := newFakeOwner()
		x := &fakeFleet{vms: []vm.PlatformStatus{newVM("a"), newVM("b"), newVM("c")}}
		prepare(gomega.NewWithT(t), o, x)
		c := newController("e1", x)
		if x.secondWave != nil {
			c.AddWave(*x.secondWave)
		}
		ctx, stop := context.WithCancel(context.Background())
		go c.Run(ctx, o)
		defer func() {
			stop()
			synctest.Wait()
		}()
		check(gomega.NewWithT(t), o, x)
	})
}

func TestWaveMaintainsIdleVM(t *testing.T) {
	run(t, func(_ *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		for _, n := range []string{"a", "b", "c"} {
			reportIdle(o, n)
		}
	}, func(g *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		time.Sleep(time.Second)
		g.Expect(x.ordered()).To(gomega.Equal([]string{"maintain a by e1"}))
		time.Sleep(time.Second)
		g.Expect(o.read("status")).To(gomega.Equal("complete"))
		g.Expect(o.read("tarragonbank/orders")).NotTo(gomega.BeEmpty())
	})
}

func TestServerWithoutListingIsNotIdle(t *testing.T) {
	run(t, func(*gomega.WithT, *fakeOwner, *fakeFleet) {}, func(g *gomega.WithT, _ *fakeOwner, x *fakeFleet) {
		time.Sleep(scheduler.MaxUnconfirmedRenewal + 4980*time.Millisecond)
		g.Expect(x.ordered()).To(gomega.BeEmpty(), "a previous owner may have renewed the leases of its runs")
		time.Sleep(5 * time.Second)
		g.Expect(x.ordered()).To(gomega.ContainElement("maintain a by e1"), "once no run of a previous owner can be left")
	})
}

// A pool whose turn begins takes a VM of another pool that runs tasks, but only once these have ended.
func TestBusyVMIsDrainedBeforeItsMove(t *testing.T) {
	record := func(id, queue string, count int32, cpu int64) *schema.JobRecord {
		return &schema.JobRecord{
			Id: id, Queue: queue, AcceptedMs: time.Now().UnixMilli(), Steps: []*schema.StepRecord{{Count: count, CpuMilli: cpu, EstimateMs: 1000}},
		}
	}
	running := "00000000000000a1"
	list := func(o *fakeOwner, name string, runs ...server.Run) {
		o.Update(func(s *scheduler.Scheduler, now time.Time) {
			s.ListingReceived("s-"+name, server.Listing{StartedAt: time.Unix(1, 0), Clock: time.Duration(now.UnixNano()), Runs: runs}, now)
		})
	}
	run(t, func(_ *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		for _, n := range []string{"a", "b", "c"} {
			reportIdle(o, n)
		}
		o.Update(func(s *scheduler.Scheduler, now time.Time) {
			p := &schema.JobProgress{}
			for i, n := range []string{"s-b", "s-c"} {
				p.Tasks = append(p.Tasks, &schema.TaskProgress{Index: int32(i), LastRun: 1, Server: n, BornMs: 1000})
			}
			s.Restore(record(running, "plans", 2, 40000), p, now)
			s.Restore(record("00000000000000a2", "carvings", 20, 32000), &schema.JobProgress{}, now)
		})
		for i, n := range []string{"b", "c"} {
			list(o, n, server.Run{Task: job.Task{Job: running, Index: i}, Number: 1, Percent: 10})
		}
	}, func(g *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		time.Sleep(500 * time.Millisecond)
		g.Expect(x.ordered()).NotTo(gomega.ContainElement(gomega.ContainSubstring("move")))
		var placed int
		o.Update(func(s *scheduler.Scheduler, now time.Time) {
			s.Restore(record("00000000000000a3", "plans", 2, 20000), &schema.JobProgress{}, now)
			s.Plan(now)
			for _, k := range s.Explain("00000000000000a3", now).Jobs[0].Tasks {
				if k.Server != "" {
					placed++
				}
			}
		})
		g.Expect(placed).To(gomega.Equal(1), "the VM that is to move gets no new tasks")
		list(o, "b")
		list(o, "c")
		time.Sleep(500 * time.Millisecond)
		g.Expect(x.ordered()).To(gomega.ContainElement(gomega.MatchRegexp("move [bc] to saws")))
	})
}

// A crashed server comes back under another ID after some seconds; its tasks waited for the lease that it no longer holds.
func TestRunsOfServerWhoseVMIsListedAsDownEnd(t *testing.T) {
	id := "00000000000000a1"
	run(t, func(_ *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		reportIdle(o, "b")
		x.update("b", func(v *vm.PlatformStatus) { v.State, v.ServerID = vm.Down, "" })
		o.Update(func(s *scheduler.Scheduler, now time.Time) {
			s.Restore(&schema.JobRecord{
				Id: id, Queue: "plans", AcceptedMs: now.UnixMilli(), Steps: []*schema.StepRecord{{Count: 1, CpuMilli: 1000, EstimateMs: 1000}},
			}, &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "s-b", BornMs: 1000}}}, now)
			s.ServerUnreachable("s-b", time.UnixMilli(1000), now, "connection refused")
		})
	}, func(g *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		time.Sleep(time.Second)
		o.Update(func(s *scheduler.Scheduler, now time.Time) {
			g.Expect(s.Explain(id, now).Jobs[0].Tasks[0].Server).To(gomega.BeEmpty())
		})
	})
}

// A server that has shrunk may grow again: its VM is listed with what it can have.
func TestJobThatFitsVMOfShrunkServerIsNotRefused(t *testing.T) {
	run(t, func(_ *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		reportIdleWith(o, "a", "s-a", 1000)
	}, func(g *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		time.Sleep(time.Second)
		var refused []string
		o.Update(func(s *scheduler.Scheduler, now time.Time) {
			s.Submit(&schema.JobRecord{
				Id: "00000000000000a1", Queue: "plans", Steps: []*schema.StepRecord{{Count: 1, CpuMilli: 60000, EstimateMs: 1000, Lasting: true}},
			}, now, func(r scheduler.Reply) { refused = append(refused, r.Reason) })
		})
		g.Expect(refused).To(gomega.BeEmpty())
	})
}

// Guards against a pool that is left short because its VMs are listed with more than their servers have.
func TestPoolWithShrunkServersGetsVM(t *testing.T) {
	run(t, func(_ *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		for _, n := range []string{"a", "b", "c"} {
			reportIdleWith(o, n, "s-"+n, 16000)
		}
		standby := newVM("d")
		standby.Pool, standby.ServerID = "off", ""
		x.vms = append(x.vms, standby)
		o.Update(func(s *scheduler.Scheduler, now time.Time) {
			s.Restore(&schema.JobRecord{
				Id: "00000000000000a1", Queue: "plans", Steps: []*schema.StepRecord{{Count: 8, CpuMilli: 12000, EstimateMs: 1000, Lasting: true}},
			}, &schema.JobProgress{}, now)
		})
	}, func(g *gomega.WithT, _ *fakeOwner, x *fakeFleet) {
		time.Sleep(time.Second)
		g.Expect(x.ordered()).To(gomega.ContainElement("move d to cups by e1"))
	})
}

func TestOrdersAreStoredBeforeSending(t *testing.T) {
	run(t, func(_ *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		reportIdle(o, "a")
		o.failWrites = true
	}, func(g *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		time.Sleep(2 * time.Second)
		g.Expect(x.ordered()).To(gomega.BeEmpty())
		o.lock.Lock()
		o.failWrites = false
		o.lock.Unlock()
		time.Sleep(time.Second)
		g.Expect(x.ordered()).NotTo(gomega.BeEmpty())
	})
}

func TestOrderLeaseOfPreviousOwnerIsAwaited(t *testing.T) {
	run(t, func(g *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		reportIdle(o, "a")
		b, err := proto.Marshal(&schema.VmOrders{Orders: []*schema.VmOrder{{Vm: "a", AtMs: time.Now().UnixMilli()}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		o.items["tarragonbank/orders"] = b
	}, func(g *gomega.WithT, _ *fakeOwner, x *fakeFleet) {
		time.Sleep(2500 * time.Millisecond)
		g.Expect(x.ordered()).To(gomega.BeEmpty())
		time.Sleep(2 * time.Second)
		g.Expect(x.ordered()).NotTo(gomega.BeEmpty())
	})
}

func TestUnansweredOrderIsRetried(t *testing.T) {
	run(t, func(_ *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		reportIdle(o, "a")
		x.result = vmcontroller.OutcomeUnknown
	}, func(g *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		time.Sleep(1500 * time.Millisecond)
		g.Expect(len(x.ordered())).To(gomega.BeNumerically(">", 1))
		g.Expect(o.read("status")).To(gomega.Equal("running"))
	})
}

func TestVMInTwoWavesIsMaintainedTwice(t *testing.T) {
	run(t, func(_ *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		for _, n := range []string{"a", "b", "c"} {
			reportIdle(o, n)
		}
		x.secondWave = &wave.Wave{Number: 2, VMs: []string{"a"}, TimeLimit: 20 * time.Second, MaxDown: 1}
		x.restartOnOrder(o)
	}, func(g *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		time.Sleep(1500 * time.Millisecond)
		g.Expect(x.ordered()).To(gomega.HaveLen(1))
		done := 0
		for _, k := range []string{"status", "status 2"} {
			if o.read(k) == "complete" {
				done++
			}
		}
		g.Expect(done).To(gomega.Equal(1), "only the wave for which the VM is down is complete")
		time.Sleep(8 * time.Second)
		l := slices.DeleteFunc(x.ordered(), func(s string) bool { return strings.HasPrefix(s, "move") })
		g.Expect(l).To(gomega.ConsistOf("maintain a by e1", "maintain a by e1 for wave 2"))
		g.Expect(o.read("status") + o.read("status 2")).To(gomega.Equal("completecomplete"))
	})
}

func TestServerIsUsableAgainAfterOrderWithoutEffect(t *testing.T) {
	run(t, func(_ *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		for _, n := range []string{"a", "b", "c"} {
			reportIdle(o, n)
		}
	}, func(g *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		// The order is accepted, but the VM stays up: a previous owner's order was already carried out.
		time.Sleep(time.Second)
		g.Expect(x.ordered()).To(gomega.HaveLen(1))
		time.Sleep(5 * time.Second)
		reportIdle(o, "a")
		o.Update(func(s *scheduler.Scheduler, now time.Time) {
			g.Expect(s.ServerLoads(now)["s-a"].Usable).To(gomega.BeTrue())
			g.Expect(s.TakeOrders().ResumePolling).To(gomega.ContainElement(gomega.HaveField("ID", "s-a")))
		})
	})
}

// Thousands of idle VMs were ordered to move at once and again every 400 ms, so that the owner could do nothing else.
func TestOrdersOfALargeFleetStayWithinThePlatformsLimit(t *testing.T) {
	const limit = 50
	sent := []time.Time{}
	run(t, func(_ *gomega.WithT, o *fakeOwner, x *fakeFleet) {
		for i := range 1000 {
			n := fmt.Sprintf("v%04d", i)
			x.vms = append(x.vms, newVM(n))
			reportIdle(o, n)
		}
		x.result = vmcontroller.OutcomeUnknown
		x.onOrder = func(string) { sent = append(sent, time.Now()) }
	}, func(g *gomega.WithT, _ *fakeOwner, x *fakeFleet) {
		time.Sleep(20 * time.Second)
		x.lock.Lock()
		defer x.lock.Unlock()
		g.Expect(len(sent)).To(gomega.BeNumerically(">", 20*limit/4), "orders go on")
		for i, at := range sent {
			n := 0
			for _, later := range sent[i:] {
				if later.Sub(at) < time.Second {
					n++
				}
			}
			g.Expect(n).To(gomega.BeNumerically("<=", limit))
		}
	})
}

// A refused reading of the list was repeated three times as often as others, which kept the platform's limit exceeded.
func TestFailedListIsNotReadMoreOften(t *testing.T) {
	readings := [2]int{}
	for i, fail := range []bool{false, true} {
		run(t, func(_ *gomega.WithT, _ *fakeOwner, x *fakeFleet) {
			x.failLists = fail
		}, func(_ *gomega.WithT, _ *fakeOwner, x *fakeFleet) {
			time.Sleep(10 * time.Second)
			x.lock.Lock()
			defer x.lock.Unlock()
			readings[i] = x.lists
		})
	}
	gomega.NewWithT(t).Expect(readings[1]).To(gomega.And(gomega.BeNumerically(">", 10), gomega.BeNumerically("<=", readings[0])))
}
