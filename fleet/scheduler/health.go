package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// health is what ends and progress tell of a server.
type health struct {
	// failures counts failed runs in a row.
	failures int
	backoffs int
	// slowUntil is until when a server that was slow is used only where no other has room.
	slowUntil time.Time
}

const (
	// maxConsecutiveFailures is after how many failed runs in a row a server is left alone.
	maxConsecutiveFailures = 3
	// minBackoff doubles with each strike up to longestPause; disruptions of servers last some seconds.
	minBackoff  = 2 * time.Second
	maxBackoff  = 16 * time.Second
	maxBackoffs = 3
	// slowPenaltyTime is for how long a slow server is the last choice.
	slowPenaltyTime = 3 * time.Second
)

// recordEnd takes the end of a run as a word on its server.
func (s *Scheduler) recordEnd(r *run, how job.End, now time.Time) {
	h := &r.server.health
	switch how {
	case job.EndDone:
		h.failures = 0
		h.backoffs = 0
	case job.EndFailed:
		if h.failures++; h.failures >= maxConsecutiveFailures {
			s.addDecision(r.decision("server fails what it starts: left alone"))
			h.backOff(r.server, now)
			h.failures = maxConsecutiveFailures - 1
		}
	}
}

func (h *health) backOff(v *serverState, now time.Time) {
	v.pauseUntil(now.Add(min(minBackoff<<h.backoffs, maxBackoff)))
	h.backoffs = min(h.backoffs+1, maxBackoffs)
}

func (h *health) recordStall(v *serverState, now time.Time) {
	if now.Before(v.pausedTo) {
		return
	}
	h.backOff(v, now)
}

func (h *health) recordSlow(now time.Time) {
	h.slowUntil = now.Add(slowPenaltyTime)
}

// durationRatio is how the real times of a queue's tasks compare to their estimates.
type durationRatio struct {
	mean    float64
	samples int
}

const (
	// ratioSampleWeight is the weight of one more sample.
	ratioSampleWeight = 0.03
	// ratioWarmupSamples is the number of samples that weigh more, to learn fast at first.
	ratioWarmupSamples = 20
	// maxRatioSample bounds a single sample, so that one straggler does not shift the forecast.
	maxRatioSample = 4.0
)

// recordDuration takes the time that a run took.
func (s *Scheduler) recordDuration(r *run, now time.Time) {
	e := r.task.step.step.Estimate
	if r.beganAt == 0 && !r.inherited {
		r.task.step.took = append(r.task.step.took, now.Sub(r.began))
	}
	if e <= 0 || r.beganAt > 0 || r.inherited || now.Sub(r.began) > 4*e {
		return
	}
	l := s.learned[r.task.job.Queue]
	if l == nil {
		l = &durationRatio{mean: 1}
		s.learned[r.task.job.Queue] = l
	}
	x := min(float64(now.Sub(r.began))/float64(e), maxRatioSample)
	l.samples++
	part := max(ratioSampleWeight, 1/float64(l.samples+1))
	if l.samples > ratioWarmupSamples {
		part = ratioSampleWeight
	}
	l.mean += part * (x - l.mean)
}

// durationRatio is how many times as long as estimated a queue's tasks take.
func (s *Scheduler) durationRatio(queue string) float64 {
	if l := s.learned[queue]; l != nil {
		return l.mean
	}
	return 1
}

// expectedDuration is how long a task takes on a sound server.
func (s *Scheduler) expectedDuration(t *task) time.Duration {
	return time.Duration(float64(t.step.step.Estimate) * s.durationRatio(t.job.Queue))
}
