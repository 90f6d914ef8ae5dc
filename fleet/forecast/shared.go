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
func (s *ConcurrentProfile) Observe(now time.Time, name string, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.profile.Observe(now, name, slots)
}

// PeakDemand returns the highest predicted demand of a pool from now until now+ahead, in slots; 0 if it is unknown.
func (s *ConcurrentProfile) PeakDemand(now time.Time, name string, ahead time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.profile.PeakDemand(now, name, ahead)
}

// Marshal encodes the profile as a schema.DemandProfile.
func (s *ConcurrentProfile) Marshal() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.profile.Marshal()
}

// Unmarshal replaces the profiles of the pools that another controller has encoded.
func (s *ConcurrentProfile) Unmarshal(b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.profile.Unmarshal(b)
}
