package job

// EndReason is how a run ended.
type EndReason int

// The ways in which runs end.
//
//go:generate enumer -type=EndReason -trimprefix=End -linecomment -transform=title-lower
const (
	// EndDone means that the task is done.
	EndDone EndReason = iota
	// EndFailed means that the task failed through its own fault or the server's.
	EndFailed
	// EndStopped means that the run was stopped by an order.
	EndStopped
	// EndLeaseExpired means that the run's lease ran out.
	EndLeaseExpired // lapsed
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken // broken
	// EndGangIncomplete means that the other members of the gang did not come.
	EndGangIncomplete // alone
)
