package owner

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// Controller does the owner's work besides running jobs, such as maintenance waves.
type Controller interface {
	// Run works for one term, until the context ends.
	Run(ctx context.Context, t Term)
}

// Term gives a controller access to the owner's term.
type Term interface {
	// Update changes the scheduler's state and sends the orders that follow.
	Update(f func(s *scheduler.Scheduler, now time.Time))
	// FencingToken returns the term's fencing token and whether the store has confirmed the ownership within
	// MaxConfirmationAge.
	FencingToken() (uint64, bool)
	// StartedAt returns when the term began.
	StartedAt() time.Time
	// Read returns the items under a prefix. It retries until it succeeds or the context ends.
	Read(ctx context.Context, prefix string) ([]store.Item, error)
	// Write sets keys in one transaction, which fails if this entry no longer owns the fleet.
	Write(ctx context.Context, l []store.Write) error
}

// controllerTerm implements Term.
type controllerTerm struct{ term *term }

// Update changes the scheduler's state and sends the orders that follow.
func (o controllerTerm) Update(f func(s *scheduler.Scheduler, now time.Time)) {
	o.term.update(processor.Pools, f)
}

// FencingToken returns the term's fencing token and whether the store has confirmed the ownership within
// MaxConfirmationAge.
func (o controllerTerm) FencingToken() (uint64, bool) {
	return uint64(o.term.token), o.term.confirmationAge() < MaxConfirmationAge && o.term.ctx.Err() == nil
}

// StartedAt returns when the term began.
func (o controllerTerm) StartedAt() time.Time {
	return o.term.startedAt
}

// Read returns the items under a prefix. It retries until it succeeds or the context ends.
func (o controllerTerm) Read(ctx context.Context, prefix string) ([]store.Item, error) {
	return o.term.readAll(ctx, prefix)
}

// Write sets keys in one transaction, which fails if this entry no longer owns the fleet.
func (o controllerTerm) Write(ctx context.Context, l []store.Write) error {
	c, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	_, err := o.term.owner.deps.Store.Transact(c, store.Transaction{
		Expected: map[string]store.Revision{ownerKey: o.term.token}, Writes: l,
	})
	return err
}
