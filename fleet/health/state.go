package health

// State is the health of a VM; VMs in any state but Healthy receive no requests.
type State int

// The states of a VM as observed by one entry.
//
//go:generate enumer -type=State -transform=title-lower
const (
	Healthy State = iota
	Unreachable
	Silent
	Failing
	Slow
	Leaving
)

// Usable reports whether a VM in this state may receive requests.
func (s State) Usable() bool {
	return s == Healthy
}

// CountsAsEjected reports whether VMs in this state count towards the pool's ejection limit.
func (s State) CountsAsEjected() bool {
	switch s {
	case Silent, Failing, Slow:
		return true
	default:
		return false
	}
}

// Event is the result of a request to a VM, as far as it concerns the health of the VM.
type Event int

// The events that a Table observes.
//
//go:generate enumer -type=Event -linecomment -transform=title-lower
const (
	Answered Event = iota
	Failed
	Refused
	DialFailed
	NewConnectionStalled // freshStalled
	LeaveAnnounced       // saidLeaving
	HighLatency          // sluggish
)
