package owner

import (
	"sync"
	"time"
)

// pace follows how long calls to a peer take, so that a lost answer is noticed early at a peer that is fast, and
// a slow one is given its time.
type pace struct {
	// least and most bound the limit.
	least, most time.Duration

	lock sync.Mutex
	mean time.Duration
}

const (
	// paceTimes is how many times its usual time a call may take.
	paceTimes = 8
	// pacePart is the weight of the calls before, of one more.
	pacePart = 8
	// commitLeast covers garbage collection and queues at the store, which take tens of milliseconds.
	commitLeast = 150 * time.Millisecond
	// orderLeast is the same for backend servers, which do less for a call.
	orderLeast = 80 * time.Millisecond
	orderMost  = 400 * time.Millisecond
)

func (p *pace) observe(d time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.mean == 0 {
		p.mean = d
		return
	}
	p.mean += (d - p.mean) / pacePart
}

// missed takes note of a call that got no answer in its time: where that is the rule, the peer has become slow.
func (p *pace) missed(limit time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.mean = min(max(p.mean, limit*missGrowth/(100*paceTimes)), p.most)
}

// missGrowth is the percentage of the last limit that the next one is after a miss.
const missGrowth = 160

// limit is how long to wait for an answer before the call is repeated.
func (p *pace) limit() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return min(max(paceTimes*p.mean, p.least), p.most)
}
