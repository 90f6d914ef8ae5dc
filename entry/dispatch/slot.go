package dispatch

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/health"
	"github.com/tarragonbank/tarragonbank/fleet/request"
	"github.com/tarragonbank/tarragonbank/fleet/service"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Slot is the right to run one request on one VM.
type Slot struct {
	VM      vm.VM
	Service service.Service
	// StallTimeout is how long the VM may take to start a response before the connection counts as stalled.
	StallTimeout time.Duration

	dispatcher *Dispatcher
	pool       *poolDispatcher
	ticket     *admission.Ticket
}

// Pool returns the name of the pool that the slot belongs to.
func (s *Slot) Pool() string {
	return s.pool.name
}

// Waited returns the time that the request was queued for the slot.
func (s *Slot) Waited() time.Duration {
	return s.ticket.Waited()
}

// Observe records a health event of the slot's VM.
func (s *Slot) Observe(e health.Event) {
	s.pool.lock.Lock()
	r, ok := s.pool.observe(time.Now(), s.VM.Name, e)
	s.pool.lock.Unlock()
	if ok {
		s.dispatcher.log.Add(r)
	}
	if ok && e == health.LeaveAnnounced {
		s.dispatcher.onChange()
	}
}

// Done frees the slot. If the request was served, its duration updates the estimates and the pool's retry
// budget grows.
func (s *Slot) Done(served bool) {
	now := time.Now()
	s.pool.lock.Lock()
	defer s.pool.lock.Unlock()
	s.pool.admission.Done(now, s.ticket, served)
	if served {
		s.pool.retries.Deposit()
	}
	s.pool.dispatch(now)
}

// BackOff frees the slot of a request that the VM refused for lack of capacity. The VM receives no requests
// until its backoff ends.
func (s *Slot) BackOff() {
	now := time.Now()
	p, n := s.pool, s.VM.Name
	p.lock.Lock()
	defer p.lock.Unlock()
	p.admission.Done(now, s.ticket, false)
	d := p.admission.BackOff(now, s.ticket)
	p.dispatch(now)
	time.AfterFunc(d, func() {
		p.lock.Lock()
		defer p.lock.Unlock()
		p.admission.EndBackoff(n)
		p.dispatch(time.Now())
	})
}

// Requeue waits for another slot, with another VM preferred; Done or BackOff must have been called. It fails
// with a RefusedError.
func (s *Slot) Requeue(ctx context.Context) (*Slot, error) {
	now := time.Now()
	s.pool.lock.Lock()
	t := s.pool.admission.Requeue(now, s.ticket)
	s.pool.dispatch(now)
	s.pool.lock.Unlock()
	return s.dispatcher.wait(ctx, s.pool, t, s.Service)
}

// Retry takes a retry from the pool's budget and calls Requeue. It fails with a RefusedError, also if the
// budget is exhausted.
func (s *Slot) Retry(ctx context.Context) (*Slot, error) {
	s.pool.lock.Lock()
	ok := s.pool.retries.TryWithdraw()
	s.pool.lock.Unlock()
	if !ok {
		return nil, &RefusedError{Reason: admission.RetryBudgetExhausted}
	}
	return s.Requeue(ctx)
}

// noCapacityRetryAfter is returned for requests of an unknown pool.
const noCapacityRetryAfter = time.Second

// Acquire admits the request and waits for its slot; it fails with a RefusedError.
func (d *Dispatcher) Acquire(ctx context.Context, r request.Request, s service.Service) (*Slot, error) {
	p := d.pool(s.Pool)
	if p == nil {
		return nil, &RefusedError{Reason: admission.NoCapacity, RetryAfter: noCapacityRetryAfter}
	}
	now := time.Now()
	p.lock.Lock()
	t, f := p.admission.Offer(now, r)
	if f.Reason == admission.None {
		p.dispatch(now)
	}
	p.lock.Unlock()
	if f.Reason != admission.None {
		return nil, &RefusedError{Reason: f.Reason, RetryAfter: f.RetryAfter}
	}
	return d.wait(ctx, p, t, s)
}

// Check returns nil if the request would be admitted now, otherwise a RefusedError.
func (d *Dispatcher) Check(r request.Request, s service.Service) error {
	p := d.pool(s.Pool)
	if p == nil {
		return &RefusedError{Reason: admission.NoCapacity, RetryAfter: noCapacityRetryAfter}
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if f := p.admission.Check(time.Now(), r); f.Reason != admission.None {
		return &RefusedError{Reason: f.Reason, RetryAfter: f.RetryAfter}
	}
	return nil
}

// wait waits until the ticket has a slot, its latest start has passed or the context has ended.
func (d *Dispatcher) wait(ctx context.Context, p *poolDispatcher, t *admission.Ticket, s service.Service) (*Slot, error) {
	select {
	case <-t.Ready:
		return d.newSlot(p, t, s)
	default:
	}
	latestStart := time.NewTimer(time.Until(t.LatestStart()))
	defer latestStart.Stop()
	reason := admission.DeadlinePassed
	select {
	case <-t.Ready:
		return d.newSlot(p, t, s)
	case <-latestStart.C:
	case <-ctx.Done():
		reason = admission.CallerLeft
	}
	p.lock.Lock()
	queued := p.admission.Cancel(t)
	p.lock.Unlock()
	if queued {
		return nil, &RefusedError{Reason: reason, RetryAfter: time.Until(t.Request.Deadline)}
	}
	return d.newSlot(p, t, s)
}

// newSlot returns the slot that the ticket was given, or a RefusedError if it was dropped from the queue.
func (d *Dispatcher) newSlot(p *poolDispatcher, t *admission.Ticket, s service.Service) (*Slot, error) {
	if t.Refused != admission.None {
		return nil, &RefusedError{Reason: t.Refused, RetryAfter: time.Until(t.Request.Deadline)}
	}
	p.lock.Lock()
	v := p.vms[t.VM]
	v.Name = t.VM
	p95, measured := p.admission.P95ServiceTime(s.Name)
	p.lock.Unlock()
	return &Slot{VM: v, Service: s, StallTimeout: d.stallTimeout(p95, measured), dispatcher: d, pool: p, ticket: t}, nil
}

// The stall timeout is stallTimeoutFactor times the 95th percentile of the service time, but at least minStallTimeout.
const (
	stallTimeoutFactor = 6
	minStallTimeout    = 100 * time.Millisecond
)

func (d *Dispatcher) stallTimeout(p95 time.Duration, measured bool) time.Duration {
	if !measured {
		return max(d.stallLimit, stallTimeoutFactor*p95)
	}
	return max(minStallTimeout, stallTimeoutFactor*p95)
}

// Decision returns the decision to log for an attempt of the request on the slot's VM.
func (s *Slot) Decision(id string, attempt int) decision.Record {
	return decision.Record{
		Time: time.Now(), Kind: decision.Route, Request: id, Service: s.Service.Name, Pool: s.pool.name,
		VM: s.VM.Name, Reason: "least loaded of two", Attempt: attempt, Duration: s.ticket.Waited(),
	}
}
