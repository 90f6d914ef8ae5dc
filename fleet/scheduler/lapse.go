package scheduler

import (
	"slices"
	"time"
)

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
		if !v.there() && len(v.runs) == 0 && now.Sub(v.heard) > forgetServer && now.After(s.settledAt) {
			delete(s.servers, id)
			s.ordered = nil
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
	if v.info.Draining && r.phase == working && v.reachable && s.outlasts(v, r, now) {
		s.evacuate(r, s.pools(now)[v.info.Pool], now)
		return
	}
	if r.phase != working || !v.reachable || r.pace < fullPace || now.Sub(v.heard) > copyAfter {
		return
	}
	switch {
	case s.stalled(v, r):
		s.note(r.note("stands still"))
		v.health.stall(v, now)
	case s.straggles(r):
		s.note(r.note("straggles"))
		r.task.straggled = true
		v.health.slow(now)
	default:
		return
	}
	r.task.avoided = v.info.ID
	s.stop(r, now)
}

// outlasts says whether a run on a draining server is lost or late unless it moves: lasting ones, and those that
// resume elsewhere from a checkpoint and would not end while the server stays.
func (s *Scheduler) outlasts(v *serverState, r *run, now time.Time) bool {
	p := r.task.step.step
	if p.LongRunning {
		return true
	}
	if !p.Checkpointing || p.Gang || r.percent < r.beganAt+projectFrom {
		return false
	}
	return now.Add(r.projected() * time.Duration(100-r.percent) / 100).After(v.drains.Add(v.info.MinRemaining))
}

// stalled says whether newer listings show no progress since some time.
func (s *Scheduler) stalled(v *serverState, r *run) bool {
	still := v.heard.Sub(r.progressed)
	switch p := r.task.step.step; {
	case p.LongRunning:
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

// straggles says whether the rest of a run takes longer than running it anew on a server of ordinary speed, as
// told by the other tasks of its step on other servers: estimates are too far off to tell.
func (s *Scheduler) straggles(r *run) bool {
	p := r.task.step.step
	if p.LongRunning || p.Gang || r.task.straggled || r.server.heard.Sub(r.began) < straggleSight || r.percent <= r.beganAt {
		return false
	}
	anew := r.task.step.typical(r.server)
	if anew == 0 {
		return false
	}
	rest := r.projected() * time.Duration(100-r.percent) / 100
	if p.Checkpointing {
		anew = anew * time.Duration(100-r.percent) / 100
	}
	return rest > time.Duration(straggleFactor*float64(anew))+straggleSlack && r.server.slower()
}

// slower says whether the runs on the server are slow as a whole: a single task may just be longer than the others
// of its step.
func (v *serverState) slower() bool {
	slow, known := 0, 0
	for _, r := range v.runs {
		if r.phase != working || r.percent < r.beganAt+projectFrom {
			continue
		}
		if t := r.task.step.typical(v); t > 0 {
			known++
			if float64(r.projected()) > straggleFactor*float64(t) {
				slow++
			}
		}
	}
	return known < projectFew || 2*slow > known
}

// projected is how long the whole run takes at its present speed.
func (r *run) projected() time.Duration {
	return r.server.heard.Sub(r.began) * 100 / time.Duration(r.percent-r.beganAt)
}

// typical is the median time that the step's tasks take on other servers, 0 where too few tell.
func (p *stepState) typical(v *serverState) time.Duration {
	l := slices.Clone(p.took)
	for _, t := range p.tasks {
		if r := t.run; r != nil && r.server != v && r.phase == working && r.percent >= r.beganAt+projectFrom {
			l = append(l, r.projected())
		}
	}
	if len(l) < projectFew {
		return 0
	}
	slices.Sort(l)
	return l[len(l)/2]
}

const (
	// projectFrom is the percentage of work from which a run's speed is taken as known.
	projectFrom = 15
	// projectFew is how many other tasks must tell how long a step's tasks take.
	projectFew = 2
)
