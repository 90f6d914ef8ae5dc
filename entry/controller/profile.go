package controller

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	profileKey        = "controller/profile"
	profileSavePeriod = 30 * time.Minute
	// profileTTL is how long a profile that nobody renews is kept.
	profileTTL = 14 * 24 * time.Hour
)

// Profile is what has been learned of demand.
type Profile interface {
	Marshal() ([]byte, error)
	Unmarshal(b []byte) error
}

// profileStore keeps the profile in the store. It is a hint: losing it costs moves, not promises.
type profileStore struct {
	store    Store
	profile  Profile
	loaded   bool
	savedAt  time.Time
	revision store.Revision
}

// sync reads the profile when the lease is new, and writes it from time to time.
func (p *profileStore) sync(ctx context.Context) {
	if !p.loaded {
		p.load(ctx)
		return
	}
	if time.Since(p.savedAt) < profileSavePeriod {
		return
	}
	p.savedAt = time.Now()
	b, err := p.profile.Marshal()
	if err != nil {
		return
	}
	v, err := p.store.SwapLease(ctx, profileKey, p.revision, b, profileTTL)
	if err != nil {
		p.loaded = false
		return
	}
	p.revision = v
}

func (p *profileStore) load(ctx context.Context) {
	i, err := p.store.Get(ctx, profileKey)
	var absent *store.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		return
	}
	if len(i.Value) > 0 && p.profile.Unmarshal(i.Value) != nil {
		return
	}
	p.loaded = true
	p.revision = i.Revision
	p.savedAt = time.Now()
}

// reset has the profile read again when the lease is this entry's once more.
func (p *profileStore) reset() {
	if p != nil {
		p.loaded = false
	}
}
