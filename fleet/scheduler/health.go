package scheduler

import (
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// health is derived from the results and the progress of a server's runs.
type health struct {
	// failures are the failed runs since the last successful one, by step.
	failures []stepFailures
	// lastFailure is when a run last failed, lastProbe when a task was last placed on the server.
	lastFailure time.Time
	lastProbe   time.Time
	// backoffs counts the pauses for stalled runs since the last successful run, up to maxBackoffs.
	backoffs int
	// slowUntil is the time until which a slow server is used only where no other has capacity.
	slowUntil time.Time
	// ends are the last runs that the server completed and whose speed can be judged.
	ends []judgedEnd
}

// stepFailures counts a server's failed runs of one step.
type stepFailures struct {
	outcomes *outcomes
	runs     int
}

// outcomes tells on which servers a step's runs have failed, and whether any has succeeded.
type outcomes struct {
	job string
	// failedOn holds the IDs of servers on which a run has failed and none has succeeded since, up to maxFailedServers.
	failedOn  map[string]bool
	succeeded bool
}

const (
	// maxConsecutiveFailures is the number of consecutive failed runs after which a server is suspected to fail all.
	maxConsecutiveFailures = 3
	// suspicionTime is how long a server is suspected after its last failed run. Server disruptions last a few seconds.
	suspicionTime = 16 * time.Second
	// probeInterval is the time between the starts on a suspected server, so that little work fails if it is faulty, and none
	// waits for long if it is not.
	probeInterval = time.Second
	// probePrecedence is how much longer steps that have failed on a suspected server wait, several placement passes, so that they
	// do not keep the others from it.
	probePrecedence = 250 * time.Millisecond
	// maxFailedSteps and maxFailedServers bound the failures that are kept for a server and for a step.
	maxFailedSteps   = 8
	maxFailedServers = 16
	// provenRuntime is how old a run of a long-running task that is ready must be to count as successful.
	provenRuntime = 5 * time.Second
	// minRestartDelay doubles with each failed run of a long-running task, up to maxRestartDelay.
	minRestartDelay  = 250 * time.Millisecond
	maxRestartDelay  = 2 * time.Second
	maxQuickFailures = 8
	// minBackoff doubles with each pause up to maxBackoff.
	minBackoff  = 2 * time.Second
	maxBackoff  = 16 * time.Second
	maxBackoffs = 3
	// slowPenaltyTime is how long a slow server is avoided.
	slowPenaltyTime = 3 * time.Second
)

// blamesJob reports whether the step, rather than the servers, is the cause of its failures: it has failed on several servers
// and succeeded on none.
func (o *outcomes) blamesJob() bool {
	return len(o.failedOn) > 1 && !o.succeeded
}

func (o *outcomes) addFailure(id string) {
	if o.failedOn == nil {
		o.failedOn = map[string]bool{}
	}
	if len(o.failedOn) < maxFailedServers {
		o.failedOn[id] = true
	}
}

func (o *outcomes) addSuccess(id string) {
	o.succeeded = true
	delete(o.failedOn, id)
}

// recordEnd updates the health of a run's server and the outcomes of its step with the reason for which the run ended.
func (s *Scheduler) recordEnd(r *run, reason job.EndReason, now time.Time) {
	switch reason {
	case job.EndDone:
		r.server.health.backoffs = 0
		s.recordSuccess(r, now)
	case job.EndFailed:
		s.recordFailure(r, now)
	}
}

func (s *Scheduler) recordSuccess(r *run, now time.Time) {
	h := &r.server.health
	if h.isSuspect(now) {
		s.addDecision(r.decision("server is no longer suspected: a run has succeeded"))
	}
	h.failures = nil
	r.task.step.outcomes.addSuccess(r.server.info.ID)
}

// recordReady records the success of a long-running task's run once it has been ready for long enough. That is no evidence
// about runs that start later.
func (s *Scheduler) recordReady(r *run, now time.Time) {
	if r.proven || r.percent < fullPercent || now.Sub(r.startedAt) < provenRuntime {
		return
	}
	r.proven = true
	r.task.quickFailures = 0
	s.recordSuccess(r, now)
}

// delayRestart delays the next start of a long-running task whose runs fail soon after their starts, from the second one on.
func (t *task) delayRestart(r *run, now time.Time) {
	if r.proven {
		return
	}
	if t.quickFailures > 0 {
		t.restartAt = now.Add(min(minRestartDelay<<(t.quickFailures-1), maxRestartDelay))
	}
	t.quickFailures = min(t.quickFailures+1, maxQuickFailures)
}

func (s *Scheduler) recordFailure(r *run, now time.Time) {
	h, o := &r.server.health, r.task.step.outcomes
	suspected, blamed := h.isSuspect(now), o.blamesJob()
	o.addFailure(r.server.info.ID)
	h.addFailure(o, now)
	if !suspected && h.isSuspect(now) {
		s.addDecision(r.decision("server is suspected after consecutive failed runs"))
	}
	if !blamed && o.blamesJob() {
		s.addDecision(r.decision("runs of the step have failed on several servers and succeeded on none: they count once against each server"))
	}
}

// addFailure counts a failed run of a step. The steps whose runs failed last are kept.
func (h *health) addFailure(o *outcomes, now time.Time) {
	h.lastFailure = now
	x := stepFailures{outcomes: o}
	if i := slices.IndexFunc(h.failures, func(f stepFailures) bool { return f.outcomes == o }); i >= 0 {
		x = h.failures[i]
		h.failures = slices.Delete(h.failures, i, i+1)
	}
	x.runs++
	h.failures = append(h.failures, x)
	h.failures = h.failures[max(len(h.failures)-maxFailedSteps, 0):]
}

// isSuspect reports whether the server may fail all that it runs. The failures of a job that fails on other servers as well count
// once.
func (h *health) isSuspect(now time.Time) bool {
	if len(h.failures) == 0 || now.Sub(h.lastFailure) >= suspicionTime {
		return false
	}
	n := 0
	for i, f := range h.failures {
		switch {
		case !f.outcomes.blamesJob():
			n += f.runs
		case !slices.ContainsFunc(h.failures[:i], func(x stepFailures) bool { return x.outcomes.job == f.outcomes.job && x.outcomes.blamesJob() }):
			n++
		}
	}
	return n >= maxConsecutiveFailures
}

// hasFailed reports whether a run has failed on the server and none has succeeded since.
func (h *health) hasFailed() bool {
	return len(h.failures) > 0
}

// admitsStep reports whether a task of the step may be placed on the server now, as far as its health is concerned. A suspected
// server always takes long-running tasks of steps that have not failed there, since their failures use up no attempts.
func (v *serverState) admitsStep(p *stepState, now time.Time) bool {
	if !v.health.isSuspect(now) {
		return true
	}
	hasFailed := p.outcomes.failedOn[v.info.ID]
	return p.step.LongRunning && !hasFailed || !now.Before(v.health.nextProbe(hasFailed))
}

// nextProbe returns when the next task may be placed on the server while it is suspected. Steps that have failed there come
// after the others.
func (h *health) nextProbe(hasFailed bool) time.Time {
	t := h.lastProbe.Add(probeInterval)
	if hasFailed {
		t = t.Add(probePrecedence)
	}
	return t
}

// resumesAt returns when a suspected server may get the next task, zero if it may now or is not suspected.
func (h *health) resumesAt(now time.Time) time.Time {
	for _, hasFailed := range []bool{false, true} {
		if t := h.nextProbe(hasFailed); t.After(now) && h.isSuspect(now) {
			return t
		}
	}
	return time.Time{}
}

// trusted returns the servers that are not suspected.
func trusted(l []*serverState, now time.Time) []*serverState {
	r := []*serverState{}
	for _, v := range l {
		if !v.health.isSuspect(now) {
			r = append(r, v)
		}
	}
	return r
}

// recordStall pauses a server with a stalled run, unless it is paused already.
func (h *health) recordStall(v *serverState, now time.Time) {
	if now.Before(v.pausedUntil) {
		return
	}
	v.pauseUntil(now.Add(min(minBackoff<<h.backoffs, maxBackoff)))
	h.backoffs = min(h.backoffs+1, maxBackoffs)
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
		r.task.step.speeds.complete(now.Sub(r.startedAt))
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
