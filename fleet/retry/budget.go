package retry

import (
	"math/rand/v2"
	"time"
)

// Amounts of a budget, in tenths of a retry.
const (
	depositTenths = 1
	costTenths    = 10
	maxTenths     = 100
)

const (
	baseBackoff  = 2 * time.Millisecond
	maxBackoff   = 100 * time.Millisecond
	maxDoublings = 8
)

// Budget allows one retry per ten successful requests and accumulates at most ten retries.
type Budget struct {
	tenths int
}

// New creates a budget of one retry.
func New() *Budget {
	return &Budget{tenths: costTenths}
}

// Deposit adds a tenth of a retry for a successful request.
func (b *Budget) Deposit() {
	b.tenths = min(b.tenths+depositTenths, maxTenths)
}

// TryWithdraw takes one retry from the budget and reports whether it sufficed.
func (b *Budget) TryWithdraw() bool {
	if b.tenths < costTenths {
		return false
	}
	b.tenths -= costTenths
	return true
}

// Backoff returns the jittered exponential backoff before a retry, from half to all of the delay that doubles with each
// attempt up to maxBackoff. attempt is 1 for the first retry, whose backoff is at least baseBackoff.
func Backoff(attempt int) time.Duration {
	d := min(baseBackoff<<min(attempt, maxDoublings), maxBackoff)
	return d/2 + rand.N(d/2)
}
