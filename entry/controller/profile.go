package controller

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	profileKey          = "controller/profile"
	profileSaveInterval = 30 * time.Minute
	// profileTTL is how long the store keeps a profile that no controller saves again.
	profileTTL = 14 * 24 * time.Hour
)

// Profile is a demand profile that can be stored.
type Profile interface {
	Marshal() ([]byte, error)
	Unmarshal(b []byte) error
}

// profileStore persists the demand profile. The profile is advisory: losing it causes extra moves of VMs, but breaks no
// guarantee.
type profileStore struct {
	store    Store
	profile  Profile
	loaded   bool
	savedAt  time.Time
	revision store.Revision
}

// sync loads the profile after the lease was acquired, and then saves it every profileSaveInterval.
func (p *profileStore) sync(ctx context.Context) {
	if !p.loaded {
		p.load(ctx)
		return
	}
	if time.Since(p.savedAt) < profileSaveInterval {
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

// reset makes the next sync load the profile. It does nothing on a nil receiver.
func (p *profileStore) reset() {
	if p != nil {
		p.loaded = false
	}
}
