package retry

import (
	"math/rand/v2"
	"time"
)

// Amounts of a budget, in tenths of a retry.
const (
	earned     = 1
	price      = 10
	mostTenths = 100
)

const (
	firstPause  = 2 * time.Millisecond
	longestWait = 100 * time.Millisecond
	mostDoubled = 8
)

// Budget allows one retry for every ten requests that succeeded, and ten at once at most.
type Budget struct {
	tenths int
}

// New makes a budget that allows one retry.
func New() *Budget {
	return &Budget{tenths: price}
}

// Deposit counts a request that succeeded.
func (b *Budget) Deposit() {
	b.tenths = min(b.tenths+earned, mostTenths)
}

// TryWithdraw takes one retry and says whether it was there.
func (b *Budget) TryWithdraw() bool {
	if b.tenths < price {
		return false
	}
	b.tenths -= price
	return true
}

// Backoff is the jittered wait before the attempt, counted from 1 for the first retry.
func Backoff(attempt int) time.Duration {
	d := min(firstPause<<min(attempt, mostDoubled), longestWait)
	return d/2 + rand.N(d/2)
}
