package forecast

import (
	"sync"
	"time"
)

// ConcurrentProfile is a profile that several goroutines may use.
type ConcurrentProfile struct {
	lock    sync.Mutex
	profile *Profile
}

// NewConcurrentProfile makes an empty profile.
func NewConcurrentProfile() *ConcurrentProfile {
	return &ConcurrentProfile{profile: New()}
}

// Observe learns the demand of a pool in slots.
func (s *ConcurrentProfile) Observe(now time.Time, name string, slots int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.profile.Observe(now, name, slots)
}

// PeakDemand is the highest demand expected of a pool between now and the time ahead, in slots.
func (s *ConcurrentProfile) PeakDemand(now time.Time, name string, ahead time.Duration) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.profile.PeakDemand(now, name, ahead)
}

// Marshal encodes the profile.
func (s *ConcurrentProfile) Marshal() ([]byte, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.profile.Marshal()
}

// Unmarshal takes what another controller has learned.
func (s *ConcurrentProfile) Unmarshal(b []byte) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.profile.Unmarshal(b)
}
