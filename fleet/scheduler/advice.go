package scheduler

import (
	"time"
)

// permit is what the advice service said of a step.
type permit struct {
	tickets map[string]string
	until   time.Time
	asked   time.Time
	pending bool
}

const (
	// adviceRetry is after how long a question that was not answered is asked again.
	adviceRetry = 500 * time.Millisecond
	// adviceMargin is for how long a ticket must still hold when a run is assigned.
	adviceMargin = 300 * time.Millisecond
	// adviceMost is the largest number of servers in one question.
	adviceMost = 100
)

// permitted narrows the servers to those that the queue's policy allows; ok is false while that is not known.
func (s *Scheduler) permitted(w wanting, l []*serverState, now time.Time) ([]*serverState, bool) {
	q := s.table.ByName(w.state.job.Queue)
	if q == nil || !q.UsesAdvice {
		return l, true
	}
	name := w.step.tasks[0].key.StepName()
	p := s.advice[name]
	if p == nil || !p.pending && now.Add(adviceMargin).After(p.until) || p.pending && now.Sub(p.asked) > adviceRetry {
		s.consult(name, l, now)
		return nil, false
	}
	if p.pending {
		return nil, false
	}
	good := []*serverState{}
	for _, v := range l {
		if _, ok := p.tickets[v.info.ID]; ok {
			good = append(good, v)
		}
	}
	return good, true
}

func (s *Scheduler) consult(name string, l []*serverState, now time.Time) {
	s.advice[name] = &permit{pending: true, asked: now}
	c := Consult{Step: name}
	for _, v := range l[:min(len(l), adviceMost)] {
		c.Servers = append(c.Servers, v.info.ID)
	}
	s.orders.Consults = append(s.orders.Consults, c)
}

// Advised takes the answer of the advice service: tickets by server, valid until a time.
func (s *Scheduler) Advised(step string, tickets map[string]string, until time.Time) {
	s.advice[step] = &permit{tickets: tickets, until: until}
	s.unplanned = true
}

// ticket is the permission that a run's start carries.
func (s *Scheduler) ticket(r *run) string {
	p := s.advice[r.task.key.StepName()]
	if p == nil {
		return ""
	}
	return p.tickets[r.server.info.ID]
}
