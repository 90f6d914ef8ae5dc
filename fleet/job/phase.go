package job

// Phase is the phase of a job's life cycle.
type Phase int

// The phases of a job.
//
//go:generate enumer -type=Phase -transform=title-lower
const (
	// Queued means that the job is accepted and none of its tasks has started.
	Queued Phase = iota
	// Running means that a task has started.
	Running
	// Completed means that all tasks of all occurrences are done.
	Completed
	// Failed means that a task has used up its attempts.
	Failed
	// Cancelled means that the caller ended the job.
	Cancelled
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool {
	return p == Completed || p == Failed || p == Cancelled
}
