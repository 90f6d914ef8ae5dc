package forecast

import (
	"sync"
	"time"
)

// ConcurrentProfile is a Profile that is safe for concurrent use.
type ConcurrentProfile struct {
	mu      sync.Mutex
	profile *Profile
}

// NewConcurrentProfile creates an empty profile.
func NewConcurrentProfile() *ConcurrentProfile {
	return &ConcurrentProfile{profile: New()}
}

// Observe records the current demand of a pool, in slots.
func (p *ConcurrentProfile) Observe(now time.Time, name string, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.profile.Observe(now, name, slots)
}

// PeakDemand returns the highest predicted demand of a pool from now until now+ahead, in slots; 0 if it is unknown.
func (p *ConcurrentProfile) PeakDemand(now time.Time, name string, ahead time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.profile.PeakDemand(now, name, ahead)
}

// Marshal encodes the profile as a schema.DemandProfile.
func (p *ConcurrentProfile) Marshal() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.profile.Marshal()
}

// Unmarshal replaces the profiles of the pools that another controller has encoded.
func (p *ConcurrentProfile) Unmarshal(b []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.profile.Unmarshal(b)
}
