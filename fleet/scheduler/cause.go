package scheduler

// Cause is the kind of reason for which a job is refused.
type Cause int

// The causes of refusals.
//
//go:generate enumer -type=Cause -trimprefix=Cause -transform=lower
const (
	// CauseOther is any reason without a kind of its own.
	CauseOther Cause = iota
	// CauseQueue means that the queue is not known.
	CauseQueue
	// CauseSize means that no server is large enough.
	CauseSize
	// CauseCapacity means that the pool has no room in time.
	CauseCapacity
	// CauseCap means that the cap of the workspace leaves no room, in time or at all.
	CauseCap
	// CauseShare means that the workspace uses more than its fair share of a busy pool.
	CauseShare
	// CauseExcess means that the job exceeds the allowance of its workspace and there is no room to spare.
	CauseExcess
	// CauseStore means that the store does not commit.
	CauseStore
	// CauseOwner means that nobody owns the fleet.
	CauseOwner
	// CauseUnreached means that the entry does not reach the owner.
	CauseUnreached
	// CauseOverload means that the owner is behind.
	CauseOverload
	// CauseMemory means that the owner has no memory for the job.
	CauseMemory
)
