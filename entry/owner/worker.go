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
	Run(ctx context.Context, t Term)
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

type workerTerm struct{ term *term }

// Do changes the scheduler's state.
func (o workerTerm) Do(f func(s *scheduler.Scheduler, now time.Time)) {
	o.term.update(f)
}

// FencingToken is the revision that marks the reign's orders, and whether the store confirmed it lately.
func (o workerTerm) FencingToken() (uint64, bool) {
	return uint64(o.term.token), o.term.confirmationAge() < maxConfirmationAge && o.term.ctx.Err() == nil
}

// StartedAt is when the reign began.
func (o workerTerm) StartedAt() time.Time {
	return o.term.startedAt
}

// Read returns the items under a prefix.
func (o workerTerm) Read(ctx context.Context, prefix string) ([]store.Item, error) {
	return o.term.readAll(ctx, prefix)
}

// Write sets keys if this entry still owns the fleet.
func (o workerTerm) Write(ctx context.Context, l []store.Write) error {
	c, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	_, err := o.term.owner.deps.Store.Transact(c, store.Transaction{
		Expect: map[string]store.Revision{ownerKey: o.term.token}, Writes: l,
	})
	return err
}
