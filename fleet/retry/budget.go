package retry

import (
	"math/rand/v2"
	"time"
)

const (
	earned      = 0.1
	mostTokens  = 10.0
	firstPause  = 2 * time.Millisecond
	longestWait = 100 * time.Millisecond
)

// Budget allows one retry for every ten requests that succeeded, and ten at once at most.
type Budget struct {
	tokens float64
}

// New makes a budget that allows one retry.
func New() *Budget {
	return &Budget{tokens: 1}
}

// Earn counts a request that succeeded.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+earned, mostTokens)
}

// Spend takes one retry and says whether it was there.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Pause is the jittered wait before the attempt, counted from 1 for the first retry.
func Pause(attempt int) time.Duration {
	d := min(firstPause<<min(attempt, 8), longestWait)
	return d/2 + rand.N(d/2)
}
