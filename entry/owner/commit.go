package owner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	// maxBatchKeys is the most keys of jobs and learned durations in a batch. A transaction has at most 32 entries, of which the commit mark, the
	// lease record, the log entry, the two entries that it replaces and the two expected revisions take seven.
	maxBatchKeys = 25
	// commitDelay is how long a commit waits for further changes, which the same transaction then stores.
	commitDelay = 12 * time.Millisecond
	// storeUnavailableRetry is how long a refused caller should wait before it retries; outages last some seconds.
	storeUnavailableRetry  = 2 * time.Second
	storeUnavailableReason = "the store is away"
	// storeRetryInterval is the time between attempts while the store does not serve a call.
	storeRetryInterval = 50 * time.Millisecond
	// confirmationCheckInterval is the time between checks whether the ownership is confirmed again.
	confirmationCheckInterval = 10 * time.Millisecond
)

// commitBatches commits changes, one transaction at a time, until the term ends.
func (r *term) commitBatches(ctx context.Context, mark store.Revision) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.commitRequests:
		}
		wait.For(ctx, commitDelay)
		for ctx.Err() == nil {
			b := r.nextBatch()
			if b == nil {
				break
			}
			n, err := r.commitBatch(ctx, b, mark)
			var rejected *store.RejectedError
			switch {
			case err == nil:
				mark = n
				r.applyCommitted(ctx, b)
			case errors.As(err, &rejected):
				r.update(processor.Stored, func(s *scheduler.Scheduler, now time.Time) { s.BatchRejected(b, now) })
				wait.For(ctx, storeRetryInterval)
			default:
				return
			}
		}
	}
}

// applyCommitted tells the scheduler that a batch is stored, once the store has confirmed the ownership lately. This process may
// read the answer to a commit long after it was given, for instance if it stood still. By then another owner may have waited
// for all leases, and a server that has not heard from it would accept the start orders that follow.
//
// The age is checked after the time that the orders count from was read: if this process stands still before the check, the check
// fails, and if it does so later, the orders expire.
func (r *term) applyCommitted(ctx context.Context, b *scheduler.Batch) {
	for applied := false; !applied && ctx.Err() == nil; {
		r.update(processor.Stored, func(s *scheduler.Scheduler, now time.Time) {
			if applied = r.confirmationAge() <= scheduler.MaxUnconfirmedRenewal; applied {
				s.BatchCommitted(b, now)
				close(r.applied)
				r.applied = make(chan struct{})
			}
		})
		if !applied {
			wait.For(ctx, confirmationCheckInterval)
		}
	}
}

// nextBatch places pending tasks and returns the next batch to commit, or nil if nothing has changed.
func (r *term) nextBatch() *scheduler.Batch {
	var b *scheduler.Batch
	r.sendOrders(r.apply(processor.Pass, func(s *scheduler.Scheduler, now time.Time) {
		s.Plan(now)
		b = s.NextBatch(maxBatchKeys, now)
	}))
	return b
}

// errTermOver reports a commit that is not known to be stored when the term ends.
var errTermOver = errors.New("the term is over")

// commitBatch commits a batch, with retries until its outcome is known, and returns the revision of the commit mark. It fails with a
// RejectedError if the store will never take the batch, and with errTermOver once the term is over. Each transaction expects the previous
// one's mark, so that one that takes effect late cannot overwrite a later one.
//
// Attempts follow each other. Sent beside each other, they overloaded owners of 3,000 servers, which read answers late.
func (r *term) commitBatch(ctx context.Context, b *scheduler.Batch, mark store.Revision) (store.Revision, error) {
	t, err := r.buildTransaction(b, mark)
	if err != nil {
		r.stepDown("encoding a record failed: " + err.Error())
		return 0, errTermOver
	}
	timeout := r.commitTimeout.duration()
	began := time.Now()
	for ctx.Err() == nil {
		n, err := r.transact(ctx, t, timeout)
		if err == nil {
			r.commitSucceeded(n)
			return n, nil
		}
		var failed *store.PreconditionFailedError
		if errors.As(err, &failed) {
			return r.resolveConflict(failed, b)
		}
		if rejected := asRejected(err); rejected != nil {
			r.reportRejected(rejected, t)
			return 0, rejected
		}
		if ctx.Err() == nil {
			r.commitPending(err, began)
		}
		r.commitTimeout.timedOut(timeout)
		timeout = min(timeout*2, storeTimeout)
		wait.For(ctx, storeRetryInterval)
	}
	return 0, errTermOver
}

// asRejected returns the error of a commit as that of one which the store will never take, nil if it may take it later. Commits name no
// lease that could have expired.
func asRejected(err error) *store.RejectedError {
	var rejected *store.RejectedError
	var expired *store.LeaseExpiredError
	switch {
	case errors.As(err, &rejected):
		return rejected
	case errors.As(err, &expired):
		return &store.RejectedError{Call: "transaction", Detail: err.Error()}
	default:
		return nil
	}
}

// reportRejected logs a transaction that the store will never take, with its largest value.
func (r *term) reportRejected(e *store.RejectedError, t store.Transaction) {
	largest := slices.MaxFunc(t.Writes, func(a, b store.Write) int { return cmp.Compare(len(a.Value), len(b.Value)) })
	r.storeAnswered()
	r.owner.deps.Metrics.Event("commits", "rejected")
	r.owner.logDecision(decision.Dependency, fmt.Sprintf(
		"commit rejected: %v; %d keys, the largest value is that of %s with %d bytes", e, len(t.Writes)+len(t.Deletes), largest.Key, len(largest.Value),
	), r.token)
}

func (r *term) transact(ctx context.Context, t store.Transaction, timeout time.Duration) (store.Revision, error) {
	c, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	began := time.Now()
	n, err := r.owner.deps.Store.Transact(c, t)
	if err == nil {
		r.confirmOwnership(began)
		r.commitTimeout.observe(time.Since(began))
		r.owner.deps.Metrics.Time("commit_duration", "stored", time.Since(began))
	}
	return n, err
}

// resolveConflict handles a transaction of which an expected revision was not found: either an earlier attempt has stored the batch, as the commit mark
// shows, or the ownership is lost and the term ends.
func (r *term) resolveConflict(e *store.PreconditionFailedError, b *scheduler.Batch) (store.Revision, error) {
	m := &schema.CommitMark{}
	i := e.Items[commitMarkKey]
	if proto.Unmarshal(i.Value, m) == nil && m.Epoch == uint64(r.token) && m.Number == b.Number {
		r.owner.logDecision(decision.Dependency, "commit had been stored by an earlier attempt", i.Revision)
		r.commitSucceeded(i.Revision)
		return i.Revision, nil
	}
	r.stepDown("the store rejected a commit")
	return 0, errTermOver
}

func (r *term) buildTransaction(b *scheduler.Batch, mark store.Revision) (store.Transaction, error) {
	defer r.owner.deps.Account.Since(processor.Batch, time.Now())
	t := store.Transaction{Expected: map[string]store.Revision{ownerKey: r.token, commitMarkKey: mark}}
	lease, renewal := r.scheduler.LeaseTerms()
	m := &schema.CommitMark{
		Epoch: uint64(r.token), Number: b.Number, Learning: b.Learning, LeaseMs: lease.Milliseconds(), RenewalMs: renewal.Milliseconds(),
	}
	if err := addWrite(&t, commitMarkKey, m); err != nil {
		return t, err
	}
	if b.Leases != nil {
		if err := addWrite(&t, leasesKey, b.Leases); err != nil {
			return t, err
		}
	}
	if b.Durations != nil {
		if err := addWrite(&t, durationsKey, b.Durations); err != nil {
			return t, err
		}
	}
	for _, x := range b.Jobs {
		if err := addWrite(&t, jobPrefix+x.JobID, x.Record); err != nil {
			return t, err
		}
	}
	for _, x := range b.Ended {
		if err := addWrite(&t, progressPrefix+x.JobID, x.Record); err != nil {
			return t, err
		}
		t.Deletes = append(t.Deletes, jobPrefix+x.JobID)
	}
	if b.Log != nil {
		if err := addWrite(&t, logKey(b.Log.Sequence), b.Log); err != nil {
			return t, err
		}
	}
	for _, n := range b.CleanedEntries {
		t.Deletes = append(t.Deletes, logKey(n))
	}
	for _, id := range b.Removed {
		t.Deletes = append(t.Deletes, jobPrefix+id, progressPrefix+id)
	}
	return t, nil
}

// logKey returns the key of the log entry with the sequence number.
func logKey(sequence uint64) string {
	return fmt.Sprintf("%s%016x", logPrefix, sequence)
}

func addWrite(t *store.Transaction, key string, m proto.Message) error {
	v, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	t.Writes = append(t.Writes, store.Write{Key: key, Value: v})
	return nil
}
