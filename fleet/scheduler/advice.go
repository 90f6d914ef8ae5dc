package scheduler

import (
	"time"
)

// placementAdvice is the advice service's answer for a step, or a request that has no answer yet.
type placementAdvice struct {
	// tickets maps the IDs of the allowed servers to the ticket that a start order carries.
	tickets     map[string]string
	validUntil  time.Time
	requestedAt time.Time
	pending     bool
}

const (
	// adviceRetry is the time after which an unanswered request is sent again.
	adviceRetry = 500 * time.Millisecond
	// minTicketValidity is how long a ticket must remain valid when a run is assigned.
	minTicketValidity = 300 * time.Millisecond
	// maxAdvisedServers is the largest number of servers in one request.
	maxAdvisedServers = 100
)

// advisedServers returns the servers that the advice service allows for the step, or all if the queue needs no
// advice. It returns false, after requesting advice if necessary, while there is no valid answer.
func (s *Scheduler) advisedServers(w pendingStep, l []*serverState, now time.Time) ([]*serverState, bool) {
	q := s.table.ByName(w.state.job.Queue)
	if q == nil || !q.UsesAdvice {
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

// SetAdvice records the advice service's answer for a step: tickets by server ID, valid until the given time.
func (s *Scheduler) SetAdvice(step string, tickets map[string]string, until time.Time) {
	s.advice[step] = &placementAdvice{tickets: tickets, validUntil: until}
	s.needsPlan = true
}

// ticket returns the ticket that a run's start order carries, or an empty string.
func (s *Scheduler) ticket(r *run) string {
	p := s.advice[r.task.key.StepName()]
	if p == nil {
		return ""
	}
	return p.tickets[r.server.info.ID]
}
