package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// stepAdvice holds what the advice service has answered about a step.
type stepAdvice struct {
	// answers are the latest answers by server ID.
	answers map[string]adviceAnswer
	// pending is true while a request for the step has no answer.
	pending bool
	// retryAt is when the next request may follow one that failed.
	retryAt time.Time
}

// adviceAnswer is the service's answer about one incarnation of a server.
type adviceAnswer struct {
	startedAt time.Time
	allowed   bool
	// ticket authorizes the starts of the step's tasks on an allowed server until validUntil.
	ticket string
	// validUntil is the time from which the service may be asked about the server again.
	validUntil time.Time
}

const (
	// adviceRetry is the time after which a request that failed is sent again.
	adviceRetry = 500 * time.Millisecond
	// minTicketValidity is how long a ticket must remain valid when a run is assigned.
	minTicketValidity = 300 * time.Millisecond
	// minAnswerValidity is how long the tickets of an answer are used however late it arrives. The time for which they are valid
	// is counted from the request, though it begins some time after.
	minAnswerValidity = 500 * time.Millisecond
	// denialValidity is how long a server that a step may not use is not asked about again. Policies do not change, but the
	// service may learn of a new server late.
	denialValidity = 30 * time.Second
	// maxAdvisedServers is the largest number of servers in one request, minAdvisedServers the number in the first one for a
	// step with few tasks. The service takes some time for each server, and few tasks rarely need more.
	maxAdvisedServers = 100
	minAdvisedServers = 30
	// advisedServersPerTask is the number of servers in the first request for each waiting task.
	advisedServersPerTask = 2
	// maxAdviceRequests is the number of unanswered requests from which others wait. The service handles them one after the
	// other, so that a few suffice to keep it busy, and the most urgent steps go first.
	maxAdviceRequests = 4
	// maxAdviceTime bounds the time that the service needs for the unanswered requests, ticketValidityDivisor its share of the
	// time for which tickets are valid.
	maxAdviceTime         = 500 * time.Millisecond
	ticketValidityDivisor = 4
	// adviceSlack is how long an answer may take beyond maxStretch times the work of the service.
	adviceSlack = 500 * time.Millisecond
	maxStretch  = 2
)

// adviceLoad is the number of the requests that have no answer yet, and the time that the service needs for them.
type adviceLoad struct {
	requests int
	work     time.Duration
}

// adviceSettings returns the configuration of the advice service for a job, nil if the job needs no advice. A job that was
// accepted with it still needs it when its queue does not, or is removed, since servers know no configuration.
func (s *Scheduler) adviceSettings(j *jobState) *job.Advice {
	if q := s.table.ByName(j.job.Queue); q != nil && q.Advice != nil {
		return q.Advice
	}
	return j.job.Terms.Advice
}

// needsAdvice reports whether the advice service decides which servers may run the job's steps.
func (s *Scheduler) needsAdvice(j *jobState) bool {
	return s.adviceSettings(j) != nil
}

// answerFor returns the service's answer about a server, false if it has not been asked about this incarnation.
func (a *stepAdvice) answerFor(v *serverState) (adviceAnswer, bool) {
	x, ok := a.answers[v.info.ID]
	return x, ok && x.startedAt.Equal(v.info.StartedAt)
}

// hasTicket reports whether the step has a ticket for the server that is valid long enough for a run to start.
func (a *stepAdvice) hasTicket(v *serverState, now time.Time) bool {
	x, ok := a.answerFor(v)
	return ok && x.ticket != "" && now.Add(minTicketValidity).Before(x.validUntil)
}

// ticketed returns the servers for which the step has a valid ticket.
func (a *stepAdvice) ticketed(l []*serverState, now time.Time) []*serverState {
	r := []*serverState{}
	for _, v := range l {
		if a.hasTicket(v, now) {
			r = append(r, v)
		}
	}
	return r
}

// waitsFor returns what a step without a ticket for one of a pool's usable servers waits for.
func (a *stepAdvice) waitsFor(pool string, l []*serverState) string {
	for _, v := range l {
		if x, ok := a.answerFor(v); !ok || x.allowed {
			return "the advice service"
		}
	}
	return fmt.Sprintf("a server of pool %s that the advice service allows: it allows none of %d", pool, len(l))
}

// advisedServers returns the servers on which a task may be placed now: all if its queue needs no advice.
func (s *Scheduler) advisedServers(t *task, l []*serverState, now time.Time) []*serverState {
	if !s.needsAdvice(t.state) {
		return l
	}
	return t.step.advice.ticketed(l, now)
}

// adviceClass orders the servers in a request.
type adviceClass int

const (
	// classAllowed are servers that the step may use and whose ticket has expired.
	classAllowed adviceClass = iota
	// classUnknown are servers that the service was not asked about.
	classUnknown
	// classDenied are servers that the step could not use some time ago.
	classDenied
)

// classOf returns the class of a server, false if the service need not be asked about it now.
func (a *stepAdvice) classOf(v *serverState, now time.Time) (adviceClass, bool) {
	x, ok := a.answerFor(v)
	switch {
	case !ok:
		return classUnknown, true
	case x.allowed:
		return classAllowed, !now.Add(minTicketValidity).Before(x.validUntil)
	default:
		return classDenied, !now.Before(x.validUntil)
	}
}

// awaitsAdvice reports whether the advice service may still allow a server with the capacity for a task that found none, and
// asks it if it is time to.
func (s *Scheduler) awaitsAdvice(t *task, l []*serverState, now time.Time) bool {
	if !s.needsAdvice(t.state) {
		return false
	}
	a := &t.step.advice
	if a.pending {
		return true
	}
	candidates := a.candidates(t, l, now)
	if len(candidates) == 0 || t.step.step.Gang && packGang(t.step, l) == nil {
		s.resumeAt(a.nextRequest(now))
		return false
	}
	if now.Before(a.retryAt) {
		s.resumeAt(a.retryAt)
	} else {
		s.requestAdvice(t, candidates, now)
	}
	return true
}

// candidates returns the servers that the next request for a task may name: those of the first class that has any with the
// capacity.
func (a *stepAdvice) candidates(t *task, l []*serverState, now time.Time) []*serverState {
	best := classDenied
	candidates := []*serverState{}
	for _, v := range l {
		c, ok := a.classOf(v, now)
		if !ok || c > best || !eligible(t, v, now) {
			continue
		}
		if c < best {
			best, candidates = c, candidates[:0]
		}
		candidates = append(candidates, v)
	}
	return candidates
}

// requestAdvice asks the advice service about the best of the servers for a task, unless it has enough to do.
func (s *Scheduler) requestAdvice(t *task, l []*serverState, now time.Time) {
	q := s.adviceSettings(t.state)
	n := min(len(l), max(t.step.advice.requestSize(t.step), serversPerBase(q)), maxServersPerRequest(q))
	work := s.advice.work + q.RequestTime(n)
	if s.advice.requests >= maxAdviceRequests || s.advice.requests > 0 && work > maxRequestTime(q) {
		return
	}
	s.advice = adviceLoad{requests: s.advice.requests + 1, work: work}
	slices.SortStableFunc(l, func(v, w *serverState) int { return cmp.Compare(placementCost(t, v, now), placementCost(t, w, now)) })
	r := AdviceRequest{Task: t.step.tasks[0].key, Work: q.RequestTime(n), Timeout: adviceSlack + maxStretch*work}
	for _, v := range l[:n] {
		r.Servers = append(r.Servers, v.info)
	}
	t.step.advice.pending = true
	s.orders.AdviceRequests = append(s.orders.AdviceRequests, r)
}

// serversPerBase returns the number of servers for which the service needs as long as for a request without any, 0 if that is
// not known. Smaller requests hardly save time.
func serversPerBase(q *job.Advice) int {
	if q.PerServer <= 0 {
		return 0
	}
	return int(q.Base / q.PerServer)
}

// maxServersPerRequest returns the number of servers about which the service answers in maxRequestTime, from 1 to
// maxAdvisedServers.
func maxServersPerRequest(q *job.Advice) int {
	if q.PerServer <= 0 {
		return maxAdvisedServers
	}
	return min(max(int((maxRequestTime(q)-q.Base)/q.PerServer), 1), maxAdvisedServers)
}

// maxRequestTime returns how long the service may work on unanswered requests: so short that tickets are valid for long enough
// when they arrive. A request that would take mostly its base time may take twice that.
func maxRequestTime(q *job.Advice) time.Duration {
	d := maxAdviceTime
	if q.Validity > 0 {
		d = min(d, q.Validity/ticketValidityDivisor)
	}
	return max(d, 2*q.Base)
}

// requestSize returns the number of servers in the next request for the step: about as many as it has asked about before.
func (a *stepAdvice) requestSize(p *stepState) int {
	return min(max(minAdvisedServers, advisedServersPerTask*p.pendingTasks, len(a.answers)), maxAdvisedServers)
}

// nextRequest returns when the service may be asked again about a server without a ticket, zero if there is none.
func (a *stepAdvice) nextRequest(now time.Time) time.Time {
	var next time.Time
	for _, x := range a.answers {
		if x.ticket == "" && x.validUntil.After(now) && (next.IsZero() || x.validUntil.Before(next)) {
			next = x.validUntil
		}
	}
	return next
}

// AdviceReceived records the advice service's answer to a request: tickets by server ID, valid until the given time. The
// other servers of the request are not allowed.
func (s *Scheduler) AdviceReceived(r AdviceRequest, tickets map[string]string, until, now time.Time) {
	a := s.adviceRequestEnded(r)
	if a == nil {
		return
	}
	if a.answers == nil {
		a.answers = map[string]adviceAnswer{}
	}
	for id := range a.answers {
		if s.servers[id] == nil {
			delete(a.answers, id)
		}
	}
	if least := now.Add(minAnswerValidity); until.Before(least) {
		until = least
	}
	allowed := 0
	for _, v := range r.Servers {
		x := adviceAnswer{startedAt: v.StartedAt, ticket: tickets[v.ID], validUntil: now.Add(denialValidity)}
		if x.allowed = x.ticket != ""; x.allowed {
			x.validUntil = until
			allowed++
		}
		a.answers[v.ID] = x
	}
	s.addDecision(Decision{Job: r.Task.Job, Reason: fmt.Sprintf("the advice service allows %d of %d servers for step %d", allowed, len(r.Servers), r.Task.Step)})
}

// AdviceFailed records that a request to the advice service was not answered.
func (s *Scheduler) AdviceFailed(r AdviceRequest, now time.Time) {
	if a := s.adviceRequestEnded(r); a != nil {
		a.retryAt = now.Add(adviceRetry)
	}
}

// adviceRequestEnded lets another request be sent. It returns the advice of the request's step, nil if its job has ended.
func (s *Scheduler) adviceRequestEnded(r AdviceRequest) *stepAdvice {
	s.advice = adviceLoad{requests: s.advice.requests - 1, work: s.advice.work - r.Work}
	s.needsPlan = true
	t := s.findTask(r.Task)
	if t == nil {
		return nil
	}
	t.step.advice.pending = false
	return &t.step.advice
}

// ticketRejected records that a server rejected the ticket of a start order.
func (a *stepAdvice) ticketRejected(v server.Server, now time.Time) {
	x := a.answers[v.ID]
	if !x.startedAt.Equal(v.StartedAt) {
		return
	}
	x.ticket, x.validUntil = "", now.Add(adviceRetry)
	a.answers[v.ID] = x
}

// ticket returns the ticket that a run's start order carries, or an empty string.
func (r *run) ticket() string {
	x, _ := r.task.step.advice.answerFor(r.server)
	return x.ticket
}
