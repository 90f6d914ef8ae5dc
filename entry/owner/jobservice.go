package owner

import (
	"context"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/fleet/loss"
	"github.com/tarragonbank/tarragonbank/fleet/overload"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// JobService answers callers' calls about jobs at the entry that owns the fleet. Submissions, cancellations and queries of a
// phase are Forbidden if the job belongs to another workspace than the caller; an empty workspace may do all.
type JobService interface {
	Submit(ctx context.Context, m *schema.JobRecord) scheduler.Reply
	Cancel(ctx context.Context, id, workspace string) scheduler.Reply
	JobPhase(id, workspace string) scheduler.Reply
	PendingJobs(queue string) scheduler.Reply
	List(queue string) scheduler.Reply
	Explain(id string) scheduler.Reply
	Pools() scheduler.Reply
	Workspaces() scheduler.Reply
	Preview(m *schema.JobRecord) scheduler.Reply
}

// Submit adds a job and returns once it is stored, refused or found malformed.
func (r *term) Submit(ctx context.Context, m *schema.JobRecord) scheduler.Reply {
	if r.storeAway() && !r.knows(m.Id) {
		return r.refuse(m, scheduler.Reply{Reason: storeUnavailableReason, RetryAfter: storeUnavailableRetry, Cause: scheduler.CauseStore})
	}
	if r.overloaded.Load() && isFinite(m) && !r.knows(m.Id) {
		return r.refuse(m, scheduler.Reply{Reason: overloadedReason, RetryAfter: overload.RetryAfter(m.Id), Cause: scheduler.CauseOverload})
	}
	return r.callScheduler(ctx, func(s *scheduler.Scheduler, now time.Time, reply func(scheduler.Reply)) {
		s.Submit(m, now, reply)
	})
}

// refuse refuses a submission with the reason, delay and cause of the reply, and logs it.
func (r *term) refuse(m *schema.JobRecord, x scheduler.Reply) scheduler.Reply {
	r.logSchedulerDecision(scheduler.Decision{Job: m.Id, Pool: m.Pool, Reason: loss.ReasonRefused + x.Reason, Cause: x.Cause})
	x.Result = scheduler.Refused
	return x
}

const overloadedReason = "the owner is overloaded"

// isFinite reports whether a job is neither scheduled nor long-running. The others are few, and last for longer than an
// overload.
func isFinite(m *schema.JobRecord) bool {
	return m.Repeats == 0 && !slices.ContainsFunc(m.Steps, func(s *schema.StepRecord) bool { return s.Lasting })
}

// Cancel ends a job and returns once the cancellation is stored.
func (r *term) Cancel(ctx context.Context, id, workspace string) scheduler.Reply {
	return r.checkAbsence(r.callScheduler(ctx, func(s *scheduler.Scheduler, now time.Time, reply func(scheduler.Reply)) {
		if s.Forbids(id, workspace) {
			reply(scheduler.Reply{Result: scheduler.Forbidden})
			return
		}
		s.Cancel(id, now, reply)
	}))
}

// checkAbsence returns the reply to a call about a job. If the store has not lately confirmed the ownership, another owner may have
// accepted a job that this one does not know.
func (r *term) checkAbsence(x scheduler.Reply) scheduler.Reply {
	if x.Result != scheduler.NotFound || r.confirmationAge() <= scheduler.MaxUnconfirmedRenewal {
		return x
	}
	return scheduler.Reply{
		Result: scheduler.Refused, Reason: "unknown here, but the ownership is not confirmed", RetryAfter: storeUnavailableRetry, Cause: scheduler.CauseStore,
	}
}

// knows reports whether this owner knows a job.
func (r *term) knows(id string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.JobPhase(id).Result != scheduler.NotFound
}

// callScheduler calls f and waits for its reply. The outcome is unknown if the context or the term ends first.
func (r *term) callScheduler(ctx context.Context, f func(*scheduler.Scheduler, time.Time, func(scheduler.Reply))) scheduler.Reply {
	c := make(chan scheduler.Reply, 1)
	r.update(processor.Submission, func(s *scheduler.Scheduler, now time.Time) {
		f(s, now, func(x scheduler.Reply) { c <- x })
	})
	select {
	case x := <-c:
		return x
	default:
	}
	select {
	case x := <-c:
		return x
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	return scheduler.Reply{Result: scheduler.OutcomeUnknown, Reason: "not known to be stored"}
}

// JobPhase returns the phase of a job as far as it is stored.
func (r *term) JobPhase(id, workspace string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.scheduler.Forbids(id, workspace) {
		return scheduler.Reply{Result: scheduler.Forbidden}
	}
	return r.checkAbsence(r.scheduler.JobPhase(id))
}

// PendingJobs counts the stored jobs of a queue of which no task has started.
func (r *term) PendingJobs(queue string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.PendingJobs(queue)
}

// List returns the status of a queue's jobs. An empty name selects all queues.
func (r *term) List(queue string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.List(queue)
}

// Explain returns the status of a job and of its tasks, with what pending tasks wait for.
func (r *term) Explain(id string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.checkAbsence(r.scheduler.Explain(id, time.Now()))
}

// Pools returns the capacity and the demand of each pool.
func (r *term) Pools() scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.Pools(time.Now())
}
