package scheduler

import "time"

const (
	// minPaceInterval is how much newer than the last change a listing must be before the pace changes again: the
	// tail latency in a listing covers the last half second.
	minPaceInterval = 700 * time.Millisecond
	// paceDownPercent and paceUpPercent are percentages of a serving task's target latency. Above the first, best-effort
	// runs slow down; below the second, they speed up.
	paceDownPercent = 85
	paceUpPercent   = 60
	// paceDivisor divides the pace on each slowdown, paceStepPercent is added on each speedup.
	paceDivisor     = 3
	paceStepPercent = 15
	// minPacePercent is the lowest pace above 0; a slowdown below it suspends the run.
	minPacePercent = 5
)

// pace throttles best-effort runs on servers whose serving tasks approach their target latency, and restores their
// speed in steps.
func (s *Scheduler) pace(now time.Time) {
	s.operations.Servers += int64(len(s.servers))
	for _, v := range s.servers {
		if v.bestEffortRuns == 0 {
			continue
		}
		s.operations.Runs += int64(2 * len(v.runs))
		worst := v.worstTailPercent()
		for _, r := range v.runs {
			if !r.task.step.step.BestEffort || r.phase != working || v.listedAt.Sub(r.pacedAt) < minPaceInterval {
				continue
			}
			p := nextPace(r.pace, worst)
			if reason := r.paceReason(p, worst); reason != "" {
				r.pace, r.pacedAt, r.paceUnknown = p, now, false
				s.addDecision(r.decision(reason))
				s.orders.Paces = append(s.orders.Paces, PaceOrder{Server: v.info, Task: r.task.key, Number: r.number, Percent: p})
			}
		}
	}
}

// paceReason returns why the run is ordered to go at the pace p, given the worst tail latency on its server in percent of its target,
// or an empty string if it is not. An order that was lost, or overtaken by an older one, is given again.
func (r *run) paceReason(p, worst int) string {
	switch {
	case p != r.pace:
		return "pace changed for a serving task on the same server"
	case r.paceUnknown:
		return "pace ordered again, since it is not known"
	case worst > fullPercent:
		return "pace ordered again, since a serving task on the same server is still over its target"
	default:
		return ""
	}
}

// worstTailPercent returns the worst tail latency of the server's serving tasks, as a percentage of their target.
func (v *serverState) worstTailPercent() int {
	worst := 0
	for _, r := range v.runs {
		t := r.task.step.step.TargetLatency
		if t > 0 && r.phase == working {
			worst = max(worst, int(time.Duration(r.metric)*time.Millisecond*100/t))
		}
	}
	return worst
}

// nextPace returns the next pace in percent, given the worst tail latency as a percentage of its target.
func nextPace(pace, tailPercent int) int {
	switch {
	case tailPercent > 100:
		return 0
	case tailPercent > paceDownPercent:
		n := pace / paceDivisor
		if n < minPacePercent {
			n = 0
		}
		return n
	case tailPercent < paceUpPercent:
		return min(pace+paceStepPercent, fullPace)
	default:
		return pace
	}
}

// PaceUnanswered records that an order to pace a run was not answered, so that it may not have been carried out.
func (s *Scheduler) PaceUnanswered(o PaceOrder) {
	if v := s.servers[o.Server.ID]; v != nil {
		if r := v.runs[o.Task]; r != nil && r.number == o.Number {
			r.paceUnknown = true
		}
	}
}
