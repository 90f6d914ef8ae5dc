package owner

import (
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
)

const (
	// sufficientCores is the number of cores that is enough for an owner. Entries with fewer defer to larger ones.
	sufficientCores = 0.4
	// maxLowCoresDelay is the election delay of an entry with no cores; it falls linearly to 0 at sufficientCores.
	maxLowCoresDelay = 450 * time.Millisecond
	// handoverCoresRatio is how many times the owner's cores another entry must have to receive the ownership.
	handoverCoresRatio = 1.5
	// handoverObservation is how long the owner must have heard from that entry before the handover.
	handoverObservation = 2 * time.Second
	// minTermDuration is how long an owner serves before it hands over.
	minTermDuration = 4 * time.Second
	// contactTimeout is how old the last call of that entry may be.
	contactTimeout = time.Second
)

// entryContacts records when larger entries called this one: the start of the current series of calls and the last call,
// by entry name.
type entryContacts struct {
	lock         sync.Mutex
	firstContact map[string]time.Time
	lastContact  map[string]time.Time
}

// RecordContact records a call from another entry with the given number of cores. It ignores calls that cannot lead to a
// handover.
func (o *Owner) RecordContact(name string, cores float64, now time.Time) {
	if name == "" || cores < o.self.Cores*handoverCoresRatio || o.self.Cores >= sufficientCores {
		return
	}
	x := &o.largerEntries
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.firstContact == nil {
		x.firstContact, x.lastContact = map[string]time.Time{}, map[string]time.Time{}
	}
	if now.Sub(x.lastContact[name]) > contactTimeout {
		x.firstContact[name] = now
	}
	x.lastContact[name] = now
}

// handoverCandidate returns the name of a larger entry that should own the fleet instead, or an empty string.
func (o *Owner) handoverCandidate(now time.Time) string {
	x := &o.largerEntries
	x.lock.Lock()
	defer x.lock.Unlock()
	for n, t := range x.firstContact {
		if now.Sub(x.lastContact[n]) < contactTimeout && now.Sub(t) > handoverObservation {
			return n
		}
	}
	return ""
}

// handOverToLarger ends the term if a larger entry is available to take the ownership.
func (r *term) handOverToLarger(now time.Time) {
	if now.Sub(r.startedAt) < minTermDuration {
		return
	}
	if n := r.owner.handoverCandidate(now); n != "" {
		r.owner.logDecision(decision.Ownership, "handing over to entries with more cores, such as "+n, r.token)
		r.leave("an entry with more cores is available")
	}
}

// lowCoresDelay returns how long an entry with few cores waits for larger ones before it tries to acquire the ownership.
func (o *Owner) lowCoresDelay() time.Duration {
	return time.Duration(max(sufficientCores-o.self.Cores, 0) / sufficientCores * float64(maxLowCoresDelay))
}
