package controller_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/controller"
	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/store"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

func TestController(t *testing.T) {
	suite.Run(t, "controller")
}

// fakeFleet implements all dependencies of a controller and records the actions.
type fakeFleet struct {
	lock         sync.Mutex
	holder       string
	revision     store.Revision
	states       map[string]vm.State
	recorded     []string
	rebooted     []string
	rejectRecord bool
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{states: map[string]vm.State{"cups-01": {Phase: vm.Draining, Since: time.Now().Add(-time.Hour), MaintainedAt: time.Now()}}}
}

func (f *fakeFleet) Get(context.Context, string) (store.Item, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.revision == 0 {
		return store.Item{}, trace.Wrap(&store.NotFoundError{Key: "controller/lease"})
	}
	return store.Item{Value: []byte(f.holder), Revision: f.revision}, nil
}

func (f *fakeFleet) SwapLease(_ context.Context, k string, expect store.Revision, v []byte, _ time.Duration) (store.Revision, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.revision != expect {
		return 0, trace.Wrap(&store.ConflictError{Key: k, Expected: expect})
	}
	f.revision++
	f.holder = string(v)
	return f.revision, nil
}

func (f *fakeFleet) Observe(context.Context) (*config.Snapshot, maintenance.FleetState, bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	s := maintenance.FleetState{
		Rules:        maintenance.Rules{Period: time.Hour, Drain: time.Second, RebootLimit: time.Minute, Halt: time.Hour},
		Pools:        map[string]pool.Pool{"cups": {Name: "cups", MaxDown: 1, VMs: []vm.VM{{Name: "cups-01", Pool: "cups", Rack: "r"}}}},
		PoolStates:   map[string]maintenance.PoolState{},
		VMStates:     map[string]vm.State{"cups-01": f.states["cups-01"]},
		Observations: map[string]maintenance.Observation{"cups-01": {Running: true, Reachable: true, BootID: "1"}},
	}
	return &config.Snapshot{VMStates: s.VMStates}, s, true
}

func (f *fakeFleet) Record(_ context.Context, _ *config.Snapshot, l []maintenance.Action, author string) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.rejectRecord {
		return trace.Wrap(&store.ConflictError{Key: "config/head"})
	}
	for _, a := range l {
		f.states[a.VM] = a.VMState
		f.recorded = append(f.recorded, author+" "+a.VMState.Phase.String())
	}
	return nil
}

func (f *fakeFleet) Reboot(_ context.Context, name, boot string) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.rebooted = append(f.rebooted, name+" "+boot)
	return nil
}

func (f *fakeFleet) Add(decision.Record) {}

func (f *fakeFleet) Collect(context.Context) (int, error) { return 0, nil }

func (f *fakeFleet) RecordDemand(maintenance.FleetState) {}

func (f *fakeFleet) actions() []any {
	f.lock.Lock()
	defer f.lock.Unlock()
	return []any{append([]string{}, f.recorded...), append([]string{}, f.rebooted...)}
}

func runControllers(f *fakeFleet, names ...string) {
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for _, n := range names {
		done.Add(1)
		go func() {
			defer done.Done()
			controller.New(n, f, f, f, f, f).Run(ctx, func() bool { return true })
		}()
	}
	ginkgo.DeferCleanup(func() {
		stop()
		done.Wait()
	})
}

const eventuallyTimeout = 10 * time.Second

var _ = ginkgo.Describe("a controller", func() {
	ginkgo.It("records a reboot before it requests it, and requests it once with several controllers", func() {
		f := newFakeFleet()
		runControllers(f, "entry-1", "entry-2", "entry-3")
		gomega.Eventually(f.actions, eventuallyTimeout).Should(gomega.HaveExactElements(
			gomega.HaveExactElements(gomega.MatchRegexp("entry-. rebooting")), gomega.Equal([]string{"cups-01 1"}),
		))
	})

	ginkgo.It("does not request a reboot that it could not record", func() {
		f := newFakeFleet()
		f.rejectRecord = true
		runControllers(f, "entry-1")
		gomega.Consistently(f.actions, 2500*time.Millisecond).Should(gomega.Equal([]any{[]string{}, []string{}}))
	})

	ginkgo.It("requests a reboot again that was recorded and has not begun", func() {
		f := newFakeFleet()
		f.states["cups-01"] = vm.State{Phase: vm.Rebooting, Since: time.Now(), BootID: "1", MaintainedAt: time.Now()}
		runControllers(f, "entry-1")
		gomega.Eventually(f.actions, eventuallyTimeout).Should(gomega.Equal([]any{[]string{}, []string{"cups-01 1"}}))
	})
})
