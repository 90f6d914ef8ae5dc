package job

// Phase is the phase of a job's life cycle.
type Phase int

// The phases of a job.
//
//go:generate enumer -type=Phase -transform=title-lower
const (
	Queued Phase = iota
	Running
	Completed
	Failed
	Cancelled
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool {
	return p == Completed || p == Failed || p == Cancelled
}
