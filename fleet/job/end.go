package job

// EndReason is why a run ended.
type EndReason int

// The reasons for which runs end.
//
//go:generate enumer -type=EndReason -trimprefix=End -linecomment -transform=title-lower
const (
	// EndDone means that the task completed.
	EndDone EndReason = iota
	// EndFailed means that the task or its server failed.
	EndFailed
	// EndStopped means that the scheduler ordered the run to stop.
	EndStopped
	// EndLeaseExpired means that the run's lease expired.
	EndLeaseExpired // lapsed
	// EndGangBroken means that another run of the same gang ended.
	EndGangBroken // broken
	// EndGangIncomplete means that the other runs of the gang did not start in time.
	EndGangIncomplete // alone
)
