package owner

import (
	"context"
	"errors"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	// maxBatchRecords leaves room for the mark in a transaction of 32 entries with two expectations.
	maxBatchRecords = 28
	// commitDelay is how long changes are gathered for one transaction.
	commitDelay = 12 * time.Millisecond
	// storeUnavailableAfter is for how long commits fail before callers are told; a lost answer is settled in less.
	storeUnavailableAfter = 350 * time.Millisecond
	// storeUnavailableRetry is when a refused caller may come back; outages last some seconds.
	storeUnavailableRetry  = 2 * time.Second
	storeUnavailableReason = "the store is away"
	// storeRetryInterval is between tries at a store that turns calls away.
	storeRetryInterval = 50 * time.Millisecond
)

// commitBatches stores what changes, one transaction after the other, until the reign ends.
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
			n, ok := r.commitBatch(ctx, b, mark)
			if !ok {
				return
			}
			mark = n
			r.update(func(s *scheduler.Scheduler, now time.Time) { s.BatchCommitted(b, now) })
		}
	}
}

func (r *term) nextBatch() *scheduler.Batch {
	var b *scheduler.Batch
	r.lock.Lock()
	now := time.Now()
	r.scheduler.Plan(now)
	b = r.scheduler.NextBatch(maxBatchRecords, now)
	orders := r.scheduler.TakeOrders()
	r.lock.Unlock()
	r.sendOrders(orders)
	return b
}

// commitBatch writes a batch and settles what became of it; ok is false once the reign is over. Each transaction
// expects the mark of the one before, so one that is carried out late cannot undo a later one.
func (r *term) commitBatch(ctx context.Context, b *scheduler.Batch, mark store.Revision) (store.Revision, bool) {
	t, err := r.buildTransaction(b, mark)
	if err != nil {
		r.stepDown("a record cannot be encoded: " + err.Error())
		return 0, false
	}
	timeout := r.commitTimeout.duration()
	began := time.Now()
	for ctx.Err() == nil {
		n, err := r.transact(ctx, t, timeout)
		if err == nil {
			r.commitSucceeded(n)
			return n, true
		}
		var rejected *store.RejectedError
		if errors.As(err, &rejected) {
			return r.resolveRejection(rejected, b)
		}
		if ctx.Err() == nil {
			r.commitFailed(err, time.Since(began))
		}
		r.commitTimeout.timedOut(timeout)
		timeout = min(timeout*2, storeTimeout)
		wait.For(ctx, storeRetryInterval)
	}
	return 0, false
}

// commitFailed notes that the store does not commit; after a while callers are told so.
func (r *term) commitFailed(err error, d time.Duration) {
	if !r.commitsFailing {
		r.owner.logDecision(decision.Dependency, "commit not answered: "+err.Error(), r.token)
	}
	r.commitsFailing = true
	if d < storeUnavailableAfter {
		return
	}
	if !r.storeUnavailable.Swap(true) {
		r.owner.logDecision(decision.Dependency, "store is away: no jobs are accepted", r.token)
	}
	r.update(func(s *scheduler.Scheduler, now time.Time) {
		s.RefuseUnsent(storeUnavailableReason, storeUnavailableRetry, now)
	})
}

func (r *term) commitSucceeded(n store.Revision) {
	if r.commitsFailing {
		r.owner.logDecision(decision.Dependency, "store commits again", n)
	}
	r.commitsFailing = false
	r.storeUnavailable.Store(false)
}

func (r *term) transact(ctx context.Context, t store.Transaction, timeout time.Duration) (store.Revision, error) {
	c, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	began := time.Now()
	n, err := r.owner.deps.Store.Transact(c, t)
	if err == nil {
		r.confirmOwnership()
		r.commitTimeout.observe(time.Since(began))
		r.owner.deps.Metrics.Time("commit_duration", "stored", time.Since(began))
	}
	return n, err
}

// resolveRejection tells a batch that was stored by an earlier try from an ownership that was lost.
func (r *term) resolveRejection(e *store.RejectedError, b *scheduler.Batch) (store.Revision, bool) {
	m := &schema.CommitMark{}
	i := e.Items[commitMarkKey]
	if proto.Unmarshal(i.Value, m) == nil && m.Epoch == uint64(r.token) && m.Number == b.Number {
		r.owner.logDecision(decision.Dependency, "commit was stored by an earlier try", i.Revision)
		return i.Revision, true
	}
	r.stepDown("the store refuses the commit")
	return 0, false
}

func (r *term) buildTransaction(b *scheduler.Batch, mark store.Revision) (store.Transaction, error) {
	t := store.Transaction{Expect: map[string]store.Revision{ownerKey: r.token, commitMarkKey: mark}}
	m := &schema.CommitMark{Epoch: uint64(r.token), Number: b.Number, Learning: b.Learning}
	if err := addWrite(&t, commitMarkKey, m); err != nil {
		return t, err
	}
	for _, x := range b.Jobs {
		if err := addWrite(&t, jobPrefix+x.JobID, x.Record); err != nil {
			return t, err
		}
	}
	for _, x := range b.Progress {
		if err := addWrite(&t, progressPrefix+x.JobID, x.Record); err != nil {
			return t, err
		}
	}
	for _, id := range b.Removed {
		t.Remove = append(t.Remove, jobPrefix+id, progressPrefix+id)
	}
	return t, nil
}

func addWrite(t *store.Transaction, key string, m proto.Message) error {
	v, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	t.Writes = append(t.Writes, store.Write{Key: key, Value: v})
	return nil
}

// load reads all jobs and their course, and the mark that the first commit expects. Nobody else can commit
// any more, since the owner's key has changed.
func (r *term) load(ctx context.Context) (store.Revision, error) {
	mark, err := r.readCommitMark(ctx)
	if err != nil {
		return 0, err
	}
	jobs, err := r.readAll(ctx, jobPrefix)
	if err != nil {
		return 0, err
	}
	progress, err := r.readAll(ctx, progressPrefix)
	if err != nil {
		return 0, err
	}
	r.restore(jobs, progress)
	return mark, nil
}

func (r *term) restore(jobs, progress []store.Item) {
	progressByJob := map[string]store.Item{}
	for _, i := range progress {
		progressByJob[strings.TrimPrefix(i.Key, progressPrefix)] = i
	}
	r.update(func(s *scheduler.Scheduler, now time.Time) {
		for _, i := range jobs {
			m := &schema.JobRecord{}
			if err := proto.Unmarshal(i.Value, m); err != nil || m.Id == "" {
				r.owner.logDecision(decision.Job, "a stored job cannot be read: "+i.Key, i.Revision)
				continue
			}
			s.Restore(m, r.decodeProgress(progressByJob[m.Id]), now)
		}
	})
}

// decodeProgress decodes a job's decodeProgress; nil where there is none.
func (r *term) decodeProgress(i store.Item) *schema.JobProgress {
	if i.Revision == 0 {
		return nil
	}
	p := &schema.JobProgress{}
	if err := proto.Unmarshal(i.Value, p); err != nil {
		r.owner.logDecision(decision.Job, "a stored course cannot be read: "+i.Key, i.Revision)
		return nil
	}
	return p
}

func (r *term) readCommitMark(ctx context.Context) (store.Revision, error) {
	var n store.Revision
	err := r.retryRead(ctx, func(c context.Context) error {
		i, err := r.owner.deps.Store.Get(c, commitMarkKey)
		var absent *store.AbsentError
		if errors.As(err, &absent) {
			return nil
		}
		if err != nil {
			return err
		}
		n = i.Revision
		m := &schema.CommitMark{}
		if err := proto.Unmarshal(i.Value, m); err != nil {
			r.owner.logDecision(decision.Ownership, "the last commit's mark cannot be read: "+err.Error(), n)
			return nil
		}
		r.update(func(s *scheduler.Scheduler, now time.Time) { s.RestoreLearning(m.Learning, now) })
		return nil
	})
	return n, err
}

func (r *term) readAll(ctx context.Context, prefix string) ([]store.Item, error) {
	var l []store.Item
	after := ""
	for {
		var p store.Page
		err := r.retryRead(ctx, func(c context.Context) error {
			var err error
			p, err = r.owner.deps.Store.Range(c, prefix, after)
			return err
		})
		if err != nil {
			return nil, err
		}
		l = append(l, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return l, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// retryRead repeats a reading call until it succeeds or the reign ends.
func (r *term) retryRead(ctx context.Context, f func(context.Context) error) error {
	for {
		c, stop := context.WithTimeout(ctx, storeTimeout)
		err := f(c)
		stop()
		if err == nil || ctx.Err() != nil {
			return err
		}
		r.owner.logDecision(decision.Dependency, "store not read: "+err.Error(), r.token)
		wait.For(ctx, storeRetryInterval)
	}
}
