package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

const (
	stepPeriod        = time.Second
	rebootRetryPeriod = 15 * time.Second
	collectPeriod     = time.Hour
)

// Recorder has the store accept actions, if the configuration they rest on is still in force.
type Recorder interface {
	Record(ctx context.Context, c *config.Snapshot, l []maintenance.Action, author string) error
	// Collect deletes what no kept configuration names and says how much.
	Collect(ctx context.Context) (int, error)
}

// Rebooter reboots a VM if it is still at the boot.
type Rebooter interface {
	Reboot(ctx context.Context, name, boot string) error
}

// Logger takes decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Observer says what is known of the site, or that too little is.
type Observer interface {
	Observe(ctx context.Context) (*config.Snapshot, maintenance.FleetState, bool)
	// RecordDemand takes the demand of now into the profile of the day.
	RecordDemand(s maintenance.FleetState)
}

// Controller decides and acts for the whole site while it holds the lease.
type Controller struct {
	name            string
	lease           lease
	observer        Observer
	recorder        Recorder
	rebooter        Rebooter
	log             Logger
	rebootRequested map[string]time.Time
	profile         *profileStore
	nextCollect     time.Time
}

// Option changes a Controller at its making.
type Option func(*Controller)

// WithProfile has what is learned of demand kept in the store for the next controller.
func WithProfile(p Profile) Option {
	return func(c *Controller) { c.profile = &profileStore{store: c.lease.store, profile: p} }
}

// New makes a controller.
func New(name string, s Store, x Observer, r Recorder, b Rebooter, l Logger, opts ...Option) *Controller {
	c := &Controller{
		name: name, lease: lease{store: s, holder: name}, observer: x, recorder: r, rebooter: b, log: l,
		rebootRequested: map[string]time.Time{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Run acts while active says so, until the context ends.
func (c *Controller) Run(ctx context.Context, active func() bool) {
	t := time.NewTicker(stepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if active() {
				c.reconcile(ctx)
			}
		}
	}
}

func (c *Controller) reconcile(ctx context.Context) {
	if !c.lease.acquire(ctx) {
		c.profile.reset()
		return
	}
	s, fleet, ok := c.observer.Observe(ctx)
	if !ok {
		return
	}
	if c.profile != nil {
		c.observer.RecordDemand(fleet)
		c.profile.sync(ctx)
	}
	c.retryReboots(ctx, s, fleet)
	c.collect(ctx)
	l := maintenance.Decide(time.Now(), fleet)
	if len(l) == 0 {
		return
	}
	if err := c.recorder.Record(ctx, s, l, c.name); err != nil {
		c.logDecision(decision.Record{Reason: "not recorded: " + err.Error()})
		return
	}
	for _, a := range l {
		c.logDecision(decision.Record{VM: a.VM, Pool: a.Pool, Reason: describeAction(a)})
		if a.Reboot() {
			c.reboot(ctx, a.VM, a.VMState.BootID)
		}
	}
}

// collect deletes old sections from time to time.
func (c *Controller) collect(ctx context.Context) {
	now := time.Now()
	if now.Before(c.nextCollect) {
		return
	}
	first := c.nextCollect.IsZero()
	c.nextCollect = now.Add(collectPeriod)
	if first {
		return
	}
	n, err := c.recorder.Collect(ctx)
	if err != nil {
		c.logDecision(decision.Record{Reason: "not collected: " + err.Error()})
		return
	}
	c.logDecision(decision.Record{Reason: fmt.Sprintf("collected %d sections", n)})
}

func describeAction(a maintenance.Action) string {
	if a.VM == "" {
		return a.Reason
	}
	return a.VMState.Phase.String() + ": " + a.Reason
}

// retryReboots asks again for reboots that were recorded and have not begun, as after a lost call.
func (c *Controller) retryReboots(ctx context.Context, s *config.Snapshot, fleet maintenance.FleetState) {
	for n, x := range s.VMStates {
		if x.Phase != vm.Rebooting {
			delete(c.rebootRequested, n)
			continue
		}
		if fleet.Observations[n].BootID == x.BootID && time.Since(c.rebootRequested[n]) > rebootRetryPeriod {
			c.reboot(ctx, n, x.BootID)
		}
	}
}

func (c *Controller) reboot(ctx context.Context, name, boot string) {
	c.rebootRequested[name] = time.Now()
	if err := c.rebooter.Reboot(ctx, name, boot); err != nil {
		c.logDecision(decision.Record{VM: name, Reason: "reboot was not answered: " + err.Error()})
	}
}

func (c *Controller) logDecision(r decision.Record) {
	r.Time = time.Now()
	r.Kind = decision.Maintenance
	c.log.Add(r)
}
