package claim

import "github.com/tarragonbank/tarragonbank/fleet/outcome"

// DuplicateKeyError reports an idempotency key that another request has claimed.
// Outcome is the outcome of that request as far as it is known.
type DuplicateKeyError struct {
	Outcome outcome.Outcome
}

// Error implements error.
func (e *DuplicateKeyError) Error() string {
	return "the key is taken, the first request's outcome is " + e.Outcome.String()
}
