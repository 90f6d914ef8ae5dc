package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/dispatch"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/health"
	"github.com/tarragonbank/tarragonbank/fleet/priority"
	"github.com/tarragonbank/tarragonbank/fleet/request"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/share"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

func TestDispatch(t *testing.T) {
	suite.Run(t, "dispatch")
}

// stub discards decisions and fails all probes.
type stub struct{}

func (stub) Add(decision.Record)                       {}
func (stub) Probe(context.Context, vm.VM, string) bool { return false }

// newSnapshot creates a configuration with a spare pool of four VMs in two data centres and the given VM states.
func newSnapshot(states ...*schema.VmState) *config.Snapshot {
	s := config.Source{Inventory: &schema.Inventory{}, Rules: &schema.Rules{
		Pools:    []*schema.Pool{{Name: "ledger", MaxDown: 1, Spare: true}},
		Services: []*schema.Service{{Name: "ledger", Prefix: "/", Pool: "ledger", ExpectedTime: durationpb.New(time.Millisecond)}},
	}}
	for i := range 4 {
		s.Inventory.Vms = append(s.Inventory.Vms, &schema.Vm{
			Name: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i/2), Rack: "r",
			Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Pool: "ledger", Slots: 1, Connections: 1,
		})
	}
	x, err := config.Split(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	h := &schema.Head{Revision: 1, Sections: x.Refs()}
	c, err := config.Compile(h, x.ByDigest())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, m := range states {
		c.VMStates[m.Name] = vm.NewState(m)
	}
	return c
}

func newDispatcher(c *config.Snapshot) *dispatch.Dispatcher {
	p, err := share.GetPolicy("lending")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d := dispatch.New("entry-1", stub{}, stub{}, dispatch.WithSharePolicy(p))
	d.SetConfig(c)
	return d
}

// acquireAll acquires slots until a request is refused, at most five. It returns the sorted names of their VMs and
// the reason for the refusal.
func acquireAll(d *dispatch.Dispatcher, c *config.Snapshot) ([]string, admission.Reason) {
	l := []string{}
	for range 5 {
		s, err := acquire(d, c)
		var r *dispatch.RefusedError
		if errors.As(err, &r) {
			return sorted(l), r.Reason
		}
		l = append(l, s.VM.Name)
	}
	return sorted(l), admission.None
}

func sorted(l []string) []string {
	slices.Sort(l)
	return l
}

func acquire(d *dispatch.Dispatcher, c *config.Snapshot) (*dispatch.Slot, error) {
	r := request.Request{Service: "ledger", Priority: priority.Normal, Deadline: time.Now().Add(40 * time.Millisecond)}
	return d.Acquire(context.Background(), r, c.Services[0])
}

var _ = ginkgo.DescribeTable("requests are sent to",
	func(change func(*dispatch.Dispatcher), states []*schema.VmState, want []string) {
		c := newSnapshot(states...)
		d := newDispatcher(c)
		change(d)
		got, _ := acquireAll(d, c)
		gomega.Expect(got).To(gomega.Equal(want))
	},
	ginkgo.Entry("all VMs", func(*dispatch.Dispatcher) {}, nil, []string{"vm-0", "vm-1", "vm-2", "vm-3"}),
	ginkgo.Entry("no VM that is leaving",
		func(d *dispatch.Dispatcher) {
			d.SetEntries([]dispatch.Entry{{Name: "entry-1"}}, map[string]bool{"vm-1": true})
		}, nil, []string{"vm-0", "vm-2", "vm-3"}),
	ginkgo.Entry("no VM that is draining or rebooting", func(*dispatch.Dispatcher) {},
		[]*schema.VmState{{Name: "vm-0", Phase: schema.VmPhase_VM_PHASE_DRAINING}, {Name: "vm-3", Phase: schema.VmPhase_VM_PHASE_REBOOTING}},
		[]string{"vm-1", "vm-2"}),
	ginkgo.Entry("no VM that was moved within the cooldown", func(*dispatch.Dispatcher) {},
		[]*schema.VmState{{Name: "vm-2", MovedUnixMs: time.Now().UnixMilli()}}, []string{"vm-0", "vm-1", "vm-3"}),
	ginkgo.Entry("a VM whose cooldown has expired", func(*dispatch.Dispatcher) {},
		[]*schema.VmState{{Name: "vm-2", MovedUnixMs: time.Now().Add(-dispatch.MoveCooldown).UnixMilli()}}, []string{"vm-0", "vm-1", "vm-2", "vm-3"}),
	ginkgo.Entry("only pinned spare VMs by an isolated entry",
		func(d *dispatch.Dispatcher) { d.SetIsolated(true) }, nil, []string{"vm-0", "vm-2"}),
	ginkgo.Entry("no VM at all if one is unreachable and all are leaving",
		func(d *dispatch.Dispatcher) {
			c := newSnapshot()
			s, err := acquire(d, c)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			s.Observe(health.DialFailed)
			s.Observe(health.DialFailed)
			s.Done(false)
			gomega.Expect(d.Unhealthy()).To(gomega.HaveLen(1))
			d.SetEntries([]dispatch.Entry{{Name: "entry-1"}}, map[string]bool{"vm-0": true, "vm-1": true, "vm-2": true, "vm-3": true})
		}, nil, []string{}),
)

var _ = ginkgo.Describe("a dispatcher", func() {
	ginkgo.It("refuses requests with NoCapacity if no VM is usable", func() {
		c := newSnapshot()
		d := newDispatcher(c)
		d.SetEntries([]dispatch.Entry{{Name: "entry-1"}}, map[string]bool{"vm-0": true, "vm-1": true, "vm-2": true, "vm-3": true})
		_, r := acquireAll(d, c)
		gomega.Expect(r).To(gomega.Equal(admission.NoCapacity))
	})

	ginkgo.It("drops a queued request that can no longer meet its deadline", func() {
		c := newSnapshot()
		_, r := acquireAll(newDispatcher(c), c)
		gomega.Expect(r).To(gomega.Equal(admission.DeadlinePassed))
	})

	ginkgo.It("serves concurrent requests", func() {
		c := newSnapshot()
		d := newDispatcher(c)
		var w sync.WaitGroup
		var served atomic.Int64
		for range 16 {
			w.Add(1)
			go func() {
				defer w.Done()
				for range 50 {
					r := request.Request{Service: "ledger", Priority: priority.Normal, Deadline: time.Now().Add(time.Minute)}
					s, err := d.Acquire(context.Background(), r, c.Services[0])
					if err == nil {
						time.Sleep(time.Millisecond)
						s.Done(true)
						served.Add(1)
					}
				}
			}()
		}
		w.Wait()
		gomega.Expect(served.Load()).To(gomega.BeEquivalentTo(800))
	})

	ginkgo.It("refuses retries beyond the pool's retry budget", func() {
		c := newSnapshot()
		d := newDispatcher(c)
		reasons := []string{}
		for range 2 {
			s, err := acquire(d, c)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			s.Done(false)
			_, err = s.Retry(context.Background())
			reasons = append(reasons, fmt.Sprint(err))
		}
		gomega.Expect(reasons).To(gomega.Equal([]string{"<nil>", "request refused: exhausted"}))
	})
})
