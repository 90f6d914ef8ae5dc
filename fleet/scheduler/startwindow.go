package scheduler

import "time"

// startWindow bounds the start orders that have not been answered. An order is valid for about a second: where more of them wait for their
// turn than are sent in that time, all arrive late, and the runs that replace them wait behind as many again.
type startWindow struct {
	// size is the bound, unanswered the number of orders that have not been answered.
	size, unanswered int
	shrunkAt         time.Time
	// held are the jobs with stored assignments that wait for the window.
	held []*jobState
}

const (
	// initialStartWindow is well above what the peak load of 3,000 servers has on its way.
	initialStartWindow = 1024
	minStartWindow     = 128
	maxStartWindow     = 1 << 16
	// promptStart is how soon an order is answered if few of them wait.
	promptStart = 200 * time.Millisecond
	// startShrinkInterval is the least time between two reductions. The orders that were late together count once.
	startShrinkInterval = 500 * time.Millisecond
)

// answered records the answer to an order that was sent some time ago. The window grows while it is used up and orders are answered
// promptly, and shrinks when they arrive late.
func (x *startWindow) answered(a StartAnswer, ago time.Duration, now time.Time) {
	x.unanswered = max(x.unanswered-1, 0)
	switch {
	case a == Late && now.Sub(x.shrunkAt) >= startShrinkInterval:
		x.size, x.shrunkAt = max(x.size/2, minStartWindow), now
	case a != Late && ago < promptStart && len(x.held) > 0:
		x.size = min(x.size+1, maxStartWindow)
	}
}

// isFull reports whether no further order may be sent.
func (x *startWindow) isFull() bool {
	return x.unanswered >= x.size
}

// hold lets a run wait for the window.
func (x *startWindow) hold(r *run) {
	if r.held {
		return
	}
	r.held = true
	j := r.task.state
	if j.heldRuns = append(j.heldRuns, r); len(j.heldRuns) == 1 {
		x.held = append(x.held, j)
	}
}

// next returns the run that has waited longest of the next job, and takes the jobs in turn. It returns nil if none waits.
func (x *startWindow) next() *run {
	if len(x.held) == 0 {
		return nil
	}
	j := x.held[0]
	x.held = x.held[1:]
	r := j.heldRuns[0]
	if j.heldRuns = j.heldRuns[1:]; len(j.heldRuns) > 0 {
		x.held = append(x.held, j)
	} else {
		j.heldRuns = nil
	}
	r.held = false
	return r
}

// sendHeld sends the start orders of runs that have waited for the window, as far as it has room.
func (s *Scheduler) sendHeld(now time.Time) {
	for !s.starts.isFull() {
		r := s.starts.next()
		if r == nil {
			return
		}
		if r.task.run == r && r.task.awaitsStart() && s.mayStart(r, now) {
			s.sendStart(r, now)
		}
	}
}
