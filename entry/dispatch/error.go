package dispatch

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/admission"
)

// RefusedError reports a request that was not assigned a slot; it has not run.
type RefusedError struct {
	Reason admission.Reason
	// RetryAfter is how long the caller should wait before a retry.
	RetryAfter time.Duration
}

// Error names the reason for the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused: %s", e.Reason)
}
