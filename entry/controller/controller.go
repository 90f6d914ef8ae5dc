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
	period      = time.Second
	rebootAgain = 15 * time.Second
	collectTime = time.Hour
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

// Sighter says what is known of the site, or that too little is.
type Sighter interface {
	Sight(ctx context.Context) (*config.Snapshot, maintenance.FleetState, bool)
	// Learn takes the demand of now into the profile of the day.
	Learn(s maintenance.FleetState)
}

// Controller decides and acts for the whole site while it holds the lease.
type Controller struct {
	name     string
	lease    lease
	sighter  Sighter
	recorder Recorder
	rebooter Rebooter
	log      Logger
	asked    map[string]time.Time
	keeper   *keeper
	collects time.Time
}

// Option changes a Controller at its making.
type Option func(*Controller)

// WithProfile has what is learned of demand kept in the store for the next controller.
func WithProfile(p Profile) Option {
	return func(c *Controller) { c.keeper = &keeper{store: c.lease.store, profile: p} }
}

// New makes a controller.
func New(name string, s Store, x Sighter, r Recorder, b Rebooter, l Logger, opts ...Option) *Controller {
	c := &Controller{
		name: name, lease: lease{store: s, holder: name}, sighter: x, recorder: r, rebooter: b, log: l,
		asked: map[string]time.Time{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Run acts while active says so, until the context ends.
func (c *Controller) Run(ctx context.Context, active func() bool) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if active() {
				c.step(ctx)
			}
		}
	}
}

func (c *Controller) step(ctx context.Context) {
	if !c.lease.held(ctx) {
		c.keeper.forget()
		return
	}
	s, site, ok := c.sighter.Sight(ctx)
	if !ok {
		return
	}
	if c.keeper != nil {
		c.sighter.Learn(site)
		c.keeper.keep(ctx)
	}
	c.rebootAgain(ctx, s, site)
	c.collect(ctx)
	l := maintenance.Decide(time.Now(), site)
	if len(l) == 0 {
		return
	}
	if err := c.recorder.Record(ctx, s, l, c.name); err != nil {
		c.note(decision.Record{Reason: "not recorded: " + err.Error()})
		return
	}
	for _, a := range l {
		c.note(decision.Record{VM: a.VM, Pool: a.Pool, Reason: describe(a)})
		if a.Reboot() {
			c.reboot(ctx, a.VM, a.VMState.BootID)
		}
	}
}

// collect deletes old sections from time to time.
func (c *Controller) collect(ctx context.Context) {
	now := time.Now()
	if now.Before(c.collects) {
		return
	}
	first := c.collects.IsZero()
	c.collects = now.Add(collectTime)
	if first {
		return
	}
	n, err := c.recorder.Collect(ctx)
	if err != nil {
		c.note(decision.Record{Reason: "not collected: " + err.Error()})
		return
	}
	c.note(decision.Record{Reason: fmt.Sprintf("collected %d sections", n)})
}

func describe(a maintenance.Action) string {
	if a.VM == "" {
		return a.Reason
	}
	return a.VMState.Phase.String() + ": " + a.Reason
}

// rebootAgain asks again for reboots that were recorded and have not begun, as after a lost call.
func (c *Controller) rebootAgain(ctx context.Context, s *config.Snapshot, site maintenance.FleetState) {
	for n, x := range s.VMStates {
		if x.Phase != vm.Rebooting {
			delete(c.asked, n)
			continue
		}
		if site.Observations[n].BootID == x.BootID && time.Since(c.asked[n]) > rebootAgain {
			c.reboot(ctx, n, x.BootID)
		}
	}
}

func (c *Controller) reboot(ctx context.Context, name, boot string) {
	c.asked[name] = time.Now()
	if err := c.rebooter.Reboot(ctx, name, boot); err != nil {
		c.note(decision.Record{VM: name, Reason: "reboot was not answered: " + err.Error()})
	}
}

func (c *Controller) note(r decision.Record) {
	r.Time = time.Now()
	r.Kind = decision.Maintenance
	c.log.Add(r)
}
