package scheduler

import "time"

const (
	// paceEvery is how much newer than the last change a listing must be for another; servers report the last half second.
	paceEvery = 700 * time.Millisecond
	// paceHigh and paceLow are percentages of a serving task's target: above it filling work is slowed, below it let go.
	paceHigh = 85
	paceLow  = 60
	// paceCut divides the pace, paceStep is given back.
	paceCut   = 3
	paceStep  = 15
	paceLeast = 5
)

// pace slows filling work beside serving tasks that come near their target, and lets it go again slowly.
func (s *Scheduler) pace(now time.Time) {
	for _, v := range s.servers {
		worst := v.strain()
		for _, r := range v.runs {
			if !r.task.step.step.BestEffort || r.phase != working || v.heard.Sub(r.pacedAt) < paceEvery {
				continue
			}
			if p := nextPace(r.pace, worst); p != r.pace {
				r.pace = p
				r.pacedAt = now
				s.note(r.note("paced beside a serving task"))
				s.orders.Paces = append(s.orders.Paces, Pace{Server: v.info, Task: r.task.key, Number: r.number, Percent: p})
			}
		}
	}
}

// strain is the worst tail of the serving tasks on the server, as a percentage of their target.
func (v *serverState) strain() int {
	worst := 0
	for _, r := range v.runs {
		t := r.task.step.step.TargetLatency
		if t > 0 && r.phase == working {
			worst = max(worst, int(time.Duration(r.tail)*time.Millisecond*100/t))
		}
	}
	return worst
}

// nextPace is the pace after one more look at the strain.
func nextPace(pace, strain int) int {
	switch {
	case strain > 100:
		return 0
	case strain > paceHigh:
		n := pace / paceCut
		if n < paceLeast {
			n = 0
		}
		return n
	case strain < paceLow:
		return min(pace+paceStep, fullPace)
	default:
		return pace
	}
}
