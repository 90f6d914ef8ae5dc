package owner

import (
	"context"
	"errors"
	"fmt"
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
	// maxBatchKeys is the most keys of jobs in a batch. A transaction has at most 32 entries, of which the commit mark, the
	// lease record, the log entry, the two entries that it replaces and the two expected revisions take seven.
	maxBatchKeys = 25
	// commitDelay is how long a commit waits for further changes, which the same transaction then stores.
	commitDelay = 12 * time.Millisecond
	// storeUnavailableAfter is how long commits fail before submissions are refused. A lost answer is resolved sooner.
	storeUnavailableAfter = 350 * time.Millisecond
	// storeUnavailableRetry is how long a refused caller should wait before it retries; outages last some seconds.
	storeUnavailableRetry  = 2 * time.Second
	storeUnavailableReason = "the store is away"
	// storeRetryInterval is the time between attempts while the store does not serve a call.
	storeRetryInterval = 50 * time.Millisecond
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
			n, ok := r.commitBatch(ctx, b, mark)
			if !ok {
				return
			}
			mark = n
			r.update(func(s *scheduler.Scheduler, now time.Time) { s.BatchCommitted(b, now) })
		}
	}
}

// nextBatch places pending tasks and returns the next batch to commit, or nil if nothing has changed.
func (r *term) nextBatch() *scheduler.Batch {
	var b *scheduler.Batch
	r.sendOrders(r.apply(func(s *scheduler.Scheduler, now time.Time) {
		s.Plan(now)
		b = s.NextBatch(maxBatchKeys, now)
	}))
	return b
}

// commitBatch commits a batch, with retries until its outcome is known, and returns the revision of the commit mark. The
// result is false once the term is over. Each transaction expects the previous one's mark, so that one that takes effect
// late cannot overwrite a later one.
func (r *term) commitBatch(ctx context.Context, b *scheduler.Batch, mark store.Revision) (store.Revision, bool) {
	t, err := r.buildTransaction(b, mark)
	if err != nil {
		r.stepDown("encoding a record failed: " + err.Error())
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
		var rejected *store.PreconditionFailedError
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

// commitFailed records that commits have failed for the duration d. After storeUnavailableAfter, submissions are refused.
func (r *term) commitFailed(err error, d time.Duration) {
	if !r.commitsFailing {
		r.owner.logDecision(decision.Dependency, "commit failed: "+err.Error(), r.token)
	}
	r.commitsFailing = true
	if d < storeUnavailableAfter {
		return
	}
	if !r.storeUnavailable.Swap(true) {
		r.owner.logDecision(decision.Dependency, "store unavailable, jobs are refused", r.token)
	}
	r.update(func(s *scheduler.Scheduler, now time.Time) {
		s.RefuseUnsent(storeUnavailableReason, storeUnavailableRetry, now)
	})
}

// commitSucceeded records the end of an outage, if there was one.
func (r *term) commitSucceeded(n store.Revision) {
	if r.commitsFailing {
		r.owner.logDecision(decision.Dependency, "commits succeed again", n)
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
		r.confirmOwnership(began)
		r.commitTimeout.observe(time.Since(began))
		r.owner.deps.Metrics.Time("commit_duration", "stored", time.Since(began))
	}
	return n, err
}

// resolveRejection handles a rejected transaction: either an earlier attempt has stored the batch, as the commit mark
// shows, or the ownership is lost and the term ends.
func (r *term) resolveRejection(e *store.PreconditionFailedError, b *scheduler.Batch) (store.Revision, bool) {
	m := &schema.CommitMark{}
	i := e.Items[commitMarkKey]
	if proto.Unmarshal(i.Value, m) == nil && m.Epoch == uint64(r.token) && m.Number == b.Number {
		r.owner.logDecision(decision.Dependency, "commit had been stored by an earlier attempt", i.Revision)
		return i.Revision, true
	}
	r.stepDown("the store rejected a commit")
	return 0, false
}

func (r *term) buildTransaction(b *scheduler.Batch, mark store.Revision) (store.Transaction, error) {
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

// load restores the jobs, their progress and what the scheduler has learned, and returns the revision of the commit mark,
// which the first commit expects. Previous owners cannot commit any more, since the owner key has changed.
func (r *term) load(ctx context.Context) (store.Revision, error) {
	var jobs, progress, log, leases []store.Item
	var mark store.Item
	reads := []func() error{
		func() (err error) { jobs, err = r.readAll(ctx, jobPrefix); return err },
		func() (err error) { progress, err = r.readAll(ctx, progressPrefix); return err },
		func() (err error) { log, err = r.readAll(ctx, logPrefix); return err },
		func() (err error) { leases, err = r.readAll(ctx, leasesKey); return err },
		func() (err error) { mark, err = r.readItem(ctx, commitMarkKey); return err },
	}
	failures := make(chan error, len(reads))
	for _, f := range reads {
		go func() { failures <- f() }()
	}
	for range reads {
		if err := <-failures; err != nil {
			return 0, err
		}
	}
	r.restoreMark(mark)
	r.restoreLeases(leases)
	r.restoreLog(log)
	r.restore(jobs, progress)
	return mark.Revision, nil
}

// restoreLog restores the log of progress and skips entries that are malformed.
func (r *term) restoreLog(l []store.Item) {
	entries := []*schema.LogEntry{}
	for _, i := range l {
		m := &schema.LogEntry{}
		if err := proto.Unmarshal(i.Value, m); err != nil || logKey(m.Sequence) != i.Key {
			r.owner.logDecision(decision.Job, "malformed log entry: "+i.Key, i.Revision)
			continue
		}
		entries = append(entries, m)
	}
	r.update(func(s *scheduler.Scheduler, _ time.Time) { s.RestoreLog(entries) })
}

// restore adds the stored jobs to the scheduler and skips records that are malformed.
func (r *term) restore(jobs, progress []store.Item) {
	progressByJob := map[string]store.Item{}
	for _, i := range progress {
		progressByJob[strings.TrimPrefix(i.Key, progressPrefix)] = i
	}
	r.update(func(s *scheduler.Scheduler, now time.Time) {
		for _, i := range jobs {
			m := &schema.JobRecord{}
			if err := proto.Unmarshal(i.Value, m); err != nil || m.Id == "" {
				r.owner.logDecision(decision.Job, "malformed job record: "+i.Key, i.Revision)
				continue
			}
			r.restoreJob(i, func() { s.Restore(m, r.decodeProgress(progressByJob[m.Id]), now) })
			delete(progressByJob, m.Id)
		}
		for id, i := range progressByJob {
			if p := r.decodeProgress(i); p != nil && !s.RestoreEnded(id, p, now) {
				r.owner.logDecision(decision.Job, "progress without a job record: "+i.Key, i.Revision)
			}
		}
	})
}

// restoreJob restores one job. An unexpected error in it must not keep every later owner from serving the others.
func (r *term) restoreJob(i store.Item, f func()) {
	defer func() {
		if x := recover(); x != nil {
			r.owner.logDecision(decision.Job, fmt.Sprintf("job not restored: %s: unexpected error: %v", i.Key, x), i.Revision)
		}
	}()
	f()
}

// decodeProgress returns a job's stored progress, or nil if there is none or it is malformed.
func (r *term) decodeProgress(i store.Item) *schema.JobProgress {
	if i.Revision == 0 {
		return nil
	}
	p := &schema.JobProgress{}
	if err := proto.Unmarshal(i.Value, p); err != nil {
		r.owner.logDecision(decision.Job, "malformed progress record: "+i.Key, i.Revision)
		return nil
	}
	return p
}

// restoreMark restores the learned data and the previous owner's lease terms from the commit mark, if there is one.
func (r *term) restoreMark(i store.Item) {
	if i.Revision == 0 {
		return
	}
	m := &schema.CommitMark{}
	if err := proto.Unmarshal(i.Value, m); err != nil {
		r.owner.logDecision(decision.Ownership, "malformed commit mark: "+err.Error(), i.Revision)
	}
	r.update(func(s *scheduler.Scheduler, now time.Time) {
		s.SetPredecessor(r.predecessor(m))
		s.RestoreLearning(m.Learning, now)
	})
}

// predecessor returns what the commit mark and the release tell about the previous owner's leases. An owner of an earlier
// version stores no lease terms: it requested the longest lease and renewed it for earlierRenewal.
func (r *term) predecessor(m *schema.CommitMark) scheduler.Predecessor {
	lease, renewal := r.scheduler.LeaseTerms()
	p := scheduler.Predecessor{
		Lease:     max(lease, time.Duration(m.LeaseMs)*time.Millisecond),
		Renewal:   max(renewal, time.Duration(m.RenewalMs)*time.Millisecond),
		Remaining: time.Duration(r.released.GetRemainingMs()) * time.Millisecond,
		LostAt:    r.vacantSince,
	}
	if m.LeaseMs == 0 {
		p.Lease, p.Renewal = r.owner.limits.MaxLease, earlierRenewal
	}
	if r.previousEnded {
		p.Renewal = 0
	}
	return p
}

// earlierRenewal is how long owners of versions without lease terms in the commit mark renew leases without the store.
const earlierRenewal = 5 * time.Second

// restoreLeases restores the previous owner's lease record, if there is one.
func (r *term) restoreLeases(l []store.Item) {
	for _, i := range l {
		m := &schema.LeaseRecord{}
		if err := proto.Unmarshal(i.Value, m); err != nil {
			r.owner.logDecision(decision.Ownership, "malformed lease record: "+err.Error(), i.Revision)
			continue
		}
		r.update(func(s *scheduler.Scheduler, _ time.Time) { s.RestoreLeases(m) })
	}
}

// readItem reads a key. The item has no revision if the key does not exist.
func (r *term) readItem(ctx context.Context, key string) (store.Item, error) {
	var i store.Item
	err := r.retryRead(ctx, func(c context.Context) error {
		var err error
		i, err = r.owner.deps.Store.Get(c, key)
		var notFound *store.NotFoundError
		if errors.As(err, &notFound) {
			i = store.Item{}
			return nil
		}
		return err
	})
	return i, err
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
		if !p.HasMore || len(p.Items) == 0 {
			return l, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// retryRead repeats a call that reads from the store until it succeeds or the context ends. Each attempt may take twice as
// long as the one before, since a page of 1 MB takes seconds on a slow link.
func (r *term) retryRead(ctx context.Context, f func(context.Context) error) error {
	for timeout := storeTimeout; ; timeout = min(2*timeout, maxReadTimeout) {
		c, stop := context.WithTimeout(ctx, timeout)
		err := f(c)
		stop()
		if err == nil || ctx.Err() != nil {
			return err
		}
		r.owner.logDecision(decision.Dependency, "read from the store failed: "+err.Error(), r.token)
		wait.For(ctx, storeRetryInterval)
	}
}

// maxReadTimeout bounds one attempt to read a page.
const maxReadTimeout = 8 * time.Second
