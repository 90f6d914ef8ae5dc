package claim

import "github.com/tarragonbank/tarragonbank/fleet/outcome"

// TakenError reports a key that another request has.
type TakenError struct {
	Outcome outcome.Outcome
}

// Error describes the failure in one line.
func (e *TakenError) Error() string {
	return "the key is taken, the first request's outcome is " + e.Outcome.String()
}
