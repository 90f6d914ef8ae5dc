package health

// State is whether and why a VM is given work.
type State int

// The states of a VM as one entry sees it.
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

// Usable says whether a VM in the state may be given work.
func (s State) Usable() bool {
	return s == Healthy
}

// CountsAsEjected says whether the state counts against the pool's budget.
func (s State) CountsAsEjected() bool {
	switch s {
	case Silent, Failing, Slow:
		return true
	default:
		return false
	}
}

// Event is what a request or probe saw of a VM.
type Event int

// The events that change a VM's state.
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
