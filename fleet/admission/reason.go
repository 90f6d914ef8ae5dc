package admission

// Reason says why a request was refused.
type Reason int

// The reasons of refusals; in all of them the request did not run.
//
//go:generate enumer -type=Reason -linecomment -transform=title-lower
const (
	None Reason = iota
	NoCapacity
	Overloaded
	DeadlinePassed
	CallerLeft
	UnknownService
	BadRequest
	BodyTooLarge
	NotReady
	Leaving
	StoreUnavailable // storeAway
	DuplicateKey
	Unreachable
	RetryBudgetExhausted // exhausted
	BackendRefused
)

// Temporary says whether the same request may succeed later.
func (r Reason) Temporary() bool {
	switch r {
	case UnknownService, BadRequest, BodyTooLarge, DuplicateKey:
		return false
	default:
		return true
	}
}
