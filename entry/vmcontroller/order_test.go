package vmcontroller_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/vmcontroller"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// arrival is an order for a VM as it arrives at the platform.
type arrival struct {
	entry string
	at    time.Time
}

// Guards against orders of two owners for one VM within its order lease: a repeated order did not renew its time in the store.
func TestNextOwnerAwaitsTheLeaseOfRepeatedOrders(t *testing.T) {
	for n, prepare := range map[string]func(o *fakeOwner, x *fakeFleet){
		"answers at once":           func(_ *fakeOwner, x *fakeFleet) { x.result = vmcontroller.Refused },
		"no answers":                func(*fakeOwner, *fakeFleet) {},
		"orders on their way":       func(_ *fakeOwner, x *fakeFleet) { x.latency = 890 * time.Millisecond },
		"slow store":                func(o *fakeOwner, _ *fakeFleet) { o.writeDelay = 800 * time.Millisecond },
		"store slower than allowed": func(o *fakeOwner, _ *fakeFleet) { o.writeDelay = 1300 * time.Millisecond },
		"store away for a while": func(o *fakeOwner, _ *fakeFleet) {
			for _, at := range []time.Duration{1, 3} {
				time.AfterFunc(at*time.Second, func() {
					o.lock.Lock()
					defer o.lock.Unlock()
					o.failWrites = !o.failWrites
				})
			}
		},
	} {
		for _, term := range []time.Duration{1100, 2000, 2900, 4000, 5300} {
			t.Run(n, func(t *testing.T) { playHandOver(t, prepare, term*time.Millisecond) })
		}
	}
}

// playHandOver lets one owner order VM a for the given time, and another one after it.
func playHandOver(t *testing.T, prepare func(o *fakeOwner, x *fakeFleet), term time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		x := &fakeFleet{vms: []vm.PlatformStatus{newVM("a")}, result: vmcontroller.OutcomeUnknown}
		first := newFakeOwner()
		reportIdle(first, "a")
		l := []arrival{}
		x.onOrder = func(string) {
			w := strings.Fields(x.orders[len(x.orders)-1])
			l = append(l, arrival{w[3], time.Now()})
		}
		prepare(first, x)
		ctx, stop := context.WithTimeout(context.Background(), term)
		defer stop()
		newController("e1", x).Run(ctx, first)
		second := newFakeOwner()
		second.items = first.items
		reportIdle(second, "a")
		ctx, stop = context.WithTimeout(context.Background(), 8*time.Second)
		defer stop()
		newController("e2", x).Run(ctx, second)
		g := gomega.NewWithT(t)
		for i := 1; i < len(l); i++ {
			if l[i].entry != l[i-1].entry {
				g.Expect(l[i].at.Sub(l[i-1].at)).To(gomega.BeNumerically(">=", 3*time.Second), "after a term of %s", term)
			}
		}
		g.Expect(l).NotTo(gomega.BeEmpty())
		g.Expect(l[len(l)-1].entry).To(gomega.Equal("e2"), "the next owner orders the VM")
	})
}

// Guards against VMs that get no orders for long because the clock of the previous owner was ahead.
func TestClockOfThePreviousOwnerDoesNotDelayOrders(t *testing.T) {
	run(t, func(g *gomega.WithT, o *fakeOwner, _ *fakeFleet) {
		reportIdle(o, "a")
		b, err := proto.Marshal(&schema.VmOrders{Orders: []*schema.VmOrder{{Vm: "a", AtMs: time.Now().Add(time.Hour).UnixMilli()}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		o.items["tarragonbank/orders"] = b
	}, func(g *gomega.WithT, _ *fakeOwner, x *fakeFleet) {
		time.Sleep(3 * time.Second)
		g.Expect(x.ordered()).To(gomega.BeEmpty())
		time.Sleep(3 * time.Second)
		g.Expect(x.ordered()).NotTo(gomega.BeEmpty())
	})
}
