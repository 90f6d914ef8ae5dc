package claim

import "github.com/tarragonbank/tarragonbank/fleet/outcome"

// DuplicateKeyError reports a key that another request has.
type DuplicateKeyError struct {
	Outcome outcome.Outcome
}

// Error describes the failure in one line.
func (e *DuplicateKeyError) Error() string {
	return "the key is taken, the first request's outcome is " + e.Outcome.String()
}
