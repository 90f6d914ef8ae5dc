package dispatch

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/admission"
)

// RefusedError reports a request that was given no slot; it did not run.
type RefusedError struct {
	Reason     admission.Reason
	RetryAfter time.Duration
}

// Error describes the failure in one line.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused as %s", e.Reason)
}
