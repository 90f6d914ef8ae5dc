package scheduler

import (
	"time"
)

// placementAdvice is what the advice service said of a step.
type placementAdvice struct {
	tickets     map[string]string
	validUntil  time.Time
	requestedAt time.Time
	pending     bool
}

const (
	// adviceRetry is after how long a question that was not answered is asked again.
	adviceRetry = 500 * time.Millisecond
	// minTicketValidity is for how long a ticket must still hold when a run is assigned.
	minTicketValidity = 300 * time.Millisecond
	// maxAdvisedServers is the largest number of servers in one question.
	maxAdvisedServers = 100
)

// advisedServers narrows the servers to those that the queue's policy allows; ok is false while that is not known.
func (s *Scheduler) advisedServers(w pendingStep, l []*serverState, now time.Time) ([]*serverState, bool) {
	q := s.table.Named(w.state.job.Queue)
	if q == nil || !q.Advised {
		return l, true
	}
	name := w.step.tasks[0].key.StepName()
	p := s.advice[name]
	if p == nil || !p.pending && now.Add(minTicketValidity).After(p.validUntil) || p.pending && now.Sub(p.requestedAt) > adviceRetry {
		s.requestAdvice(name, l, now)
		return nil, false
	}
	if p.pending {
		return nil, false
	}
	allowed := []*serverState{}
	for _, v := range l {
		if _, ok := p.tickets[v.info.ID]; ok {
			allowed = append(allowed, v)
		}
	}
	return allowed, true
}

func (s *Scheduler) requestAdvice(name string, l []*serverState, now time.Time) {
	s.advice[name] = &placementAdvice{pending: true, requestedAt: now}
	c := AdviceRequest{Step: name}
	for _, v := range l[:min(len(l), maxAdvisedServers)] {
		c.Servers = append(c.Servers, v.info.ID)
	}
	s.orders.AdviceRequests = append(s.orders.AdviceRequests, c)
}

// SetAdvice takes the answer of the advice service: tickets by server, valid until a time.
func (s *Scheduler) SetAdvice(step string, tickets map[string]string, until time.Time) {
	s.advice[step] = &placementAdvice{tickets: tickets, validUntil: until}
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
