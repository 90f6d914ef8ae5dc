package owner

import (
	"context"

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
