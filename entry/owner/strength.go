package owner

import (
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
)

const (
	// ample is how many cores an owner needs at most; entries with less let stronger ones go first.
	ample = 0.4
	// weakWait is how much longer an entry with no cores would wait before it takes the ownership.
	weakWait = 450 * time.Millisecond
	// strongerBy is how many times as strong another entry must be for the ownership to be handed over.
	strongerBy = 1.5
	// strongerFor is for how long it must have been heard.
	strongerFor = 2 * time.Second
	// yieldAfter is how long an owner stays at least.
	yieldAfter = 4 * time.Second
	// heardWithin is how old the last word of another entry may be.
	heardWithin = time.Second
)

// others follows which stronger entries ask the owner.
type others struct {
	lock  sync.Mutex
	first map[string]time.Time
	last  map[string]time.Time
}

// Heard takes note of an entry that asks this one, and of its strength.
func (o *Owner) Heard(name string, strength float64, now time.Time) {
	if name == "" || strength < o.self.Cores*strongerBy || o.self.Cores >= ample {
		return
	}
	x := &o.others
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.first == nil {
		x.first, x.last = map[string]time.Time{}, map[string]time.Time{}
	}
	if now.Sub(x.last[name]) > heardWithin {
		x.first[name] = now
	}
	x.last[name] = now
}

// stronger names an entry that should rather own the fleet, or nothing.
func (o *Owner) stronger(now time.Time) string {
	x := &o.others
	x.lock.Lock()
	defer x.lock.Unlock()
	for n, t := range x.first {
		if now.Sub(x.last[n]) < heardWithin && now.Sub(t) > strongerFor {
			return n
		}
	}
	return ""
}

// yield hands the ownership over where a stronger entry is there to take it.
func (r *reign) yield(now time.Time) {
	if now.Sub(r.began) < yieldAfter {
		return
	}
	if n := r.owner.stronger(now); n != "" {
		r.owner.note(decision.Ownership, "handed over to stronger entries such as "+n, r.epoch)
		r.depose("a stronger entry is there")
	}
}

// handicap is how much longer a weak entry waits before it takes the ownership.
func (o *Owner) handicap() time.Duration {
	return time.Duration(max(ample-o.self.Cores, 0) / ample * float64(weakWait))
}
