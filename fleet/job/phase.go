package job

// Phase is where a job stands.
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

// Ended says whether the phase is final.
func (p Phase) Ended() bool {
	return p == Completed || p == Failed || p == Cancelled
}
