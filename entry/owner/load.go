package owner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// load restores the jobs, their progress and what the scheduler has learned, and returns the revision of the commit mark,
// which the first commit expects. Previous owners cannot commit any more, since the owner key has changed.
func (r *term) load(ctx context.Context) (store.Revision, error) {
	var jobs, progress, log, leases []store.Item
	var mark, durations store.Item
	reads := []func() error{
		func() (err error) { jobs, err = r.readAll(ctx, jobPrefix); return err },
		func() (err error) { progress, err = r.readAll(ctx, progressPrefix); return err },
		func() (err error) { log, err = r.readAll(ctx, logPrefix); return err },
		func() (err error) { leases, err = r.readAll(ctx, leasesKey); return err },
		func() (err error) { mark, err = r.readItem(ctx, commitMarkKey); return err },
	}
	if r.owner.limits.LookAhead {
		reads = append(reads, func() (err error) { durations, err = r.readItem(ctx, durationsKey); return err })
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
	r.restoreDurations(durations)
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
	r.update(processor.Other, func(s *scheduler.Scheduler, _ time.Time) { s.RestoreLog(entries) })
}

// restore adds the stored jobs to the scheduler and skips records that are malformed.
func (r *term) restore(jobs, progress []store.Item) {
	progressByJob := map[string]store.Item{}
	for _, i := range progress {
		progressByJob[strings.TrimPrefix(i.Key, progressPrefix)] = i
	}
	r.update(processor.Other, func(s *scheduler.Scheduler, now time.Time) {
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
	r.update(processor.Other, func(s *scheduler.Scheduler, now time.Time) {
		s.SetPredecessor(r.predecessor(m))
		s.RestoreLearning(m.Learning, now)
	})
}

// restoreDurations restores the learned distributions of durations. What is malformed is left out: it is learned anew.
func (r *term) restoreDurations(i store.Item) {
	if i.Revision == 0 {
		return
	}
	m := &schema.DurationRecord{}
	errs := []error{proto.Unmarshal(i.Value, m)}
	if errs[0] == nil {
		r.update(processor.Other, func(s *scheduler.Scheduler, now time.Time) { errs = s.RestoreDurations(m, now) })
	}
	for _, err := range errs {
		r.owner.logDecision(decision.Job, "learned durations not restored: "+err.Error(), i.Revision)
	}
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
		r.update(processor.Other, func(s *scheduler.Scheduler, _ time.Time) { s.RestoreLeases(m) })
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
