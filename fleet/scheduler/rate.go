package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/arrival"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// estimates are what is learned of the queues: how long their tasks take and how many jobs arrive.
type estimates struct {
	learned map[string]*durationRatio
	rates   map[string]*arrivals
}

func newEstimates() estimates {
	return estimates{learned: map[string]*durationRatio{}, rates: map[string]*arrivals{}}
}

// arrivals tracks a queue's job arrival rate and the mean work per job. It counts jobs rather than their work, so that a
// single large job does not look like a rise in load.
type arrivals struct {
	rate *arrival.Rate
	// meanWork is the mean core-seconds and meanMemory the mean megabyte-seconds per job, over the last jobs.
	meanWork   float64
	meanMemory float64
	// meanSlack is the mean time for which the last jobs could wait and still finish within their target duration.
	meanSlack time.Duration
	jobs      int
	// firstSeen is the first submission of each counted job, since refused jobs are submitted again.
	firstSeen map[string]time.Time
	// uncounted holds the jobs beyond the allowance of their workspace, which are not part of the averages.
	uncounted map[string]bool
}

func newArrivals(r *arrival.Rate) *arrivals {
	return &arrivals{rate: r, firstSeen: map[string]time.Time{}, uncounted: map[string]bool{}}
}

const (
	// demandHeadroom covers random variation in arrivals. A VM pays for itself once a fifteenth of it is used.
	demandHeadroom = 1.25
	// resubmitWindow is how long a resubmitted job is recognised as counted.
	resubmitWindow = 15 * time.Second
	// workSampleWeight is the weight of a new job in the mean work.
	workSampleWeight = 0.05
)

// recordArrival counts a submitted job once, however often it is submitted, unless it exceeds the allowance of its
// workspace. It returns the time of its first
// submission, from which its caller measures the target duration.
func (s *Scheduler) recordArrival(n *job.Job, now time.Time) time.Time {
	a := s.rates[n.Queue]
	if a == nil {
		a = newArrivals(arrival.New(now))
		s.rates[n.Queue] = a
	}
	first, seen := a.firstSeen[n.ID]
	if seen && (n.Excess || !a.uncounted[n.ID]) {
		return first
	}
	if n.Scheduled() || n.LongRunning() {
		return now
	}
	if !seen {
		first = now
		a.firstSeen[n.ID] = now
	}
	if n.Excess {
		a.uncounted[n.ID] = true
		return first
	}
	delete(a.uncounted, n.ID)
	a.rate.Record(now)
	a.jobs++
	weight := max(workSampleWeight, 1/float64(a.jobs))
	a.meanWork += weight * (n.Work() - a.meanWork)
	a.meanMemory += weight * (n.MemoryWork() - a.meanMemory)
	slack := s.targetDuration(n) - time.Duration(float64(n.CriticalPath())*s.durationRatio(n.Queue))
	a.meanSlack += time.Duration(weight * float64(slack-a.meanSlack))
	return first
}

// forecastDemand returns the demand of a queue's arrivals at the time at which a VM requested now becomes available.
func (s *Scheduler) forecastDemand(queue string, now time.Time) resources {
	a := s.rates[queue]
	if a == nil {
		return resources{}
	}
	for id, t := range a.firstSeen {
		if now.Sub(t) > resubmitWindow {
			delete(a.firstSeen, id)
			delete(a.uncounted, id)
			delete(s.offered, id)
		}
	}
	x := a.rate.Forecast(now, s.provisioning.moveTime()) * s.durationRatio(queue) * demandHeadroom
	return resources{x * a.meanWork, x * a.meanMemory}
}

// exportLearning returns the arrival rates and duration ratios of the queues, for the next owner.
func (s *Scheduler) exportLearning(now time.Time) []*schema.QueueLearning {
	l := []*schema.QueueLearning{}
	for n, a := range s.rates {
		fast, slow := a.rate.Averages(now)
		m := &schema.QueueLearning{
			Queue: n, Ratio: s.durationRatio(n), Fast: fast, Slow: slow, AtMs: now.UnixMilli(), Work: a.meanWork, Memory: a.meanMemory, Jobs: int32(a.jobs),
			SlackMs: a.meanSlack.Milliseconds(),
		}
		if x := s.learned[n]; x != nil {
			m.Samples = int32(x.samples)
		}
		l = append(l, m)
	}
	return l
}

// RestoreLearning loads the arrival rates and duration ratios that a previous owner stored.
func (s *Scheduler) RestoreLearning(l []*schema.QueueLearning, now time.Time) {
	for _, m := range l {
		at := now.Add(-max(now.Round(0).Sub(time.UnixMilli(m.AtMs)), 0))
		r := newArrivals(arrival.Restore(m.Fast, m.Slow, at, now))
		r.meanWork, r.meanMemory, r.meanSlack, r.jobs = m.Work, m.Memory, time.Duration(m.SlackMs)*time.Millisecond, int(m.Jobs)
		s.rates[m.Queue] = r
		if m.Samples > 0 {
			s.learned[m.Queue] = &durationRatio{mean: m.Ratio, samples: int(m.Samples)}
		}
	}
}
