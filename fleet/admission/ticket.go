package admission

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/request"
)

// Ticket is a request that a pool has admitted.
type Ticket struct {
	Request request.Request
	// VM is the name of the VM that the request runs on, empty while it is queued.
	VM string
	// Refused is the reason why the request was dropped from the queue, None otherwise.
	Refused Reason
	// Ready is closed once VM or Refused is set.
	Ready       chan struct{}
	admitted    time.Time
	latestStart time.Time
	started     time.Time
	// avoid is the VM that did not serve the request before, empty if there is none.
	avoid string
	// borrowed reports that the slot is granted to another entry.
	borrowed bool
	service  *serviceState
	team     *teamState
}

// Waited returns the time that the request was queued for, 0 if it has not started.
func (t *Ticket) Waited() time.Duration {
	if t.started.IsZero() {
		return 0
	}
	return t.started.Sub(t.admitted)
}

// Refusal tells a caller why its request was not admitted and how long to wait before a retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}
