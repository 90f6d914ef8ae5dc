package forecast

import (
	"sync"
	"time"
)

// Shared is a profile that several goroutines may use.
type Shared struct {
	lock    sync.Mutex
	profile *Profile
}

// NewShared makes an empty profile.
func NewShared() *Shared {
	return &Shared{profile: New()}
}

// Observe learns the demand of a pool in slots.
func (s *Shared) Observe(now time.Time, name string, slots int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.profile.Observe(now, name, slots)
}

// Peak is the highest demand expected of a pool between now and the time ahead, in slots.
func (s *Shared) Peak(now time.Time, name string, ahead time.Duration) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.profile.Peak(now, name, ahead)
}

// Marshal encodes the profile.
func (s *Shared) Marshal() ([]byte, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.profile.Marshal()
}

// Unmarshal takes what another controller has learned.
func (s *Shared) Unmarshal(b []byte) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.profile.Unmarshal(b)
}
