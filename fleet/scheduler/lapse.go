package scheduler

import "time"

// forgetServer is for how long a life that is over is remembered, so that late word of it is recognised.
const forgetServer = 30 * time.Second

// lapseMargin covers the time that a call takes to arrive.
const lapseMargin = 100 * time.Millisecond

// lapse drops the runs on silent servers whose lease has surely run out, and with them what an earlier owner held.
func (s *Scheduler) lapse(now time.Time) {
	for id, v := range s.servers {
		for _, r := range v.runs {
			if s.lapsed(v, r, now) {
				s.drop(r, now, "lease lapsed on a silent server")
			}
		}
		if !v.registered && len(v.runs) == 0 && now.Sub(v.heard) > forgetServer && now.After(s.settledAt) {
			delete(s.servers, id)
		}
	}
}

func (s *Scheduler) lapsed(v *serverState, r *run, now time.Time) bool {
	if r.phase == assigned || v.reachable {
		return false
	}
	if r.inherited && v.listed == 0 {
		return now.After(s.settledAt)
	}
	return v.clock > 0 && v.slowest(now) > v.lease+lapseMargin
}

const (
	// stallTime is how long a task may show no progress; listings come each second at least.
	stallTime = 1500 * time.Millisecond
	// stallPart of the estimate is added for long tasks, whose percentage moves slowly.
	stallPart = 20
	// startupTime is how long a lasting task may take until it is at work.
	startupTime = 4 * time.Second
	// copyAfter is for how long a server may be silent before its speculative tasks run elsewhere as well.
	copyAfter = time.Second
)

// watchRuns finds the runs that stand still or are much slower than elsewhere and has them run elsewhere.
func (s *Scheduler) watchRuns(now time.Time) {
	for _, v := range s.servers {
		for _, r := range v.runs {
			s.watchRun(v, r, now)
		}
	}
}

func (s *Scheduler) watchRun(v *serverState, r *run, now time.Time) {
	if r.phase == working && !v.reachable && r.task.step.step.Speculative && now.Sub(v.heard) > copyAfter {
		s.drop(r, now, "server is silent: speculative task runs elsewhere")
		return
	}
	if r.phase != working || !v.reachable || r.pace < fullPace || now.Sub(v.heard) > copyAfter {
		return
	}
	switch {
	case s.stalled(v, r):
		s.note(r.note("stands still"))
		v.health.stall(v, now)
	case s.straggles(r, now):
		s.note(r.note("straggles"))
		v.health.slow(now)
	default:
		return
	}
	r.task.avoided = v.info.ID
	s.stop(r, now)
}

// stalled says whether newer listings show no progress since some time.
func (s *Scheduler) stalled(v *serverState, r *run) bool {
	still := v.heard.Sub(r.progressed)
	switch p := r.task.step.step; {
	case p.Lasting:
		return r.percent < 100 && still > startupTime
	case p.Gang && r.percent == 0:
		return still > s.bounds.Gang+stallTime
	default:
		return still > stallTime+p.Estimate/stallPart
	}
}

const (
	// straggleFactor is how many times as long as a fresh start elsewhere the rest must take.
	straggleFactor = 1.6
	// straggleSlack covers stopping, storing and starting again.
	straggleSlack = 400 * time.Millisecond
	// straggleSight is how long a run must have worked before its speed tells something.
	straggleSight = 500 * time.Millisecond
)

// straggles says whether the rest of a run takes longer than running it anew on a server of ordinary speed.
func (s *Scheduler) straggles(r *run, now time.Time) bool {
	p := r.task.step.step
	worked := r.server.heard.Sub(r.began)
	if p.Lasting || p.Gang || worked < straggleSight || r.percent <= r.beganAt {
		return false
	}
	whole := float64(worked) * 100 / float64(r.percent-r.beganAt)
	rest := whole * float64(100-r.percent) / 100
	anew := float64(s.expected(r.task))
	if p.Checkpointing {
		anew = anew * float64(100-r.percent) / 100
	}
	_ = now
	return rest > straggleFactor*anew+float64(straggleSlack)
}
