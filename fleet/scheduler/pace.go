package scheduler

import "time"

const (
	// minPaceInterval is how much newer than the last change a listing must be for another; servers report the last half second.
	minPaceInterval = 700 * time.Millisecond
	// paceDownPercent and paceLow are percentages of a serving task's target: above it filling work is slowed, below it let go.
	paceDownPercent = 85
	paceUpPercent   = 60
	// paceDivisor divides the pace, paceStep is given back.
	paceDivisor     = 3
	paceStepPercent = 15
	minPacePercent  = 5
)

// pace slows filling work beside serving tasks that come near their target, and lets it go again slowly.
func (s *Scheduler) pace(now time.Time) {
	for _, v := range s.servers {
		worst := v.worstTailPercent()
		for _, r := range v.runs {
			if !r.task.step.step.Fills || r.phase != working || v.heard.Sub(r.pacedAt) < minPaceInterval {
				continue
			}
			if p := nextPace(r.pace, worst); p != r.pace {
				r.pace = p
				r.pacedAt = now
				s.addDecision(r.decision("paced beside a serving task"))
				s.orders.Paces = append(s.orders.Paces, PaceOrder{Server: v.info, Task: r.task.key, Number: r.number, Percent: p})
			}
		}
	}
}

// worstTailPercent is the worst tail of the serving tasks on the server, as a percentage of their target.
func (v *serverState) worstTailPercent() int {
	worst := 0
	for _, r := range v.runs {
		t := r.task.step.step.Target
		if t > 0 && r.phase == working {
			worst = max(worst, int(time.Duration(r.tail)*time.Millisecond*100/t))
		}
	}
	return worst
}

// nextPace is the pace after one more look at the strain.
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
