package wait

import (
	"context"
	"time"
)

// For blocks for a time, or until the context ends if that is sooner.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
