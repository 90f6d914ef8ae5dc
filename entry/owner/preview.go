package owner

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/overload"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Preview decides where a job would be placed without submitting it. An overloaded owner refuses, since a preview takes about
// as long as a placement pass.
func (r *term) Preview(m *schema.JobRecord) scheduler.Reply {
	if r.overloaded.Load() {
		return scheduler.Reply{Result: scheduler.Refused, Reason: overloadedReason, RetryAfter: overload.RetryAfter(m.GetId())}
	}
	if r.storeAway() && !r.knows(m.GetId()) {
		return scheduler.Reply{Result: scheduler.Done, Preview: &schema.JobPreview{
			Reason: storeUnavailableReason, RetryAfterMs: storeUnavailableRetry.Milliseconds(),
		}}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.Preview(m, time.Now())
}
