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
	// batchRecords leaves room for the mark in a transaction of 32 entries with two expectations.
	batchRecords = 28
	// gather is how long changes are gathered for one transaction.
	gather = 12 * time.Millisecond
	// awayAfter is for how long commits fail before callers are told; a lost answer is settled in less.
	awayAfter = 350 * time.Millisecond
	// awayRetry is when a refused caller may come back; outages last some seconds.
	awayRetry = 2 * time.Second
	storeAway = "the store is away"
	// busyPause is between tries at a store that turns calls away.
	busyPause = 50 * time.Millisecond
)

// commit stores what changes, one transaction after the other, until the reign ends.
func (r *reign) commit(ctx context.Context, mark store.Revision) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.dirty:
		}
		wait.For(ctx, gather)
		for ctx.Err() == nil {
			b := r.next()
			if b == nil {
				break
			}
			n, ok := r.store(ctx, b, mark)
			if !ok {
				return
			}
			mark = n
			r.do(func(s *scheduler.Scheduler, now time.Time) { s.BatchCommitted(b, now) })
		}
	}
}

func (r *reign) next() *scheduler.Batch {
	var b *scheduler.Batch
	r.lock.Lock()
	now := time.Now()
	r.scheduler.Plan(now)
	b = r.scheduler.NextBatch(batchRecords, now)
	orders := r.scheduler.TakeOrders()
	r.lock.Unlock()
	r.carryOut(orders)
	return b
}

// store writes a batch and settles what became of it; ok is false once the reign is over. Each transaction
// expects the mark of the one before, so one that is carried out late cannot undo a later one.
func (r *reign) store(ctx context.Context, b *scheduler.Batch, mark store.Revision) (store.Revision, bool) {
	t, err := r.transaction(b, mark)
	if err != nil {
		r.depose("a record cannot be encoded: " + err.Error())
		return 0, false
	}
	limit := r.pace.limit()
	began := time.Now()
	for ctx.Err() == nil {
		n, err := r.transact(ctx, t, limit)
		if err == nil {
			r.regained(n)
			return n, true
		}
		var rejected *store.PreconditionFailedError
		if errors.As(err, &rejected) {
			return r.settle(rejected, b)
		}
		if ctx.Err() == nil {
			r.lost(err, time.Since(began))
		}
		r.pace.missed(limit)
		limit = min(limit*2, storeLimit)
		wait.For(ctx, busyPause)
	}
	return 0, false
}

// lost notes that the store does not commit; after a while callers are told so.
func (r *reign) lost(err error, d time.Duration) {
	if !r.failing {
		r.owner.note(decision.Dependency, "commit not answered: "+err.Error(), r.epoch)
	}
	r.failing = true
	if d < awayAfter {
		return
	}
	if !r.away.Swap(true) {
		r.owner.note(decision.Dependency, "store is away: no jobs are accepted", r.epoch)
	}
	r.do(func(s *scheduler.Scheduler, now time.Time) { s.RefuseUnsent(storeAway, awayRetry, now) })
}

func (r *reign) regained(n store.Revision) {
	if r.failing {
		r.owner.note(decision.Dependency, "store commits again", n)
	}
	r.failing = false
	r.away.Store(false)
}

func (r *reign) transact(ctx context.Context, t store.Transaction, limit time.Duration) (store.Revision, error) {
	c, stop := context.WithTimeout(ctx, limit)
	defer stop()
	began := time.Now()
	n, err := r.owner.ports.Store.Transact(c, t)
	if err == nil {
		r.confirm()
		r.pace.observe(time.Since(began))
		r.owner.ports.Metrics.Time("commit_duration", "stored", time.Since(began))
	}
	return n, err
}

// settle tells a batch that was stored by an earlier try from an ownership that was lost.
func (r *reign) settle(e *store.PreconditionFailedError, b *scheduler.Batch) (store.Revision, bool) {
	m := &schema.CommitMark{}
	i := e.Items[markKey]
	if proto.Unmarshal(i.Value, m) == nil && m.Epoch == uint64(r.epoch) && m.Number == b.Number {
		r.owner.note(decision.Dependency, "commit was stored by an earlier try", i.Revision)
		return i.Revision, true
	}
	r.depose("the store refuses the commit")
	return 0, false
}

func (r *reign) transaction(b *scheduler.Batch, mark store.Revision) (store.Transaction, error) {
	t := store.Transaction{Expected: map[string]store.Revision{ownerKey: r.epoch, markKey: mark}}
	m := &schema.CommitMark{Epoch: uint64(r.epoch), Number: b.Number, Learning: b.Learning}
	if err := put(&t, markKey, m); err != nil {
		return t, err
	}
	for _, x := range b.Jobs {
		if err := put(&t, jobKey+x.JobID, x.Record); err != nil {
			return t, err
		}
	}
	for _, x := range b.Progress {
		if err := put(&t, courseKey+x.JobID, x.Record); err != nil {
			return t, err
		}
	}
	for _, id := range b.Removed {
		t.Deletes = append(t.Deletes, jobKey+id, courseKey+id)
	}
	return t, nil
}

func put(t *store.Transaction, key string, m proto.Message) error {
	v, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	t.Writes = append(t.Writes, store.Write{Key: key, Value: v})
	return nil
}

// load reads all jobs and their course, and the mark that the first commit expects. Nobody else can commit
// any more, since the owner's key has changed.
func (r *reign) load(ctx context.Context) (store.Revision, error) {
	mark, err := r.readMark(ctx)
	if err != nil {
		return 0, err
	}
	jobs, err := r.readAll(ctx, jobKey)
	if err != nil {
		return 0, err
	}
	courses, err := r.readAll(ctx, courseKey)
	if err != nil {
		return 0, err
	}
	r.restore(jobs, courses)
	return mark, nil
}

func (r *reign) restore(jobs, courses []store.Item) {
	course := map[string]store.Item{}
	for _, i := range courses {
		course[strings.TrimPrefix(i.Key, courseKey)] = i
	}
	r.do(func(s *scheduler.Scheduler, now time.Time) {
		for _, i := range jobs {
			m := &schema.JobRecord{}
			if err := proto.Unmarshal(i.Value, m); err != nil || m.Id == "" {
				r.owner.note(decision.Job, "a stored job cannot be read: "+i.Key, i.Revision)
				continue
			}
			s.Restore(m, r.course(course[m.Id]), now)
		}
	})
}

// course decodes a job's course; nil where there is none.
func (r *reign) course(i store.Item) *schema.JobProgress {
	if i.Revision == 0 {
		return nil
	}
	p := &schema.JobProgress{}
	if err := proto.Unmarshal(i.Value, p); err != nil {
		r.owner.note(decision.Job, "a stored course cannot be read: "+i.Key, i.Revision)
		return nil
	}
	return p
}

func (r *reign) readMark(ctx context.Context) (store.Revision, error) {
	var n store.Revision
	err := r.persist(ctx, func(c context.Context) error {
		i, err := r.owner.ports.Store.Get(c, markKey)
		var absent *store.NotFoundError
		if errors.As(err, &absent) {
			return nil
		}
		if err != nil {
			return err
		}
		n = i.Revision
		m := &schema.CommitMark{}
		if err := proto.Unmarshal(i.Value, m); err != nil {
			r.owner.note(decision.Ownership, "the last commit's mark cannot be read: "+err.Error(), n)
			return nil
		}
		r.do(func(s *scheduler.Scheduler, now time.Time) { s.RestoreLearning(m.Learning, now) })
		return nil
	})
	return n, err
}

func (r *reign) readAll(ctx context.Context, prefix string) ([]store.Item, error) {
	var l []store.Item
	after := ""
	for {
		var p store.Page
		err := r.persist(ctx, func(c context.Context) error {
			var err error
			p, err = r.owner.ports.Store.Range(c, prefix, after)
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

// persist repeats a reading call until it succeeds or the reign ends.
func (r *reign) persist(ctx context.Context, f func(context.Context) error) error {
	for {
		c, stop := context.WithTimeout(ctx, storeLimit)
		err := f(c)
		stop()
		if err == nil || ctx.Err() != nil {
			return err
		}
		r.owner.note(decision.Dependency, "store not read: "+err.Error(), r.epoch)
		wait.For(ctx, busyPause)
	}
}
