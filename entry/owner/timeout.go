package owner

import (
	"sync"
	"time"
)

// adaptiveTimeout follows how long calls to a peer take, so that a lost answer is noticed early at a peer that is fast, and
// a slow one is given its time.
type adaptiveTimeout struct {
	// minimum and maximum bound the limit.
	minimum, maximum time.Duration

	lock        sync.Mutex
	meanLatency time.Duration
}

const (
	// timeoutFactor is how many times its usual time a call may take.
	timeoutFactor = 8
	// smoothingDivisor is the weight of the calls before, of one more.
	smoothingDivisor = 8
	// minCommitTimeout covers garbage collection and queues at the store, which take tens of milliseconds.
	minCommitTimeout = 150 * time.Millisecond
	// minOrderTimeout is the same for backend servers, which do less for a call.
	minOrderTimeout = 80 * time.Millisecond
	maxOrderTimeout = 400 * time.Millisecond
)

func (p *adaptiveTimeout) observe(d time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.meanLatency == 0 {
		p.meanLatency = d
		return
	}
	p.meanLatency += (d - p.meanLatency) / smoothingDivisor
}

// timedOut takes note of a call that got no answer in its time: where that is the rule, the peer has become slow.
func (p *adaptiveTimeout) timedOut(limit time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.meanLatency = min(max(p.meanLatency, limit*timeoutGrowthPercent/(100*timeoutFactor)), p.maximum)
}

// timeoutGrowthPercent is the percentage of the last limit that the next one is after a miss.
const timeoutGrowthPercent = 160

// duration is how long to wait for an answer before the call is repeated.
func (p *adaptiveTimeout) duration() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return min(max(timeoutFactor*p.meanLatency, p.minimum), p.maximum)
}
