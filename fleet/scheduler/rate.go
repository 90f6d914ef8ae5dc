package scheduler

import (
	"math"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// arrivals follows how many core-seconds a queue is asked for each second, by two averages of different speed.
type arrivals struct {
	fast, slow float64
	at         time.Time
	// seen are the jobs that were counted, since refused ones come again.
	seen map[string]time.Time
}

const (
	// fastMemory and slowMemory are the times after which the averages have forgotten two thirds.
	fastMemory = 1000 * time.Millisecond
	slowMemory = 3 * time.Second
	// lookAhead is how long before it is needed a VM must be asked for.
	lookAhead = 1500 * time.Millisecond
	// headroom covers the chance in arrivals; a VM pays for itself when a fifteenth of it is used.
	headroom = 1.3
	// seenFor is how long a refused job may come again.
	seenFor = 15 * time.Second
)

// offered counts a job that was asked for, once however often it comes.
func (s *Scheduler) offered(n *job.Job, now time.Time) {
	a := s.rates[n.Queue]
	if a == nil {
		a = &arrivals{at: now, seen: map[string]time.Time{}}
		s.rates[n.Queue] = a
	}
	if _, ok := a.seen[n.ID]; ok || n.Timed() || n.Lasting() {
		return
	}
	a.seen[n.ID] = now
	a.decay(now)
	w := n.Work() * s.ratio(n.Queue)
	a.fast += w / fastMemory.Seconds()
	a.slow += w / slowMemory.Seconds()
}

func (a *arrivals) decay(now time.Time) {
	d := now.Sub(a.at).Seconds()
	a.at = now
	a.fast *= math.Exp(-d / fastMemory.Seconds())
	a.slow *= math.Exp(-d / slowMemory.Seconds())
}

// rate is how many cores a queue's arrivals will ask for when a VM that is asked for now has come.
func (s *Scheduler) rate(queue string, now time.Time) float64 {
	a := s.rates[queue]
	if a == nil {
		return 0
	}
	a.decay(now)
	for id, t := range a.seen {
		if now.Sub(t) > seenFor {
			delete(a.seen, id)
		}
	}
	slope := (a.fast - a.slow) / (slowMemory - fastMemory).Seconds()
	return max(a.fast+max(slope, 0)*lookAhead.Seconds(), a.slow) * headroom
}
