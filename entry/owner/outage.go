package owner

import (
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/fleet/loss"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// commitPending records that a commit that began at the time began has failed or is without an answer.
func (r *term) commitPending(err error, began time.Time) {
	r.storeLock.Lock()
	first := !r.commitsFailing
	r.commitsFailing = true
	r.store.CommitPending(began)
	r.storeLock.Unlock()
	if first {
		r.owner.logDecision(decision.Dependency, loss.ReasonCommitFailed+err.Error(), r.token)
	}
	r.refuseInOutage()
}

// refuseInOutage refuses the submissions that no transaction has included yet if the store is away.
func (r *term) refuseInOutage() {
	if !r.storeAway() {
		return
	}
	r.update(processor.Other, func(s *scheduler.Scheduler, now time.Time) {
		s.RefuseUnsent(storeUnavailableReason, storeUnavailableRetry, now)
	})
}

// storeAway reports whether new jobs are refused because the store does not commit, and logs when that changes.
func (r *term) storeAway() bool {
	r.storeLock.Lock()
	away := r.store.Away(time.Now())
	changed := away != r.storeUnavailable
	r.storeUnavailable = away
	r.storeLock.Unlock()
	if changed {
		reason := "store available again, jobs are accepted"
		if away {
			reason = "store unavailable, jobs are refused"
		}
		r.owner.logDecision(decision.Dependency, reason, r.token)
	}
	return away
}

// storeAnswered records an answer of the store.
func (r *term) storeAnswered() {
	r.storeLock.Lock()
	defer r.storeLock.Unlock()
	r.store.Answered(time.Now())
}

// commitSucceeded records that a commit is stored, and logs it if commits have failed before.
func (r *term) commitSucceeded(n store.Revision) {
	r.storeLock.Lock()
	failed := r.commitsFailing
	r.commitsFailing = false
	r.store.Committed(time.Now())
	r.storeLock.Unlock()
	r.owner.deps.Metrics.Event("commits", "stored")
	if failed {
		r.owner.logDecision(decision.Dependency, loss.ReasonCommitsSucceed, n)
	}
}
