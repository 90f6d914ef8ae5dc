package wait

import (
	"context"
	"time"
)

// For returns after a time, or earlier if the context ends.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
