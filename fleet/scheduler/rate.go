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
	updated    time.Time
	// meanWork is the mean core-seconds of so many jobs, memory the megabytes that come with each of them.
	meanWork   float64
	meanMemory float64
	jobs       int
	// firstSeen are the jobs that were counted, since refused ones come again.
	firstSeen map[string]time.Time
}

const (
	// fastTimeConstant and slowMemory are the times after which the averages have forgotten two thirds.
	fastTimeConstant = 1300 * time.Millisecond
	slowTimeConstant = 3 * time.Second
	// provisioningLead is how long before it is needed a VM must be asked for.
	provisioningLead = 1500 * time.Millisecond
	// maxRise bounds the expected rise, since few arrivals make it uncertain.
	maxRise = 0.7
	// demandHeadroom covers the chance in arrivals; a VM pays for itself when a fifteenth of it is used.
	demandHeadroom = 1.25
	// resubmitWindow is how long a refused job may come again.
	resubmitWindow = 15 * time.Second
	// workSampleWeight is the weight of one more job in the mean work.
	workSampleWeight = 0.05
)

// recordArrival counts a job that was asked for, once however often it comes, and returns when it came first: its caller
// counts the time from there.
func (s *Scheduler) recordArrival(n *job.Job, now time.Time) time.Time {
	a := s.rates[n.Queue]
	if a == nil {
		a = &arrivals{updated: now, firstSeen: map[string]time.Time{}}
		s.rates[n.Queue] = a
	}
	if first, ok := a.firstSeen[n.ID]; ok {
		return first
	}
	if n.Timed() || n.Lasting() {
		return now
	}
	a.firstSeen[n.ID] = now
	a.decay(now)
	a.fast += 1 / fastTimeConstant.Seconds()
	a.slow += 1 / slowTimeConstant.Seconds()
	a.jobs++
	part := max(workSampleWeight, 1/float64(a.jobs))
	a.meanWork += part * (n.Work() - a.meanWork)
	a.meanMemory += part * (n.MemoryWork() - a.meanMemory)
	return now
}

func (a *arrivals) decay(now time.Time) {
	d := now.Sub(a.updated).Seconds()
	a.updated = now
	a.fast *= math.Exp(-d / fastTimeConstant.Seconds())
	a.slow *= math.Exp(-d / slowTimeConstant.Seconds())
}

// forecastDemand is what a queue's arrivals will ask for when a VM that is asked for now has come.
func (s *Scheduler) forecastDemand(queue string, now time.Time) claim {
	a := s.rates[queue]
	if a == nil {
		return claim{}
	}
	a.decay(now)
	for id, t := range a.firstSeen {
		if now.Sub(t) > resubmitWindow {
			delete(a.firstSeen, id)
		}
	}
	slope := (a.fast - a.slow) / (slowTimeConstant - fastTimeConstant).Seconds()
	rise := min(max(slope, 0)*provisioningLead.Seconds(), a.fast*maxRise)
	x := (a.fast + rise) * s.durationRatio(queue) * demandHeadroom
	return claim{x * a.meanWork, x * a.meanMemory}
}

// exportLearning is what was learned of the queues, for the next owner.
func (s *Scheduler) exportLearning(now time.Time) []*schema.QueueLearning {
	l := []*schema.QueueLearning{}
	for n, a := range s.rates {
		a.decay(now)
		m := &schema.QueueLearning{
			Queue: n, Ratio: s.durationRatio(n), Fast: a.fast, Slow: a.slow, AtMs: now.UnixMilli(), Work: a.meanWork, Memory: a.meanMemory, Jobs: int32(a.jobs),
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
			fast: m.Fast, slow: m.Slow, updated: at, meanWork: m.Work, meanMemory: m.Memory, jobs: int(m.Jobs), firstSeen: map[string]time.Time{},
		}
		if m.Samples > 0 {
			s.learned[m.Queue] = &durationRatio{mean: m.Ratio, samples: int(m.Samples)}
		}
	}
}
