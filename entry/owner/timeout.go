package owner

import (
	"sync"
	"time"
)

// adaptiveTimeout derives the timeout of calls to a peer from their latency, so that a lost answer of a fast peer is
// noticed early and a slow peer has enough time.
type adaptiveTimeout struct {
	// minimum and maximum bound the timeout.
	minimum, maximum time.Duration

	lock        sync.Mutex
	meanLatency time.Duration
}

const (
	// timeoutFactor is the ratio of the timeout to the mean latency.
	timeoutFactor = 8
	// smoothingDivisor is the reciprocal of a new sample's weight in the moving average.
	smoothingDivisor = 8
	// minCommitTimeout covers garbage collection and queueing at the store, which take tens of milliseconds.
	minCommitTimeout = 150 * time.Millisecond
	// minOrderTimeout covers the same at backend servers, which do less work per call.
	minOrderTimeout = 80 * time.Millisecond
	maxOrderTimeout = 400 * time.Millisecond
)

// observe adds the latency of an answered call to the moving average.
func (p *adaptiveTimeout) observe(d time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.meanLatency == 0 {
		p.meanLatency = d
		return
	}
	p.meanLatency += (d - p.meanLatency) / smoothingDivisor
}

// timedOut records a call without an answer within limit. It raises the mean, since repeated timeouts mean that the peer
// has become slow.
func (p *adaptiveTimeout) timedOut(limit time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.meanLatency = min(max(p.meanLatency, limit*timeoutGrowthPercent/(100*timeoutFactor)), p.maximum)
}

// timeoutGrowthPercent is the least timeout after a timed-out call, in percent of that call's timeout.
const timeoutGrowthPercent = 160

// duration returns how long to wait for an answer before the call is repeated.
func (p *adaptiveTimeout) duration() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return min(max(timeoutFactor*p.meanLatency, p.minimum), p.maximum)
}
