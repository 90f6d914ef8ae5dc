package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// health is derived from the results and the progress of a server's runs.
type health struct {
	// failures counts consecutive failed runs.
	failures int
	// backoffs counts the pauses since the last successful run, up to maxBackoffs.
	backoffs int
	// slowUntil is the time until which a slow server is used only where no other has capacity.
	slowUntil time.Time
	// ends are the last runs that the server completed and whose speed can be judged.
	ends []judgedEnd
}

const (
	// maxConsecutiveFailures is the number of consecutive failed runs after which a server is paused.
	maxConsecutiveFailures = 3
	// minBackoff doubles with each pause up to maxBackoff. Server disruptions last a few seconds.
	minBackoff  = 2 * time.Second
	maxBackoff  = 16 * time.Second
	maxBackoffs = 3
	// slowPenaltyTime is how long a slow server is avoided.
	slowPenaltyTime = 3 * time.Second
)

// recordEnd updates the health of a run's server with the reason for which the run ended.
func (s *Scheduler) recordEnd(r *run, reason job.EndReason, now time.Time) {
	h := &r.server.health
	switch reason {
	case job.EndDone:
		h.failures = 0
		h.backoffs = 0
	case job.EndFailed:
		if h.failures++; h.failures >= maxConsecutiveFailures {
			s.addDecision(r.decision("server paused after consecutive failed runs"))
			h.backOff(r.server, now)
			h.failures = maxConsecutiveFailures - 1
		}
	}
}

func (h *health) backOff(v *serverState, now time.Time) {
	v.pauseUntil(now.Add(min(minBackoff<<h.backoffs, maxBackoff)))
	h.backoffs = min(h.backoffs+1, maxBackoffs)
}

// recordStall pauses a server with a stalled run, unless it is paused already.
func (h *health) recordStall(v *serverState, now time.Time) {
	if now.Before(v.pausedUntil) {
		return
	}
	h.backOff(v, now)
}

func (h *health) recordSlow(now time.Time) {
	h.slowUntil = now.Add(slowPenaltyTime)
}

// durationRatio is a moving average of the ratio of actual to estimated duration over a queue's tasks.
type durationRatio struct {
	mean    float64
	samples int
}

const (
	// ratioSampleWeight is the weight of a new sample in the average.
	ratioSampleWeight = 0.03
	// ratioWarmupSamples is the number of first samples that weigh more, so that the average converges fast.
	ratioWarmupSamples = 20
	// maxRatioSample bounds a single sample, so that one straggler does not shift the forecast.
	maxRatioSample = 4.0
	// maxDurationFactor is the multiple of its estimate above which a run's duration is not sampled.
	maxDurationFactor = 4
)

// recordDuration adds a run's duration to its step's samples and to the duration ratio of its queue.
func (s *Scheduler) recordDuration(r *run, now time.Time) {
	e := r.task.step.step.Estimate
	if r.startPercent == 0 && !r.inherited {
		r.task.step.durations = append(r.task.step.durations, now.Sub(r.startedAt))
	}
	s.learnDuration(r, now)
	s.recordSpeed(r, now)
	if e <= 0 || r.startPercent > 0 || r.inherited || now.Sub(r.startedAt) > maxDurationFactor*e {
		return
	}
	l := s.learned[r.task.job.Queue]
	if l == nil {
		l = &durationRatio{mean: 1}
		s.learned[r.task.job.Queue] = l
	}
	x := min(float64(now.Sub(r.startedAt))/float64(e), maxRatioSample)
	l.samples++
	weight := max(ratioSampleWeight, 1/float64(l.samples+1))
	if l.samples > ratioWarmupSamples {
		weight = ratioSampleWeight
	}
	l.mean += weight * (x - l.mean)
}

// durationRatio returns the average ratio of actual to estimated duration of a queue's tasks, 1 if unknown.
func (s *Scheduler) durationRatio(queue string) float64 {
	if l := s.learned[queue]; l != nil {
		return l.mean
	}
	return 1
}

// expectedDuration returns how long a task takes on a healthy server.
func (s *Scheduler) expectedDuration(t *task) time.Duration {
	return time.Duration(float64(t.step.step.Estimate) * s.durationRatio(t.job.Queue))
}
