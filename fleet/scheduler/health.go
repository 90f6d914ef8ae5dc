package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// health is what ends and progress tell of a server.
type health struct {
	// failures counts failed runs in a row.
	failures int
	strikes  int
	// slowTo is until when a server that was slow is used only where no other has room.
	slowTo time.Time
}

const (
	// failuresInRow is after how many failed runs in a row a server is left alone.
	failuresInRow = 3
	// firstPause doubles with each strike up to longestPause; disruptions of servers last some seconds.
	firstPause   = 2 * time.Second
	longestPause = 16 * time.Second
	maxStrikes   = 3
	// slowPause is for how long a slow server is the last choice.
	slowPause = 3 * time.Second
)

// judge takes the end of a run as a word on its server.
func (s *Scheduler) judge(r *run, how job.EndReason, now time.Time) {
	h := &r.server.health
	switch how {
	case job.EndDone:
		h.failures = 0
		h.strikes = 0
	case job.EndFailed:
		if h.failures++; h.failures >= failuresInRow {
			s.note(r.note("server fails what it starts: left alone"))
			h.strike(r.server, now)
			h.failures = failuresInRow - 1
		}
	}
}

func (h *health) strike(v *serverState, now time.Time) {
	v.pauseUntil(now.Add(min(firstPause<<h.strikes, longestPause)))
	h.strikes = min(h.strikes+1, maxStrikes)
}

func (h *health) stall(v *serverState, now time.Time) {
	if now.Before(v.pausedTo) {
		return
	}
	h.strike(v, now)
}

func (h *health) slow(now time.Time) {
	h.slowTo = now.Add(slowPause)
}

// learning is how the real times of a queue's tasks compare to their estimates.
type learning struct {
	ratio   float64
	samples int
}

const (
	// learnPart is the weight of one more sample.
	learnPart = 0.03
	// learnFew is the number of samples that weigh more, to learn fast at first.
	learnFew = 20
	// ratioLimit bounds a single sample, so that one straggler does not shift the forecast.
	ratioLimit = 4.0
)

// learn takes the time that a run took.
func (s *Scheduler) learn(r *run, now time.Time) {
	e := r.task.step.step.Estimate
	if r.beganAt == 0 && !r.inherited {
		r.task.step.took = append(r.task.step.took, now.Sub(r.began))
	}
	if e <= 0 || r.beganAt > 0 || r.inherited || now.Sub(r.began) > 4*e {
		return
	}
	l := s.learned[r.task.job.Queue]
	if l == nil {
		l = &learning{ratio: 1}
		s.learned[r.task.job.Queue] = l
	}
	x := min(float64(now.Sub(r.began))/float64(e), ratioLimit)
	l.samples++
	part := max(learnPart, 1/float64(l.samples+1))
	if l.samples > learnFew {
		part = learnPart
	}
	l.ratio += part * (x - l.ratio)
}

// ratio is how many times as long as estimated a queue's tasks take.
func (s *Scheduler) ratio(queue string) float64 {
	if l := s.learned[queue]; l != nil {
		return l.ratio
	}
	return 1
}

// expected is how long a task takes on a sound server.
func (s *Scheduler) expected(t *task) time.Duration {
	return time.Duration(float64(t.step.step.Estimate) * s.ratio(t.job.Queue))
}
