package steward_test

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/steward"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
	"github.com/tarragonbank/tarragonbank/fleet/wave"
)

var table = queue.New(1, []queue.Queue{{Name: "plans", Pool: "cups"}}, map[string]queue.Pool{
	"cups": {Name: "cups"}, "off": {Name: "off", Standby: true},
}, queue.Limits{})

// office lends a scheduler and a store of one map.
type office struct {
	lock      sync.Mutex
	scheduler *scheduler.Scheduler
	items     map[string][]byte
	fail      bool
	began     time.Time
}

func newOffice() *office {
	s := scheduler.New(scheduler.Bounds{Hold: 6 * time.Second}, time.Now())
	s.SetTable(table)
	return &office{scheduler: s, items: map[string][]byte{}, began: time.Now()}
}

func (o *office) Do(f func(*scheduler.Scheduler, time.Time)) {
	o.lock.Lock()
	defer o.lock.Unlock()
	f(o.scheduler, time.Now())
}

func (o *office) Fence() (uint64, bool) { return 9, true }
func (o *office) Began() time.Time      { return o.began }

func (o *office) Read(_ context.Context, prefix string) ([]store.Item, error) {
	l := []store.Item{}
	for k, v := range o.items {
		if strings.HasPrefix(k, prefix) {
			l = append(l, store.Item{Key: k, Value: v, Revision: 1})
		}
	}
	return l, nil
}

func (o *office) Write(_ context.Context, l []store.Write) error {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.fail {
		return errors.New("away")
	}
	for _, w := range l {
		o.items[w.Key] = w.Value
	}
	return nil
}

func (o *office) read(key string) string {
	o.lock.Lock()
	defer o.lock.Unlock()
	return string(o.items[key])
}

// fleet keeps the orders that it gets.
type fleet struct {
	lock   sync.Mutex
	vms    []vm.Sighting
	orders []string
	answer steward.Answer
}

func (f *fleet) List(context.Context) ([]vm.Sighting, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]vm.Sighting{}, f.vms...), nil
}

func (f *fleet) Move(_ context.Context, name, pool string, s steward.Stamp) (steward.Answer, error) {
	return f.order("move " + name + " to " + pool + " by " + s.Holder)
}

func (f *fleet) Maintain(_ context.Context, name string, _ int, s steward.Stamp) (steward.Answer, error) {
	return f.order("maintain " + name + " by " + s.Holder)
}

func (f *fleet) order(s string) (steward.Answer, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.orders = append(f.orders, s)
	return f.answer, nil
}

func (f *fleet) ordered() []string {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]string{}, f.orders...)
}

type board struct{}

func (board) Status(_ int, complete bool) store.Write {
	if complete {
		return store.Write{Key: "status", Value: []byte("complete")}
	}
	return store.Write{Key: "status", Value: []byte("running")}
}

type silent struct{}

func (silent) Add(decision.Record) {}

func used(name string) vm.Sighting {
	return vm.Sighting{
		Name: name, Pool: "cups", Server: "s-" + name, Labels: []string{"plain"}, Capacity: job.Size{CPU: 64000, MemoryMB: 1000},
	}
}

// tell has a VM's server say that nothing runs there.
func tell(o *office, name string) {
	o.Do(func(s *scheduler.Scheduler, now time.Time) {
		v := server.Server{
			ID: "s-" + name, Born: time.Unix(1, 0), VM: name, Pool: "cups", Capacity: job.Size{CPU: 64000, MemoryMB: 1000},
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}
		s.Register(v, now)
		s.Listed(v.ID, server.Listing{Born: v.Born, Clock: time.Duration(now.UnixNano())}, now)
	})
}

// setting is a site in which a steward runs a wave over VM a.
type setting func(g *gomega.WithT, o *office, x *fleet)

// play prepares a site, runs a steward and checks what it does.
func play(t *testing.T, prepare, check setting) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := newOffice()
		x := &fleet{vms: []vm.Sighting{used("a"), used("b"), used("c")}}
		s := steward.New("e1", x, board{}, silent{}, steward.Bounds{
			Move: time.Second, Maintenance: 2 * time.Second, Turn: 3 * time.Second,
		}, func() *queue.Table { return table })
		s.AddWave(wave.Wave{Number: 1, VMs: []string{"a"}, Time: 10 * time.Second, Most: 1})
		ctx, stop := context.WithCancel(context.Background())
		prepare(gomega.NewWithT(t), o, x)
		go s.Run(ctx, o)
		defer func() {
			stop()
			synctest.Wait()
		}()
		check(gomega.NewWithT(t), o, x)
	})
}

func TestWaveTakesDownWhatIsEmpty(t *testing.T) {
	play(t, func(_ *gomega.WithT, o *office, _ *fleet) {
		for _, n := range []string{"a", "b", "c"} {
			tell(o, n)
		}
	}, func(g *gomega.WithT, o *office, x *fleet) {
		time.Sleep(time.Second)
		g.Expect(x.ordered()).To(gomega.Equal([]string{"maintain a by e1"}))
		time.Sleep(time.Second)
		g.Expect(o.read("status")).To(gomega.Equal("complete"))
		g.Expect(o.read("tarragonbank/orders")).NotTo(gomega.BeEmpty())
	})
}

func TestSilentServerIsNotEmpty(t *testing.T) {
	play(t, func(*gomega.WithT, *office, *fleet) {}, func(g *gomega.WithT, _ *office, x *fleet) {
		time.Sleep(8 * time.Second)
		g.Expect(x.ordered()).To(gomega.BeEmpty())
		time.Sleep(5 * time.Second)
		g.Expect(x.ordered()).To(gomega.ContainElement("maintain a by e1"), "no run of an earlier owner can be left")
	})
}

func TestOrdersAreStoredFirst(t *testing.T) {
	play(t, func(_ *gomega.WithT, o *office, _ *fleet) {
		tell(o, "a")
		o.fail = true
	}, func(g *gomega.WithT, o *office, x *fleet) {
		time.Sleep(2 * time.Second)
		g.Expect(x.ordered()).To(gomega.BeEmpty())
		o.lock.Lock()
		o.fail = false
		o.lock.Unlock()
		time.Sleep(time.Second)
		g.Expect(x.ordered()).NotTo(gomega.BeEmpty())
	})
}

func TestVMObeysOneEntryForItsTurn(t *testing.T) {
	play(t, func(g *gomega.WithT, o *office, _ *fleet) {
		tell(o, "a")
		b, err := proto.Marshal(&schema.VmOrders{Orders: []*schema.VmOrder{{Vm: "a", AtMs: time.Now().UnixMilli()}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		o.items["tarragonbank/orders"] = b
	}, func(g *gomega.WithT, _ *office, x *fleet) {
		time.Sleep(2500 * time.Millisecond)
		g.Expect(x.ordered()).To(gomega.BeEmpty())
		time.Sleep(2 * time.Second)
		g.Expect(x.ordered()).NotTo(gomega.BeEmpty())
	})
}

func TestUnansweredOrderIsRepeated(t *testing.T) {
	play(t, func(_ *gomega.WithT, o *office, x *fleet) {
		tell(o, "a")
		x.answer = steward.Unanswered
	}, func(g *gomega.WithT, o *office, x *fleet) {
		time.Sleep(1500 * time.Millisecond)
		g.Expect(len(x.ordered())).To(gomega.BeNumerically(">", 1))
		g.Expect(o.read("status")).To(gomega.Equal("running"))
	})
}
