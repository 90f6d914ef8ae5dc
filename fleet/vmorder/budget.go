package vmorder

import (
	"time"

	"golang.org/x/time/rate"
)

// Urgency is how soon an order should be sent.
type Urgency int

// The urgencies of orders.
//
//go:generate enumer -type=Urgency -transform=title-lower
const (
	// Needed orders add capacity, are due for maintenance or have had no answer.
	Needed Urgency = iota
	// Saving orders only switch VMs off. They leave half of the budget to the others, unless that holds only one order.
	Saving
)

// Budget is the number of orders that may be sent now. It is not safe for concurrent use.
type Budget struct {
	limiter *rate.Limiter
}

const (
	// defaultPerSecond is the number of orders a second if the platform names no limit.
	defaultPerSecond = 50
	// share is the part of the limit that the budget holds when it is full, and by which it grows each second, so that no
	// second has more orders than the limit.
	share = 0.5
)

// New returns a full budget for a platform that takes the given number of orders a second, 0 if that is not known.
func New(perSecond float64) *Budget {
	if perSecond <= 0 {
		perSecond = defaultPerSecond
	}
	n := perSecond * share
	return &Budget{limiter: rate.NewLimiter(rate.Limit(n), max(int(n), 1))}
}

// Take takes one order from the budget and reports whether it may be sent. open is the number of orders that the platform has
// not answered.
func (b *Budget) Take(u Urgency, open int, now time.Time) bool {
	if open >= b.limiter.Burst() {
		return false
	}
	full := float64(b.limiter.Burst())
	if u == Saving && b.limiter.TokensAt(now) < min(1+full/2, full) {
		return false
	}
	return b.limiter.AllowN(now, 1)
}
