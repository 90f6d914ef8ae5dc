package controller

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	profileKey  = "controller/profile"
	profileTime = 30 * time.Minute
	// profileLife is how long a profile that nobody renews is kept.
	profileLife = 14 * 24 * time.Hour
)

// Profile is what has been learned of demand.
type Profile interface {
	Marshal() ([]byte, error)
	Unmarshal(b []byte) error
}

// keeper keeps the profile in the store. It is a hint: losing it costs moves, not promises.
type keeper struct {
	store   Store
	profile Profile
	read    bool
	written time.Time
	version store.Revision
}

// keep reads the profile when the lease is new, and writes it from time to time.
func (k *keeper) keep(ctx context.Context) {
	if !k.read {
		k.take(ctx)
		return
	}
	if time.Since(k.written) < profileTime {
		return
	}
	k.written = time.Now()
	b, err := k.profile.Marshal()
	if err != nil {
		return
	}
	v, err := k.store.SwapLease(ctx, profileKey, k.version, b, profileLife)
	if err != nil {
		k.read = false
		return
	}
	k.version = v
}

func (k *keeper) take(ctx context.Context) {
	i, err := k.store.Get(ctx, profileKey)
	var absent *store.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		return
	}
	if len(i.Value) > 0 && k.profile.Unmarshal(i.Value) != nil {
		return
	}
	k.read = true
	k.version = i.Revision
	k.written = time.Now()
}

// forget has the profile read again when the lease is this entry's once more.
func (k *keeper) forget() {
	if k != nil {
		k.read = false
	}
}
