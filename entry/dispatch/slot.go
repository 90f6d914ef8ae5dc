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
	// StallTimeout is how long an answer may take before its connection is doubted.
	StallTimeout time.Duration

	dispatcher *Dispatcher
	table      *table
	ticket     *admission.Ticket
}

// Pool names the pool that the slot belongs to.
func (s *Slot) Pool() string {
	return s.table.name
}

// Waited is how long the request queued for the slot.
func (s *Slot) Waited() time.Duration {
	return s.ticket.Waited()
}

// Observe tells what the request saw of the VM.
func (s *Slot) Observe(e health.Event) {
	s.table.lock.Lock()
	r, ok := s.table.observe(time.Now(), s.VM.Name, e)
	s.table.lock.Unlock()
	if ok {
		s.dispatcher.log.Add(r)
	}
	if ok && e == health.LeaveAnnounced {
		s.dispatcher.changed()
	}
}

// Done frees the slot; a served request teaches its time and earns retries.
func (s *Slot) Done(served bool) {
	now := time.Now()
	s.table.lock.Lock()
	defer s.table.lock.Unlock()
	s.table.admission.Done(now, s.ticket, served)
	if served {
		s.table.retries.Deposit()
	}
	s.table.next(now)
}

// BackOff frees the slot of a request that the VM had no room for, and leaves the VM alone for a while.
func (s *Slot) BackOff() {
	now := time.Now()
	t, n := s.table, s.VM.Name
	t.lock.Lock()
	defer t.lock.Unlock()
	t.admission.Done(now, s.ticket, false)
	d := t.admission.BackOff(now, s.ticket)
	t.next(now)
	time.AfterFunc(d, func() {
		t.lock.Lock()
		defer t.lock.Unlock()
		t.admission.EndBackoff(n)
		t.next(time.Now())
	})
}

// Requeue waits for a slot on another VM; the slot must be done with.
func (s *Slot) Requeue(ctx context.Context) (*Slot, error) {
	now := time.Now()
	s.table.lock.Lock()
	t := s.table.admission.Requeue(now, s.ticket)
	s.table.next(now)
	s.table.lock.Unlock()
	return s.dispatcher.wait(ctx, s.table, t, s.Service)
}

// Retry is Again, if the pool's retry budget allows one; it fails with a RefusedError.
func (s *Slot) Retry(ctx context.Context) (*Slot, error) {
	s.table.lock.Lock()
	ok := s.table.retries.TryWithdraw()
	s.table.lock.Unlock()
	if !ok {
		return nil, &RefusedError{Reason: admission.RetryBudgetExhausted}
	}
	return s.Requeue(ctx)
}

// Acquire admits the request and waits for its slot; it fails with a RefusedError.
func (d *Dispatcher) Acquire(ctx context.Context, r request.Request, s service.Service) (*Slot, error) {
	t := d.table(s.Pool)
	if t == nil {
		return nil, &RefusedError{Reason: admission.NoCapacity, RetryAfter: time.Second}
	}
	now := time.Now()
	t.lock.Lock()
	k, f := t.admission.Offer(now, r)
	if f.Reason == admission.None {
		t.next(now)
	}
	t.lock.Unlock()
	if f.Reason != admission.None {
		return nil, &RefusedError{Reason: f.Reason, RetryAfter: f.RetryAfter}
	}
	return d.wait(ctx, t, k, s)
}

// Check says whether the request would be admitted now; it fails with a RefusedError.
func (d *Dispatcher) Check(r request.Request, s service.Service) error {
	t := d.table(s.Pool)
	if t == nil {
		return &RefusedError{Reason: admission.NoCapacity, RetryAfter: time.Second}
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if f := t.admission.Check(time.Now(), r); f.Reason != admission.None {
		return &RefusedError{Reason: f.Reason, RetryAfter: f.RetryAfter}
	}
	return nil
}

func (d *Dispatcher) wait(ctx context.Context, t *table, k *admission.Ticket, s service.Service) (*Slot, error) {
	select {
	case <-k.Ready:
		return d.ready(t, k, s)
	default:
	}
	latest := time.NewTimer(time.Until(k.LatestStart()))
	defer latest.Stop()
	reason := admission.DeadlinePassed
	select {
	case <-k.Ready:
		return d.ready(t, k, s)
	case <-latest.C:
	case <-ctx.Done():
		reason = admission.CallerLeft
	}
	t.lock.Lock()
	waiting := t.admission.Cancel(k)
	t.lock.Unlock()
	if waiting {
		return nil, &RefusedError{Reason: reason, RetryAfter: time.Until(k.Request.Deadline)}
	}
	return d.ready(t, k, s)
}

func (d *Dispatcher) ready(t *table, k *admission.Ticket, s service.Service) (*Slot, error) {
	if k.Refused != admission.None {
		return nil, &RefusedError{Reason: k.Refused, RetryAfter: time.Until(k.Request.Deadline)}
	}
	t.lock.Lock()
	v := t.vms[k.VM]
	v.Name = k.VM
	high, learned := t.admission.P95ServiceTime(s.Name)
	t.lock.Unlock()
	return &Slot{VM: v, Service: s, StallTimeout: d.stall(high, learned), dispatcher: d, table: t, ticket: k}, nil
}

const (
	stallFactor = 6
	stallFloor  = 100 * time.Millisecond
)

func (d *Dispatcher) stall(high time.Duration, learned bool) time.Duration {
	if !learned {
		return max(d.stallLimit, stallFactor*high)
	}
	return max(stallFloor, stallFactor*high)
}

// Decision makes the log line of a routing decision.
func (s *Slot) Decision(id string, attempt int) decision.Record {
	return decision.Record{
		Time: time.Now(), Kind: decision.Route, Request: id, Service: s.Service.Name, Pool: s.table.name,
		VM: s.VM.Name, Reason: "least loaded of two", Attempt: attempt, Duration: s.ticket.Waited(),
	}
}
