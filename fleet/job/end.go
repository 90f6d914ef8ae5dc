package job

// End is how a run ended.
type End int

// The ways in which runs end.
//
//go:generate enumer -type=End -trimprefix=End -transform=title-lower
const (
	// EndDone means that the task is done.
	EndDone End = iota
	// EndFailed means that the task failed through its own fault or the server's.
	EndFailed
	// EndStopped means that the run was stopped by an order.
	EndStopped
	// EndLapsed means that the run's lease ran out.
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the other members of the gang did not come.
	EndAlone
)
