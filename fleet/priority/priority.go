package priority

// Priority is the urgency of a request, the most urgent first.
type Priority int

// The priorities that a caller can state.
//
//go:generate enumer -type=Priority -transform=lower
const (
	Urgent Priority = iota
	High
	Normal
	Low
)

// floors are the parts of a service's slots that a flood of other priorities leaves to each.
var floors = [...]float64{Urgent: 0.10, High: 0.10, Normal: 0.10, Low: 0.05}

// Count is the number of priorities.
const Count = int(Low) + 1

// MinShare is the part of a service's slots kept for the priority, from 0 to 1.
func (p Priority) MinShare() float64 {
	return floors[p]
}
