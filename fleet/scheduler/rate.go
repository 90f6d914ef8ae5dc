package scheduler

import (
	"math"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// arrivals follows how many jobs a queue is asked for each second, by two averages of different speed, and how
// much work they are. Counting jobs instead of their work keeps single large jobs from looking like a turn.
type arrivals struct {
	fast, slow float64
	at         time.Time
	// work is the mean core-seconds of so many jobs, memory the megabytes that come with each of them.
	work   float64
	memory float64
	jobs   int
	// seen are the jobs that were counted, since refused ones come again.
	seen map[string]time.Time
}

const (
	// fastMemory and slowMemory are the times after which the averages have forgotten two thirds.
	fastMemory = 1300 * time.Millisecond
	slowMemory = 3 * time.Second
	// lookAhead is how long before it is needed a VM must be asked for.
	lookAhead = 1500 * time.Millisecond
	// mostRise bounds the expected rise, since few arrivals make it uncertain.
	mostRise = 0.7
	// headroom covers the chance in arrivals; a VM pays for itself when a fifteenth of it is used.
	headroom = 1.25
	// seenFor is how long a refused job may come again.
	seenFor = 15 * time.Second
	// workPart is the weight of one more job in the mean work.
	workPart = 0.05
)

// offered counts a job that was asked for, once however often it comes, and returns when it came first: its caller
// counts the time from there.
func (s *Scheduler) offered(n *job.Job, now time.Time) time.Time {
	a := s.rates[n.Queue]
	if a == nil {
		a = &arrivals{at: now, seen: map[string]time.Time{}}
		s.rates[n.Queue] = a
	}
	if first, ok := a.seen[n.ID]; ok {
		return first
	}
	if n.Scheduled() || n.LongRunning() {
		return now
	}
	a.seen[n.ID] = now
	a.decay(now)
	a.fast += 1 / fastMemory.Seconds()
	a.slow += 1 / slowMemory.Seconds()
	a.jobs++
	part := max(workPart, 1/float64(a.jobs))
	a.work += part * (n.Work() - a.work)
	a.memory += part * (n.MemoryWork() - a.memory)
	return now
}

func (a *arrivals) decay(now time.Time) {
	d := now.Sub(a.at).Seconds()
	a.at = now
	a.fast *= math.Exp(-d / fastMemory.Seconds())
	a.slow *= math.Exp(-d / slowMemory.Seconds())
}

// rate is what a queue's arrivals will ask for when a VM that is asked for now has come.
func (s *Scheduler) rate(queue string, now time.Time) claim {
	a := s.rates[queue]
	if a == nil {
		return claim{}
	}
	a.decay(now)
	for id, t := range a.seen {
		if now.Sub(t) > seenFor {
			delete(a.seen, id)
		}
	}
	slope := (a.fast - a.slow) / (slowMemory - fastMemory).Seconds()
	rise := min(max(slope, 0)*lookAhead.Seconds(), a.fast*mostRise)
	x := (a.fast + rise) * s.ratio(queue) * headroom
	return claim{x * a.work, x * a.memory}
}

// learning is what was learned of the queues, for the next owner.
func (s *Scheduler) learning(now time.Time) []*schema.QueueLearning {
	l := []*schema.QueueLearning{}
	for n, a := range s.rates {
		a.decay(now)
		m := &schema.QueueLearning{
			Queue: n, Ratio: s.ratio(n), Fast: a.fast, Slow: a.slow, AtMs: now.UnixMilli(), Work: a.work, Memory: a.memory, Jobs: int32(a.jobs),
		}
		if x := s.learned[n]; x != nil {
			m.Samples = int32(x.samples)
		}
		l = append(l, m)
	}
	return l
}

// RestoreLearning takes what an earlier owner had learned.
func (s *Scheduler) RestoreLearning(l []*schema.QueueLearning, now time.Time) {
	for _, m := range l {
		at := now.Add(-max(now.Round(0).Sub(time.UnixMilli(m.AtMs)), 0))
		s.rates[m.Queue] = &arrivals{
			fast: m.Fast, slow: m.Slow, at: at, work: m.Work, memory: m.Memory, jobs: int(m.Jobs), seen: map[string]time.Time{},
		}
		if m.Samples > 0 {
			s.learned[m.Queue] = &learning{ratio: m.Ratio, samples: int(m.Samples)}
		}
	}
}
