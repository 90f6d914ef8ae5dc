package controller

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	leaseKey      = "controller/lease"
	leaseTTL      = 6 * time.Second
	renewInterval = 2 * time.Second
	retryInterval = 3 * time.Second
)

// Store is the subset of the platform's store that the lease and the demand profile use.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	SwapLease(ctx context.Context, key string, expect store.Revision, v []byte, ttl time.Duration) (store.Revision, error)
}

// lease is the controller lease, which expires unless its holder renews it.
type lease struct {
	store       Store
	holder      string
	revision    store.Revision
	expiresAt   time.Time
	nextAttempt time.Time
}

// acquire takes or renews the lease if an attempt is due, and reports whether this entry holds it. The expiry is
// counted from the start of the call, so it is not later here than in the store.
func (l *lease) acquire(ctx context.Context) bool {
	now := time.Now()
	if now.Before(l.nextAttempt) {
		return now.Before(l.expiresAt)
	}
	if now.After(l.expiresAt) && !l.available(ctx) {
		l.nextAttempt = time.Now().Add(retryInterval)
		return false
	}
	v, err := l.store.SwapLease(ctx, leaseKey, l.revision, []byte(l.holder), leaseTTL)
	if err != nil {
		l.expiresAt = time.Time{}
		l.nextAttempt = time.Now().Add(retryInterval)
		return false
	}
	l.revision = v
	l.expiresAt = now.Add(leaseTTL)
	l.nextAttempt = now.Add(renewInterval)
	return true
}

// available reads the lease and reports whether this entry may acquire it: nobody holds it, or this entry itself does,
// as after a restart.
func (l *lease) available(ctx context.Context) bool {
	i, err := l.store.Get(ctx, leaseKey)
	var absent *store.NotFoundError
	if errors.As(err, &absent) {
		l.revision = 0
		return true
	}
	if err != nil {
		return false
	}
	l.revision = i.Revision
	return string(i.Value) == l.holder
}
