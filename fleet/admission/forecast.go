package admission

import (
	"math"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/priority"
)

// Safety margins of a prediction.
const (
	// waitSafetyFactor multiplies the predicted wait.
	waitSafetyFactor = 2
	deadlineMargin   = 5 * time.Millisecond
)

// Prediction is the expected response time of a request that is admitted now.
type Prediction struct {
	// Wait is the expected time in the queue.
	Wait time.Duration
	// ServiceTime is the 95th percentile of the service time.
	ServiceTime time.Duration
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// MeetsDeadline reports whether the predicted response time, with margins, fits in the remaining time.
func (f Prediction) MeetsDeadline() bool {
	w := time.Duration(float64(f.Wait) * waitSafetyFactor)
	return w+f.ServiceTime+deadlineMargin <= f.Remaining
}

// predict estimates the wait of a request of class c from the queue ahead of it and the capacity left to its class.
func (p *Pool) predict(now time.Time, s *serviceState, c priority.Priority, deadline time.Time) Prediction {
	f := Prediction{ServiceTime: s.serviceTimes.P95(), Remaining: deadline.Sub(now)}
	if p.free > 0 && s.waiting == 0 {
		return f
	}
	slots := p.expectedSlots(s)
	if slots <= 0 {
		f.Wait = math.MaxInt32 * time.Second
		return f
	}
	capacity := slots / s.serviceTimes.Mean().Seconds()
	f.Wait = s.predictWait(now, c, capacity)
	return f
}

// predictWait estimates the queueing time in class c if the service completes capacity requests per second.
// It is the shorter of two: the class served by its minimum share alone, or by what the more urgent arrivals
// and the minimum shares of the less urgent classes leave.
func (s *serviceState) predictWait(now time.Time, c priority.Priority, capacity float64) time.Duration {
	own := s.classes[c].waiting + 1
	ahead := own
	higherArrivals := 0.0
	reservedByLower := 0.0
	for i := range s.classes {
		x := &s.classes[i]
		switch q := priority.Priority(i); {
		case q < c:
			ahead += x.waiting
			higherArrivals += x.arrivals.at(now)
		case q > c && x.waiting > 0:
			reservedByLower += q.MinShare()
		}
	}
	d := float64(own) / (capacity * c.MinShare())
	if left := capacity*(1-reservedByLower) - higherArrivals; left > 0 {
		d = min(d, float64(ahead)/left)
	}
	return time.Duration(d * float64(time.Second))
}

// expectedSlots returns the service's share of the entry's slots among the active services.
func (p *Pool) expectedSlots(s *serviceState) float64 {
	total := 0.0
	for _, x := range p.services {
		if x == s || x.waiting > 0 || x.busy > 0 {
			total += p.weight(x)
		}
	}
	return float64(p.capacity()) * p.weight(s) / total
}

// weight returns the service's reserved share, or an even part of what the reserved shares leave.
func (p *Pool) weight(s *serviceState) float64 {
	if s.config.ReservedShare > 0 {
		return s.config.ReservedShare
	}
	left := 1.0
	open := 0
	for _, x := range p.services {
		left -= x.config.ReservedShare
		if x.config.ReservedShare == 0 {
			open++
		}
	}
	return max(left, minWeight) / float64(open)
}

// minWeight is the least share that the services without a reserved share divide among them; it prevents a division by
// zero when all shares are reserved.
const minWeight = 0.01
