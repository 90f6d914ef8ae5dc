package owner

import "time"

// pace follows how long commits take, so that a lost answer is noticed early at a store that is fast, and a slow
// store is given its time.
type pace struct {
	mean time.Duration
}

const (
	// paceTimes is how many times its usual time a commit may take.
	paceTimes = 8
	// paceLeast bounds the limit from below; garbage collection and queues take tens of milliseconds.
	paceLeast = 150 * time.Millisecond
	// pacePart is the weight of the commits before, of one more.
	pacePart = 8
)

func (p *pace) observe(d time.Duration) {
	if p.mean == 0 {
		p.mean = d
		return
	}
	p.mean += (d - p.mean) / pacePart
}

// limit is how long to wait for the first answer to a commit.
func (p *pace) limit() time.Duration {
	return min(max(paceTimes*p.mean, paceLeast), storeLimit)
}
