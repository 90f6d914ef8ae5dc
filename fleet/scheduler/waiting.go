package scheduler

import (
	"slices"
	"time"
)

// waitingSteps are the steps with tasks to place, so that a pass need not go through all jobs. Steps that wait no longer are dropped by the
// next pass.
type waitingSteps struct {
	steps []*stepState
	// ordered is the number of the first ones that are in the order of the last pass over all of them, tried the number of those that a pass
	// has tried to place.
	ordered, tried int
}

// hasNew reports whether there are steps that no pass has tried to place.
func (x *waitingSteps) hasNew() bool {
	return len(x.steps) > x.tried
}

// setRun sets or clears the run of a task.
func (t *task) setRun(r *run) {
	before := t.isPending()
	t.run = r
	t.countPending(before)
}

// setDone marks a task as done.
func (t *task) setDone() {
	before := t.isPending()
	t.done = true
	t.countPending(before)
}

// countPending updates the number of the step's pending tasks after a change, before which this one was pending or not.
func (t *task) countPending(before bool) {
	switch after := t.isPending(); {
	case before && !after:
		t.step.pendingTasks--
	case !before && after:
		t.step.pendingTasks++
	}
}

// waits reports whether tasks of the step wait for a server.
func (p *stepState) waits() bool {
	return p.pendingTasks > 0 && p.isOpen()
}

// awaitStep adds a step to those that wait if it has tasks to place.
func (s *Scheduler) awaitStep(p *stepState) {
	if !p.awaited && p.waits() {
		p.awaited = true
		s.waiting.steps = append(s.waiting.steps, p)
	}
}

// awaitSteps adds the steps of an occurrence that have tasks to place to those that wait.
func (s *Scheduler) awaitSteps(o *occurrence) {
	for _, p := range o.steps {
		s.awaitStep(p)
	}
}

// dropWaiting drops the steps that wait no longer.
func (s *Scheduler) dropWaiting() {
	kept, ordered := s.waiting.steps[:0], 0
	for i, p := range s.waiting.steps {
		t := p.tasks[0]
		if !p.waits() || s.active[t.key.Job] != t.state {
			p.awaited = false
			continue
		}
		kept = append(kept, p)
		if i < s.waiting.ordered {
			ordered++
		}
	}
	clear(s.waiting.steps[len(kept):])
	s.waiting = waitingSteps{kept, ordered, len(kept)}
	s.operations.Steps += int64(len(kept))
}

// orderedSteps returns the steps with tasks to place, most urgent first, and keeps that order for the next pass.
func (s *Scheduler) orderedSteps(now time.Time) []pendingStep {
	s.dropWaiting()
	l, ordered := s.pendingSteps(0, now)
	l = s.order(l, ordered)
	if len(l) == len(s.waiting.steps) {
		for i, w := range l {
			s.waiting.steps[i] = w.step
		}
		s.waiting.ordered = len(l)
	}
	return l
}

// newSteps returns the steps with tasks to place that no pass has tried to place, most urgent first.
func (s *Scheduler) newSteps(now time.Time) []pendingStep {
	l, _ := s.pendingSteps(s.waiting.tried, now)
	s.operations.Steps += int64(len(l))
	s.waiting.tried = len(s.waiting.steps)
	return s.order(l, 0)
}

// pendingSteps returns the steps from the given one on with tasks to place that are due, and how many of the first ones were ordered in the
// last pass.
func (s *Scheduler) pendingSteps(from int, now time.Time) (l []pendingStep, ordered int) {
	l = make([]pendingStep, 0, len(s.waiting.steps)-from)
	for i := from; i < len(s.waiting.steps); i++ {
		p := s.waiting.steps[i]
		k := p.tasks[0].key
		j := s.active[k.Job]
		if j == nil || !p.waits() || !s.isDue(j.job, k.Occurrence, now) {
			continue
		}
		l = append(l, s.newPendingStep(j, j.occurrences[k.Occurrence], p, now))
		if i < s.waiting.ordered {
			ordered++
		}
	}
	return l, ordered
}

// order sorts the steps, of which the first ones are almost in order.
func (s *Scheduler) order(l []pendingStep, ordered int) []pendingStep {
	compare := func(a, b pendingStep) int {
		s.operations.Comparisons++
		return comparePendingSteps(a, b)
	}
	known, added := l[:ordered], l[ordered:]
	if !settle(known, compare) {
		slices.SortFunc(known, compare)
	}
	if len(added) == 0 {
		return l
	}
	slices.SortFunc(added, compare)
	return merge(known, added, compare)
}

// movesPerStep bounds the moves of settle.
const movesPerStep = 4

// settle sorts steps that are almost in order. It gives up once it has moved them movesPerStep times each, and reports whether they are
// sorted.
func settle(l []pendingStep, compare func(a, b pendingStep) int) bool {
	moves := movesPerStep * len(l)
	for i := 1; i < len(l); i++ {
		for k := i; k > 0 && compare(l[k-1], l[k]) > 0; k-- {
			if moves--; moves < 0 {
				return false
			}
			l[k-1], l[k] = l[k], l[k-1]
		}
	}
	return true
}

// merge returns the steps of two sorted lists in order.
func merge(a, b []pendingStep, compare func(a, b pendingStep) int) []pendingStep {
	l := make([]pendingStep, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if compare(a[0], b[0]) <= 0 {
			l, a = append(l, a[0]), a[1:]
		} else {
			l, b = append(l, b[0]), b[1:]
		}
	}
	return append(append(l, a...), b...)
}
