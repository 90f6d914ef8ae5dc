package admission

import (
	"math"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/priority"
)

// Margins of the forecast.
const (
	waitMargin  = 2
	fixedMargin = 5 * time.Millisecond
)

// Prediction is when a request would be answered if it were taken now.
type Prediction struct {
	Wait        time.Duration
	ServiceTime time.Duration
	Remaining   time.Duration
}

// MeetsDeadline says whether the answer would come before the deadline.
func (f Prediction) MeetsDeadline() bool {
	w := time.Duration(float64(f.Wait) * waitMargin)
	return w+f.ServiceTime+fixedMargin <= f.Remaining
}

// forecast predicts the wait from what is queued before the request and the rate that is left to it.
func (p *Pool) forecast(now time.Time, s *serviceState, c priority.Priority, deadline time.Time) Prediction {
	f := Prediction{ServiceTime: s.times.P95(), Remaining: deadline.Sub(now)}
	if p.free > 0 && s.waiting == 0 {
		return f
	}
	slots := p.effectiveSlots(s)
	if slots <= 0 {
		f.Wait = math.MaxInt32 * time.Second
		return f
	}
	capacity := slots / s.times.Mean().Seconds()
	f.Wait = s.wait(now, c, capacity)
	return f
}

// wait predicts the time in the queue of a class when the service ends capacity requests a second.
func (s *serviceState) wait(now time.Time, c priority.Priority, capacity float64) time.Duration {
	own := s.classes[c].waiting + 1
	ahead := own
	urgent := 0.0
	floors := 0.0
	for i := range s.classes {
		x := &s.classes[i]
		switch q := priority.Priority(i); {
		case q < c:
			ahead += x.waiting
			urgent += x.arrivals.at(now)
		case q > c && x.waiting > 0:
			floors += q.MinShare()
		}
	}
	d := float64(own) / (capacity * c.MinShare())
	if left := capacity*(1-floors) - urgent; left > 0 {
		d = min(d, float64(ahead)/left)
	}
	return time.Duration(d * float64(time.Second))
}

// effectiveSlots is how many of the entry's slots the service can count on.
func (p *Pool) effectiveSlots(s *serviceState) float64 {
	total := 0.0
	for _, x := range p.services {
		if x == s || x.waiting > 0 || x.busy > 0 {
			total += p.weight(x)
		}
	}
	return float64(p.capacity()) * p.weight(s) / total
}

// weight is the service's reserved share, or an even part of what no service has reserved.
func (p *Pool) weight(s *serviceState) float64 {
	if s.rules.ReservedShare > 0 {
		return s.rules.ReservedShare
	}
	left := 1.0
	open := 0
	for _, x := range p.services {
		left -= x.rules.ReservedShare
		if x.rules.ReservedShare == 0 {
			open++
		}
	}
	return max(left, minWeight) / float64(open)
}

// minWeight keeps a service without a reserved share from dividing by nothing.
const minWeight = 0.01
