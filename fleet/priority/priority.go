package priority

// Priority is the urgency of a request; lower values are more urgent.
type Priority int

// The priorities that a caller can request.
//
//go:generate enumer -type=Priority -transform=lower
const (
	Urgent Priority = iota
	High
	Normal
	Low
)

// minShares are the fractions of a service's slots that each priority keeps when others overload the service.
var minShares = [...]float64{Urgent: 0.10, High: 0.10, Normal: 0.10, Low: 0.05}

// Count is the number of priorities.
const Count = int(Low) + 1

// MinShare returns the fraction of a service's slots guaranteed to the priority, from 0 to 1.
func (p Priority) MinShare() float64 {
	return minShares[p]
}
