package overload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRetryAfter is the shortest time after which a refused caller may return, retrySpread the range over which callers
	// return, in whole seconds.
	minRetryAfter = time.Second
	retrySpread   = 3
)

// RetryAfter returns when the caller of a refused job may return. The jobs spread by their IDs, so that they do not return
// together.
func RetryAfter(id string) time.Duration {
	return minRetryAfter + time.Duration(xxhash.Sum64String(id)%retrySpread)*time.Second
}
