package owner

import (
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
)

const (
	// sufficientCores is how many cores an owner needs at most; entries with less let stronger ones go first.
	sufficientCores = 0.4
	// maxLowCoresDelay is how much longer an entry with no cores would wait before it takes the ownership.
	maxLowCoresDelay = 450 * time.Millisecond
	// handoverCoresRatio is how many times as strong another entry must be for the ownership to be handed over.
	handoverCoresRatio = 1.5
	// handoverObservation is for how long it must have been heard.
	handoverObservation = 2 * time.Second
	// minTermDuration is how long an owner stays at least.
	minTermDuration = 4 * time.Second
	// heardTimeout is how old the last word of another entry may be.
	heardTimeout = time.Second
)

// entryContacts follows which stronger entries ask the owner.
type entryContacts struct {
	lock       sync.Mutex
	firstHeard map[string]time.Time
	lastHeard  map[string]time.Time
}

// Heard takes note of an entry that asks this one, and of its strength.
func (o *Owner) Heard(name string, cores float64, now time.Time) {
	if name == "" || cores < o.self.Cores*handoverCoresRatio || o.self.Cores >= sufficientCores {
		return
	}
	x := &o.largerEntries
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.firstHeard == nil {
		x.firstHeard, x.lastHeard = map[string]time.Time{}, map[string]time.Time{}
	}
	if now.Sub(x.lastHeard[name]) > heardTimeout {
		x.firstHeard[name] = now
	}
	x.lastHeard[name] = now
}

// handoverCandidate names an entry that should rather own the fleet, or nothing.
func (o *Owner) handoverCandidate(now time.Time) string {
	x := &o.largerEntries
	x.lock.Lock()
	defer x.lock.Unlock()
	for n, t := range x.firstHeard {
		if now.Sub(x.lastHeard[n]) < heardTimeout && now.Sub(t) > handoverObservation {
			return n
		}
	}
	return ""
}

// handOverToLarger hands the ownership over where a stronger entry is there to take it.
func (r *term) handOverToLarger(now time.Time) {
	if now.Sub(r.startedAt) < minTermDuration {
		return
	}
	if n := r.owner.handoverCandidate(now); n != "" {
		r.owner.logDecision(decision.Ownership, "handed over to stronger entries such as "+n, r.token)
		r.stepDown("a stronger entry is there")
	}
}

// lowCoresDelay is how much longer a weak entry waits before it takes the ownership.
func (o *Owner) lowCoresDelay() time.Duration {
	return time.Duration(max(sufficientCores-o.self.Cores, 0) / sufficientCores * float64(maxLowCoresDelay))
}
