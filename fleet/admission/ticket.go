package admission

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/request"
)

// Ticket is one request that a pool has admitted.
type Ticket struct {
	Request request.Request
	// VM is where the request runs, empty while it waits.
	VM string
	// Refused is set when the request was given up on while it waited.
	Refused Reason
	// Ready is closed once VM or Refused is set.
	Ready    chan struct{}
	admitted time.Time
	latest   time.Time
	started  time.Time
	avoid    string
	borrowed bool
	service  *serviceState
	team     *teamState
}

// Waited is how long the request queued for a slot.
func (t *Ticket) Waited() time.Duration {
	if t.started.IsZero() {
		return 0
	}
	return t.started.Sub(t.admitted)
}

// Refusal tells a caller why its request was not taken and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}
