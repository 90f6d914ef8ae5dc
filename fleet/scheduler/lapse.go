package scheduler

import (
	"slices"
	"time"
)

// serverRetention is for how long a life that is over is remembered, so that late word of it is recognised.
const serverRetention = 30 * time.Second

// leaseExpiryMargin covers the time that a call takes to arrive.
const leaseExpiryMargin = 100 * time.Millisecond

// expireLeases drops the runs on silent servers whose lease has surely run out, and with them what an earlier owner held.
func (s *Scheduler) expireLeases(now time.Time) {
	for id, v := range s.servers {
		for _, r := range v.runs {
			if s.leaseExpired(v, r, now) {
				s.drop(r, now, "lease lapsed on a silent server")
			}
		}
		if !v.exists() && len(v.runs) == 0 && now.Sub(v.listedAt) > serverRetention && now.After(s.settledAt) {
			delete(s.servers, id)
			s.serversByID = nil
		}
	}
}

func (s *Scheduler) leaseExpired(v *serverState, r *run, now time.Time) bool {
	if r.phase == assigned || v.reachable {
		return false
	}
	if r.inherited && v.listingClock == 0 {
		return now.After(s.settledAt)
	}
	return v.lastClock > 0 && v.minClock(now) > v.leaseUntil+leaseExpiryMargin
}

const (
	// stallTimeout is how long a task may show no progress; listings come each second at least.
	stallTimeout = 1500 * time.Millisecond
	// stallEstimateDivisor of the estimate is added for long tasks, whose percentage moves slowly.
	stallEstimateDivisor = 20
	// startupTimeout is how long a lasting task may take until it is at work.
	startupTimeout = 4 * time.Second
	// speculationDelay is for how long a server may be silent before its speculative tasks run elsewhere as well.
	speculationDelay = time.Second
)

// checkRuns finds the runs that stand still or are much slower than elsewhere and has them run elsewhere.
func (s *Scheduler) checkRuns(now time.Time) {
	for _, v := range s.servers {
		for _, r := range v.runs {
			s.checkRun(v, r, now)
		}
	}
}

func (s *Scheduler) checkRun(v *serverState, r *run, now time.Time) {
	if r.phase == working && !v.reachable && r.task.step.step.Speculative && now.Sub(v.listedAt) > speculationDelay {
		s.drop(r, now, "server is silent: speculative task runs elsewhere")
		return
	}
	if v.info.Draining && r.phase == working && v.reachable && s.mustMove(v, r, now) {
		s.evacuate(r, s.pools(now)[v.info.Pool], now)
		return
	}
	if r.phase != working || !v.reachable || r.pace < fullPace || now.Sub(v.listedAt) > speculationDelay {
		return
	}
	switch {
	case s.isStalled(v, r):
		s.note(r.note("stands still"))
		v.health.stall(v, now)
	case s.isStraggler(r):
		s.note(r.note("straggles"))
		r.task.straggled = true
		v.health.slow(now)
	default:
		return
	}
	r.task.avoidedServer = v.info.ID
	s.stop(r, now)
}

// mustMove says whether a run on a draining server is lost or late unless it moves: lasting ones, and those that
// resume elsewhere from a checkpoint and would not end while the server stays.
func (s *Scheduler) mustMove(v *serverState, r *run, now time.Time) bool {
	p := r.task.step.step
	if p.Lasting {
		return true
	}
	if !p.Checkpointing || p.Gang || r.percent < r.startPercent+projectionMinPercent {
		return false
	}
	return now.Add(r.projectedDuration() * time.Duration(100-r.percent) / 100).After(v.drainingSince.Add(v.info.Leaves))
}

// isStalled says whether newer listings show no progress since some time.
func (s *Scheduler) isStalled(v *serverState, r *run) bool {
	still := v.listedAt.Sub(r.progressedAt)
	switch p := r.task.step.step; {
	case p.Lasting:
		return r.percent < 100 && still > startupTimeout
	case p.Gang && r.percent == 0:
		return still > s.limits.GangTimeout+stallTimeout
	default:
		return still > stallTimeout+p.Estimate/stallEstimateDivisor
	}
}

const (
	// stragglerFactor is how many times as long as a fresh start elsewhere the rest must take.
	stragglerFactor = 1.6
	// stragglerSlack covers stopping, storing and starting again.
	stragglerSlack = 400 * time.Millisecond
	// stragglerMinRuntime is how long a run must have worked before its speed tells something.
	stragglerMinRuntime = 500 * time.Millisecond
)

// isStraggler says whether the rest of a run takes longer than running it anew on a server of ordinary speed, as
// told by the other tasks of its step on other servers: estimates are too far off to tell.
func (s *Scheduler) isStraggler(r *run) bool {
	p := r.task.step.step
	if p.Lasting || p.Gang || r.task.straggled || r.server.listedAt.Sub(r.startedAt) < stragglerMinRuntime || r.percent <= r.startPercent {
		return false
	}
	anew := r.task.step.medianDuration(r.server)
	if anew == 0 {
		return false
	}
	rest := r.projectedDuration() * time.Duration(100-r.percent) / 100
	if p.Checkpointing {
		anew = anew * time.Duration(100-r.percent) / 100
	}
	return rest > time.Duration(stragglerFactor*float64(anew))+stragglerSlack && r.server.isSlow()
}

// isSlow says whether the runs on the server are slow as a whole: a single task may just be longer than the others
// of its step.
func (v *serverState) isSlow() bool {
	slow, known := 0, 0
	for _, r := range v.runs {
		if r.phase != working || r.percent < r.startPercent+projectionMinPercent {
			continue
		}
		if t := r.task.step.medianDuration(v); t > 0 {
			known++
			if float64(r.projectedDuration()) > stragglerFactor*float64(t) {
				slow++
			}
		}
	}
	return known < projectionMinSamples || 2*slow > known
}

// projectedDuration is how long the whole run takes at its present speed.
func (r *run) projectedDuration() time.Duration {
	return r.server.listedAt.Sub(r.startedAt) * 100 / time.Duration(r.percent-r.startPercent)
}

// medianDuration is the median time that the step's tasks take on other servers, 0 where too few tell.
func (p *stepState) medianDuration(v *serverState) time.Duration {
	l := slices.Clone(p.durations)
	for _, t := range p.tasks {
		if r := t.run; r != nil && r.server != v && r.phase == working && r.percent >= r.startPercent+projectionMinPercent {
			l = append(l, r.projectedDuration())
		}
	}
	if len(l) < projectionMinSamples {
		return 0
	}
	slices.Sort(l)
	return l[len(l)/2]
}

const (
	// projectionMinPercent is the percentage of work from which a run's speed is taken as known.
	projectionMinPercent = 15
	// projectionMinSamples is how many other tasks must tell how long a step's tasks take.
	projectionMinSamples = 2
)
