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

// world is the platform and the record that controllers act on.
type world struct {
	lock     sync.Mutex
	holder   string
	version  store.Revision
	states   map[string]vm.State
	recorded []string
	rebooted []string
	refuse   bool
}

func newWorld() *world {
	return &world{states: map[string]vm.State{"cups-01": {Phase: vm.Draining, Since: time.Now().Add(-time.Hour), MaintainedAt: time.Now()}}}
}

func (w *world) Get(context.Context, string) (store.Item, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.version == 0 {
		return store.Item{}, trace.Wrap(&store.NotFoundError{Key: "controller/lease"})
	}
	return store.Item{Value: []byte(w.holder), Revision: w.version}, nil
}

func (w *world) SwapLease(_ context.Context, k string, expect store.Revision, v []byte, _ time.Duration) (store.Revision, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.version != expect {
		return 0, trace.Wrap(&store.ConflictError{Key: k, Expected: expect})
	}
	w.version++
	w.holder = string(v)
	return w.version, nil
}

func (w *world) Sight(context.Context) (*config.Snapshot, maintenance.FleetState, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	s := maintenance.FleetState{
		Rules:        maintenance.Rules{Period: time.Hour, Drain: time.Second, RebootLimit: time.Minute, Halt: time.Hour},
		Pools:        map[string]pool.Pool{"cups": {Name: "cups", MaxDown: 1, VMs: []vm.VM{{Name: "cups-01", Pool: "cups", Rack: "r"}}}},
		PoolStates:   map[string]maintenance.PoolState{},
		VMStates:     map[string]vm.State{"cups-01": w.states["cups-01"]},
		Observations: map[string]maintenance.Observation{"cups-01": {Running: true, Reachable: true, BootID: "1"}},
	}
	return &config.Snapshot{VMStates: s.VMStates}, s, true
}

func (w *world) Record(_ context.Context, _ *config.Snapshot, l []maintenance.Action, author string) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.refuse {
		return trace.Wrap(&store.ConflictError{Key: "config/head"})
	}
	for _, a := range l {
		w.states[a.VM] = a.VMState
		w.recorded = append(w.recorded, author+" "+a.VMState.Phase.String())
	}
	return nil
}

func (w *world) Reboot(_ context.Context, name, boot string) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.rebooted = append(w.rebooted, name+" "+boot)
	return nil
}

func (w *world) Add(decision.Record) {}

func (w *world) Collect(context.Context) (int, error) { return 0, nil }

func (w *world) Learn(maintenance.FleetState) {}

func (w *world) seen() []any {
	w.lock.Lock()
	defer w.lock.Unlock()
	return []any{append([]string{}, w.recorded...), append([]string{}, w.rebooted...)}
}

func run(w *world, names ...string) {
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for _, n := range names {
		done.Add(1)
		go func() {
			defer done.Done()
			controller.New(n, w, w, w, w, w).Run(ctx, func() bool { return true })
		}()
	}
	ginkgo.DeferCleanup(func() {
		stop()
		done.Wait()
	})
}

const patience = 10 * time.Second

var _ = ginkgo.Describe("a controller", func() {
	ginkgo.It("records before it reboots, and reboots once with several controllers", func() {
		w := newWorld()
		run(w, "entry-1", "entry-2", "entry-3")
		gomega.Eventually(w.seen, patience).Should(gomega.HaveExactElements(
			gomega.HaveExactElements(gomega.MatchRegexp("entry-. rebooting")), gomega.Equal([]string{"cups-01 1"}),
		))
	})

	ginkgo.It("does not reboot what it could not record", func() {
		w := newWorld()
		w.refuse = true
		run(w, "entry-1")
		gomega.Consistently(w.seen, 2500*time.Millisecond).Should(gomega.Equal([]any{[]string{}, []string{}}))
	})

	ginkgo.It("asks again for a reboot that was recorded and has not begun", func() {
		w := newWorld()
		w.states["cups-01"] = vm.State{Phase: vm.Rebooting, Since: time.Now(), BootID: "1", MaintainedAt: time.Now()}
		run(w, "entry-1")
		gomega.Eventually(w.seen, patience).Should(gomega.Equal([]any{[]string{}, []string{"cups-01 1"}}))
	})
})
