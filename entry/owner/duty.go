package owner

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// Worker are what an owner does besides running jobs, such as waves of maintenance.
type Worker interface {
	// Run works until the context ends.
	Run(ctx context.Context, o Term)
}

// Term is what a reign lends to its duties.
type Term interface {
	// Do changes the scheduler's state.
	Do(f func(s *scheduler.Scheduler, now time.Time))
	// FencingToken is the revision that marks the reign's orders, and whether the store confirmed it lately.
	FencingToken() (uint64, bool)
	// StartedAt is when the reign began.
	StartedAt() time.Time
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

// FencingToken is the revision that marks the reign's orders, and whether the store confirmed it lately.
func (o office) FencingToken() (uint64, bool) {
	return uint64(o.reign.epoch), o.reign.since() < actWithin && o.reign.ctx.Err() == nil
}

// StartedAt is when the reign began.
func (o office) StartedAt() time.Time {
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
		Expect: map[string]store.Revision{ownerKey: o.reign.epoch}, Writes: l,
	})
	return err
}
