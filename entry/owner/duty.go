package owner

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// Duties are what an owner does besides running jobs, such as waves of maintenance.
type Duties interface {
	// Run works until the context ends.
	Run(ctx context.Context, o Office)
}

// Office is what a reign lends to its duties.
type Office interface {
	// Do changes the scheduler's state.
	Do(f func(s *scheduler.Scheduler, now time.Time))
	// Fence is the revision that marks the reign's orders, and whether the store confirmed it lately.
	Fence() (uint64, bool)
	// Began is when the reign began.
	Began() time.Time
	// Read returns the items under a prefix.
	Read(ctx context.Context, prefix string) ([]store.Item, error)
	// Write sets keys if this entry still owns the fleet.
	Write(ctx context.Context, l []store.Write) error
}

type office struct{ reign *reign }

// Do changes the scheduler's state.
func (o office) Do(f func(s *scheduler.Scheduler, now time.Time)) {
	o.reign.do(f)
}

// Fence is the revision that marks the reign's orders, and whether the store confirmed it lately.
func (o office) Fence() (uint64, bool) {
	return uint64(o.reign.epoch), o.reign.since() < actWithin && o.reign.ctx.Err() == nil
}

// Began is when the reign began.
func (o office) Began() time.Time {
	return o.reign.began
}

// Read returns the items under a prefix.
func (o office) Read(ctx context.Context, prefix string) ([]store.Item, error) {
	return o.reign.readAll(ctx, prefix)
}

// Write sets keys if this entry still owns the fleet.
func (o office) Write(ctx context.Context, l []store.Write) error {
	c, stop := context.WithTimeout(ctx, storeLimit)
	defer stop()
	_, err := o.reign.owner.ports.Store.Transact(c, store.Transaction{
		Expected: map[string]store.Revision{ownerKey: o.reign.epoch}, Writes: l,
	})
	return err
}
