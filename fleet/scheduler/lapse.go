package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/loss"
)

// serverRetention is how long an ended incarnation of a server is kept, so that late messages from it are recognised.
const serverRetention = 30 * time.Second

// leaseExpiryMargin is added to a lease's expiry for the time that a renewal takes to arrive.
const leaseExpiryMargin = 100 * time.Millisecond

// expireLeases drops the runs on unreachable servers whose lease has surely expired, whether this owner or a previous
// one renewed it, and removes servers that no longer exist.
func (s *Scheduler) expireLeases(now time.Time) {
	s.operations.Servers += int64(len(s.servers))
	for id, v := range s.servers {
		if !v.reachable || v.terminated {
			s.loseExpired(v, now)
		}
		if v.leaseSurelyExpired(s.previousExpiry(v), now) {
			s.clearStrays(v)
		}
		if !v.exists() && len(v.runs) == 0 && now.Sub(v.listedAt) > serverRetention && now.After(s.previousLeasesExpireAt) {
			v.explainLost()
			s.clearStrays(v)
			delete(s.servers, id)
			s.serversChanged()
		}
	}
}

// loseExpired drops the runs on an unreachable or ended server whose lease has surely expired.
func (s *Scheduler) loseExpired(v *serverState, now time.Time) {
	s.operations.Runs += int64(len(v.runs))
	for _, r := range v.runs {
		if s.leaseExpired(v, r, now) {
			s.lose(r, now, loss.ReasonLeaseExpired)
		}
	}
}

// leaseExpired reports whether a run on an unreachable or ended server must have ended because its lease has expired.
func (s *Scheduler) leaseExpired(v *serverState, r *run, now time.Time) bool {
	if r.phase == assigned || v.reachable && !v.terminated {
		return false
	}
	if r.startedLater || v.terminated {
		return now.After(r.arrivesUntil.Add(s.limits.longestLease()))
	}
	if r.inherited && v.listingClock == 0 {
		return now.After(s.previousExpiry(v))
	}
	return v.lastClock > 0 && v.minClock(now) > v.leaseUntil+leaseExpiryMargin
}

const (
	// stallTimeout is how long a run may show no progress; listings come at least every second.
	stallTimeout = 1500 * time.Millisecond
	// stallEstimateDivisor sets what is added to stallTimeout: a 20th of the task's estimate, since the percentage of a
	// long task changes slowly.
	stallEstimateDivisor = 20
	// startupTimeout is how long a long-running task may take to report that it is ready.
	startupTimeout = 4 * time.Second
	// speculationDelay is the age of a server's last listing from which its speculative tasks are started elsewhere too.
	speculationDelay = time.Second
)

// checkRuns moves runs off draining servers, and drops the speculative runs of unreachable ones.
func (s *Scheduler) checkRuns(now time.Time) {
	s.operations.Servers += int64(len(s.servers))
	for _, v := range s.servers {
		if v.reachable && !v.info.Draining {
			continue
		}
		s.operations.Runs += int64(len(v.runs))
		for _, r := range v.runs {
			s.checkRun(v, r, now)
		}
	}
}

func (s *Scheduler) checkRun(v *serverState, r *run, now time.Time) {
	if r.phase == working && !v.reachable && r.task.step.step.Speculative && now.Sub(v.listedAt) > speculationDelay && !r.task.hasLostServer() {
		s.lose(r, now, "server is unreachable: restarting the speculative task elsewhere")
		if r.task.abandoned == nil {
			r.task.abandoned = map[int]*run{}
		}
		r.task.abandoned[r.number] = r
		s.addStray(v, r)
		return
	}
	if v.mustEvacuate(s, r, now) {
		s.evacuate(r, s.usableServers(v.info.Pool, now), now)
	}
}

// mustEvacuate reports whether a run must leave a draining server now.
func (v *serverState) mustEvacuate(s *Scheduler, r *run, now time.Time) bool {
	return v.info.Draining && r.phase == working && v.reachable && s.mustMove(v, r, now) && (s.canInterrupt(r.task, now) || v.leavesSoon(now))
}

// checkSpeed stops the runs of a server that stall or are much slower than elsewhere, as its new listing shows. What it shows does not
// change before the next one.
func (s *Scheduler) checkSpeed(v *serverState, now time.Time) {
	s.operations.Runs += int64(len(v.runs))
	// The runs are counted when the first of them is slow, and those that are stopped are counted no longer.
	var c *speedCount
	for _, r := range v.runs {
		if r.phase != working || r.pace != fullPace || v.mustEvacuate(s, r, now) {
			continue
		}
		stalled := s.isStalled(v, r)
		if !stalled {
			if !s.isStraggler(r) {
				continue
			}
			if c == nil {
				n := s.countSpeeds(v)
				c = &n
			}
			if !s.blamesServer(r, *c) {
				continue
			}
		}
		if c != nil {
			*c = c.without(r)
		}
		s.stopSlow(r, stalled, now)
	}
}

// stopSlow stops a run that has stalled, or is a straggler.
func (s *Scheduler) stopSlow(r *run, stalled bool, now time.Time) {
	if stalled {
		s.addDecision(r.decision(loss.ReasonStalled))
		r.server.health.recordStall(r.server, now)
	} else {
		s.addDecision(r.decision(loss.ReasonStraggles))
		r.task.straggled = true
		r.server.health.recordSlow(now)
	}
	r.task.avoidedServer = r.server.info.ID
	s.stop(r, now)
}

// evacuationLead is how long before a draining server may leave its tasks are moved even if more of their step are
// unavailable than it allows.
const evacuationLead = 1500 * time.Millisecond

// leavesSoon reports whether a draining server may leave within evacuationLead.
func (v *serverState) leavesSoon(now time.Time) bool {
	return now.Add(evacuationLead).After(v.drainingSince.Add(v.info.MinRemaining))
}

// mustMove reports whether a run must leave a draining server: a long-running one always, a run outside a gang
// that can resume from a checkpoint if it would not end before the server leaves.
func (s *Scheduler) mustMove(v *serverState, r *run, now time.Time) bool {
	p := r.task.step.step
	if p.LongRunning {
		return true
	}
	if !p.Checkpointing || p.Gang || r.percent < r.startPercent+projectionMinPercent {
		return false
	}
	return now.Add(r.projectedDuration() * time.Duration(100-r.percent) / 100).After(v.drainingSince.Add(v.info.MinRemaining))
}

// isStalled reports whether the listings have shown no progress of a run for longer than its timeout.
func (s *Scheduler) isStalled(v *serverState, r *run) bool {
	d := v.listingClock - r.progressedClock
	switch p := r.task.step.step; {
	case p.LongRunning:
		return r.percent < 100 && d > startupTimeout
	case p.Gang && r.percent == 0:
		return d > s.limits.GangTimeout+stallTimeout
	default:
		return d > stallTimeout+p.Estimate/stallEstimateDivisor
	}
}

const (
	// stragglerFactor is how many times as long as a restart elsewhere the rest of a run must take.
	stragglerFactor = 1.6
	// stragglerSlack covers the time to stop a run, store the new assignment and start it elsewhere.
	stragglerSlack = 400 * time.Millisecond
	// stragglerMinRuntime is how long a run must have worked before its speed is meaningful.
	stragglerMinRuntime = 500 * time.Millisecond
)

// isStraggler reports whether the rest of a run takes much longer than a restart on a server of normal speed. The
// normal speed is that of the step's other tasks on other servers, since estimates are too inaccurate. Its server may be to blame or not.
func (s *Scheduler) isStraggler(r *run) bool {
	p := r.task.step.step
	if p.LongRunning || p.Gang || r.task.straggled || r.server.listedAt.Sub(r.startedAt) < stragglerMinRuntime || r.percent <= r.startPercent {
		return false
	}
	rest := r.projectedDuration() * time.Duration(100-r.percent) / 100
	if rest <= stragglerSlack {
		return false
	}
	restart := r.task.step.speeds.median(r.server.incarnation())
	if restart == 0 {
		return false
	}
	if p.Checkpointing {
		restart = restart * time.Duration(100-r.percent) / 100
	}
	return rest > time.Duration(stragglerFactor*float64(restart))+stragglerSlack
}

// isSlow reports whether most runs on a server are slow, or too few have a known speed to tell. Where others have a
// known speed, one slow run is not enough, since its task may just be longer than the others of its step.
func (c speedCount) isSlow() bool {
	return c.known < projectionMinSamples || 2*c.slow > c.known
}

// projectedDuration returns how long the whole run takes at its present speed.
func (r *run) projectedDuration() time.Duration {
	return r.server.listedAt.Sub(r.startedAt) * 100 / time.Duration(r.percent-r.startPercent)
}

const (
	// projectionMinPercent is the percentage of work done from which a run's speed is used.
	projectionMinPercent = 15
	// projectionMinSamples is the number of samples from which the run time of a step's tasks is known.
	projectionMinSamples = 2
)
