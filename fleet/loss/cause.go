package loss

// Cause is what kept a job from being done on time.
type Cause int

// The causes.
//
//go:generate enumer -type=Cause -transform=title-lower -json
const (
	// Unexplained jobs have no line in the logs that tells why.
	Unexplained Cause = iota
	// StoreAway jobs were refused or waited while the store did not commit.
	StoreAway
	// NoOwner jobs were refused or waited between two terms of owners.
	NoOwner
	// OwnerUnreached jobs came to an entry that did not reach the owner.
	OwnerUnreached
	// OwnerOverloaded jobs were refused because the owner was behind.
	OwnerOverloaded
	// PoolFull jobs were refused or waited because their pool had no room and no VM was on its way to it.
	PoolFull
	// VMOnTheWay jobs were refused or waited while a VM was on its way to their pool.
	VMOnTheWay
	// TooLarge jobs fit no server.
	TooLarge
	// Share jobs were refused for the allowance, the cap or the fair share of their workspace.
	Share
	// ServerLost jobs lost runs together with their server and waited for its lease or for another server.
	ServerLost
	// Straggler jobs had a run that stalled or was slow.
	Straggler
	// RunFailed jobs had runs that failed.
	RunFailed
	// LongRun jobs ran for longer than was estimated, or were accepted too late to be on time.
	LongRun
)

// Outcome is what became of a job.
type Outcome int

// The outcomes of jobs.
//
//go:generate enumer -type=Outcome -transform=title-lower -json
const (
	// OnTime jobs were done within their target duration.
	OnTime Outcome = iota
	// Late jobs were done after it.
	Late
	// Failed jobs ended without success.
	Failed
	// Refused jobs were never accepted.
	Refused
	// Unknown jobs were not refused either: no attempt got a definite answer.
	Unknown
	// Unfinished jobs were accepted and had not ended when the logs did.
	Unfinished
)
