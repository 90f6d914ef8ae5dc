package controller

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	leaseKey   = "controller/lease"
	leaseTime  = 6 * time.Second
	renewAfter = 2 * time.Second
	askAfter   = 3 * time.Second
)

// Store is the part of the platform's store that the lease needs.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	SwapLease(ctx context.Context, key string, expect store.Revision, v []byte, ttl time.Duration) (store.Revision, error)
}

// lease is the right to act as the controller, which lapses unless it is renewed.
type lease struct {
	store   Store
	holder  string
	version store.Revision
	until   time.Time
	next    time.Time
}

// held takes or renews the lease when it is time and says whether it is this entry's.
func (l *lease) held(ctx context.Context) bool {
	now := time.Now()
	if now.Before(l.next) {
		return now.Before(l.until)
	}
	if now.After(l.until) && !l.vacant(ctx) {
		l.next = time.Now().Add(askAfter)
		return false
	}
	v, err := l.store.SwapLease(ctx, leaseKey, l.version, []byte(l.holder), leaseTime)
	if err != nil {
		l.until = time.Time{}
		l.next = time.Now().Add(askAfter)
		return false
	}
	l.version = v
	l.until = now.Add(leaseTime)
	l.next = now.Add(renewAfter)
	return true
}

// vacant reads the lease and says whether it has lapsed.
func (l *lease) vacant(ctx context.Context) bool {
	i, err := l.store.Get(ctx, leaseKey)
	var absent *store.NotFoundError
	if errors.As(err, &absent) {
		l.version = 0
		return true
	}
	if err != nil {
		return false
	}
	l.version = i.Revision
	return string(i.Value) == l.holder
}
