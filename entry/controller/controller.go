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
	reconcileInterval   = time.Second
	rebootRetryInterval = 15 * time.Second
	collectInterval     = time.Hour
)

// Recorder stores actions and deletes unused configuration.
type Recorder interface {
	// Record stores the actions. It fails if the configuration that they were decided from is no longer the active one.
	Record(ctx context.Context, c *config.Snapshot, l []maintenance.Action, author string) error
	// Collect deletes the sections that no kept head references, and returns their number.
	Collect(ctx context.Context) (int, error)
}

// Rebooter reboots VMs.
type Rebooter interface {
	// Reboot reboots the VM unless its boot ID differs from the given one, so a repeated request reboots it once.
	Reboot(ctx context.Context, name, boot string) error
}

// Logger records decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Observer reports the state of the fleet.
type Observer interface {
	// Observe returns the active configuration and the state of the fleet, or false if too little is known to act.
	Observe(ctx context.Context) (*config.Snapshot, maintenance.FleetState, bool)
	// RecordDemand adds the average demand in the state to the daily demand profile.
	RecordDemand(s maintenance.FleetState)
}

// Controller maintains the whole fleet while it holds the lease.
type Controller struct {
	name     string
	lease    lease
	observer Observer
	recorder Recorder
	rebooter Rebooter
	log      Logger
	// rebootRequested is the time of the last reboot request for each VM.
	rebootRequested map[string]time.Time
	profile         *profileStore
	nextCollect     time.Time
}

// Option configures a Controller.
type Option func(*Controller)

// WithProfile persists the demand profile in the store, from where the next controller loads it.
func WithProfile(p Profile) Option {
	return func(c *Controller) { c.profile = &profileStore{store: c.lease.store, profile: p} }
}

// New creates a controller that acts under the given entry name.
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

// Run checks the fleet every second while active returns true, until the context is done.
func (c *Controller) Run(ctx context.Context, active func() bool) {
	t := time.NewTicker(reconcileInterval)
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
		c.logDecision(decision.Record{Reason: "cannot record maintenance actions: " + err.Error()})
		return
	}
	for _, a := range l {
		c.logDecision(decision.Record{VM: a.VM, Pool: a.Pool, Reason: describeAction(a)})
		if a.RequiresReboot() {
			c.reboot(ctx, a.VM, a.VMState.BootID)
		}
	}
}

// collect deletes unused configuration sections every collectInterval. The first call only starts the interval.
func (c *Controller) collect(ctx context.Context) {
	now := time.Now()
	if now.Before(c.nextCollect) {
		return
	}
	first := c.nextCollect.IsZero()
	c.nextCollect = now.Add(collectInterval)
	if first {
		return
	}
	n, err := c.recorder.Collect(ctx)
	if err != nil {
		c.logDecision(decision.Record{Reason: "cannot delete unused configuration sections: " + err.Error()})
		return
	}
	c.logDecision(decision.Record{Reason: fmt.Sprintf("deleted %d unused configuration sections", n)})
}

func describeAction(a maintenance.Action) string {
	if a.VM == "" {
		return a.Reason
	}
	return a.VMState.Phase.String() + ": " + a.Reason
}

// retryReboots repeats reboot requests that were recorded but have not taken effect, for example because the request
// was lost.
func (c *Controller) retryReboots(ctx context.Context, s *config.Snapshot, fleet maintenance.FleetState) {
	for n, x := range s.VMStates {
		if x.Phase != vm.Rebooting {
			delete(c.rebootRequested, n)
			continue
		}
		if fleet.Observations[n].BootID == x.BootID && time.Since(c.rebootRequested[n]) > rebootRetryInterval {
			c.reboot(ctx, n, x.BootID)
		}
	}
}

func (c *Controller) reboot(ctx context.Context, name, boot string) {
	c.rebootRequested[name] = time.Now()
	if err := c.rebooter.Reboot(ctx, name, boot); err != nil {
		c.logDecision(decision.Record{VM: name, Reason: "reboot request failed: " + err.Error()})
	}
}

func (c *Controller) logDecision(r decision.Record) {
	r.Time = time.Now()
	r.Kind = decision.Maintenance
	c.log.Add(r)
}
