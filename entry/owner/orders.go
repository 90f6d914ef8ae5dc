package owner

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	// orderRetryPeriod bounds an order to a server with its repetitions; what is left open is settled by the server's listing.
	orderRetryPeriod = 900 * time.Millisecond
	// idlePollWait is how long a listing waits for an end on a server that runs nothing finite, busyWait on others:
	// a lost answer hides ends for as long.
	idlePollWait = time.Second
	busyPollWait = 400 * time.Millisecond
	// pollSlack is how long after its wait a listing may come.
	pollSlack = 250 * time.Millisecond
	// laterRetryTimeout bounds the first listing, which does not wait; secondLook the one after a listing without an answer.
	laterRetryTimeout = 500 * time.Millisecond
	firstRetryTimeout = 300 * time.Millisecond
	// pollRetryInterval is between listings of a server that does not answer.
	pollRetryInterval = 200 * time.Millisecond
	// endsStoredTimeout bounds the wait until listed ends are stored; they would be listed again at once.
	endsStoredTimeout  = 300 * time.Millisecond
	endsStoredInterval = 10 * time.Millisecond
	// adviceTimeout bounds a question to the advice service, which answers one at a time.
	adviceTimeout = 2 * time.Second
)

// sendOrders sends orders, each on its own, and writes decisions to the log.
func (r *term) sendOrders(o scheduler.Orders) {
	for _, n := range o.Decisions {
		r.logSchedulerDecision(n)
	}
	for k, n := range o.EndCounts {
		for range n {
			r.owner.deps.Metrics.Event("ends", k.String())
		}
	}
	for _, x := range o.Starts {
		r.spawn(func() { r.startRun(x) })
	}
	for _, x := range o.Stops {
		r.spawn(func() {
			r.sendOrder(func(c context.Context) error { return r.owner.deps.Servers.Stop(c, x, uint64(r.token)) })
		})
	}
	for _, x := range o.Paces {
		r.spawn(func() {
			r.sendOrder(func(c context.Context) error { return r.owner.deps.Servers.Pace(c, x, uint64(r.token)) })
		})
	}
	for _, v := range o.ResumePolling {
		r.ensurePolling(v)
	}
	for _, x := range o.AdviceRequests {
		r.spawn(func() { r.requestAdvice(x) })
	}
}

func (r *term) logSchedulerDecision(n scheduler.Decision) {
	k := decision.Task
	switch {
	case n.Task == "" && n.Job != "":
		k = decision.Job
	case n.Task == "":
		k = decision.Server
	}
	r.owner.deps.Log.Add(decision.Record{
		Time: time.Now(), Kind: k, Request: n.Job, Task: n.Task, VM: n.Server, Pool: n.Pool, Run: n.Run,
		Reason: n.Reason, Age: n.Age, Revision: uint64(r.token),
	})
}

// startRun has a server startRun a run. An order without an answer is repeated, since it is idempotent: the server has
// one run of each number.
func (r *term) startRun(x scheduler.StartOrder) {
	a, clock, attempts := scheduler.NoAnswer, time.Duration(0), 0
	ok := r.retryOrder(func(c context.Context) error {
		var err error
		attempts++
		a, clock, err = r.owner.deps.Servers.Start(c, x, uint64(r.token))
		return err
	})
	if r.ctx.Err() != nil {
		return
	}
	if !ok || attempts > 1 && a != scheduler.Started {
		// A refusal says nothing of the tries before it, which may have been carried out.
		a, clock = scheduler.NoAnswer, 0
	}
	r.owner.deps.Metrics.Event("starts", a.String())
	r.update(func(s *scheduler.Scheduler, now time.Time) { s.StartAnswered(x, a, clock, now) })
}

// sendOrder sends an sendOrder whose effect the server's listing shows.
func (r *term) sendOrder(f func(context.Context) error) {
	if !r.retryOrder(f) && r.ctx.Err() == nil {
		r.owner.logDecision(decision.Server, "order not answered", r.token)
	}
}

// retryOrder repeats an idempotent order until it is answered, with more time each, or its life is over.
func (r *term) retryOrder(f func(context.Context) error) bool {
	deadline := time.Now().Add(orderRetryPeriod)
	timeout := r.orderTimeout.duration()
	for r.ctx.Err() == nil && time.Now().Before(deadline) {
		c, stop := context.WithTimeout(r.ctx, timeout)
		began := time.Now()
		err := f(c)
		stop()
		if err == nil {
			r.orderTimeout.observe(time.Since(began))
			r.owner.deps.Metrics.Time("order_duration", "answered", time.Since(began))
			return true
		}
		if r.stepDownIfFenced(err) {
			return false
		}
		r.owner.deps.Metrics.Event("orders", "repeated")
		timeout *= 2
	}
	return false
}

// stepDownIfFenced ends the reign if a server obeys a later owner.
func (r *term) stepDownIfFenced(err error) bool {
	var f *FencedError
	if !errors.As(err, &f) {
		return false
	}
	r.stepDown(f.Error())
	return true
}

func (r *term) requestAdvice(x scheduler.AdviceRequest) {
	c, stop := context.WithTimeout(r.ctx, adviceTimeout)
	defer stop()
	asked := time.Now()
	m, valid, err := r.owner.deps.Adviser.Advise(c, x.Step, x.Servers)
	if err != nil {
		r.owner.deps.Metrics.Event("advice", "failed")
		if r.ctx.Err() == nil {
			r.owner.logDecision(decision.Dependency, "no advice on "+x.Step+": "+err.Error(), r.token)
		}
		return
	}
	r.owner.deps.Metrics.Event("advice", "answered")
	r.update(func(s *scheduler.Scheduler, _ time.Time) { s.SetAdvice(x.Step, m, asked.Add(valid)) })
}

// pollServer holds one server's runs and takes its ends until it is of no more use.
func (r *term) pollServer(id string) {
	missed := 1
	for r.ctx.Err() == nil {
		h, ok := r.nextPoll(id)
		if !ok {
			return
		}
		if err := r.poll(h, missed); err != nil {
			missed++
			r.pollMissed(h, missed, err)
			continue
		}
		missed = 0
		r.awaitEndsStored(id)
	}
}

// nextPoll is how to ask the server next; ok is false where there is no need of it any more.
func (r *term) nextPoll(id string) (scheduler.LeaseRequest, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	h, ok := r.scheduler.RenewLease(id, time.Now())
	if !ok {
		delete(r.pollers, id)
	}
	if r.confirmationAge() > maxUnconfirmedRenewal {
		h.LeaseUntil = 0
	}
	return h, ok
}

// poll asks a server once; after an answer that did not come it does not wait for an end.
func (r *term) poll(h scheduler.LeaseRequest, missed int) error {
	if !h.Server.Address.IsValid() {
		return &UnknownAddressError{Server: h.Server.ID}
	}
	wait := idlePollWait
	if h.ExpectsEnds {
		wait = busyPollWait
	}
	timeout := wait + pollSlack
	switch {
	case missed == 1:
		wait, timeout = 0, firstRetryTimeout
	case missed > 1:
		wait, timeout = 0, laterRetryTimeout
	}
	c, stop := context.WithTimeout(r.ctx, timeout)
	defer stop()
	l, err := r.owner.deps.Servers.Poll(c, h, uint64(r.token), wait)
	if err != nil {
		r.stepDownIfFenced(err)
		return err
	}
	r.update(func(s *scheduler.Scheduler, now time.Time) { s.ListingReceived(h.Server.ID, l, now) })
	return nil
}

// pollMissed takes note of a listing that did not come; one alone may be a lost answer.
func (r *term) pollMissed(h scheduler.LeaseRequest, missed int, err error) {
	if missed < unreachableAfter || r.ctx.Err() != nil {
		return
	}
	r.update(func(s *scheduler.Scheduler, now time.Time) {
		s.ServerUnreachable(h.Server.ID, h.Server.Born, now, err.Error())
	})
	wait.For(r.ctx, pollRetryInterval)
}

// unreachableAfter is how many listings in a row do not come from a server that is taken as silent.
const unreachableAfter = 2

// UnknownAddressError reports a server whose address is not known.
type UnknownAddressError struct {
	Server string
}

// Error describes the failure in one line.
func (e *UnknownAddressError) Error() string {
	return "the address of server " + e.Server + " is not known"
}

// awaitEndsStored waits until the server's ends are stored, so that the next look acknowledges them.
func (r *term) awaitEndsStored(id string) {
	deadline := time.Now().Add(endsStoredTimeout)
	for r.ctx.Err() == nil && time.Now().Before(deadline) {
		r.lock.Lock()
		pending := r.scheduler.HasUnstoredEnds(id)
		r.lock.Unlock()
		if !pending {
			return
		}
		wait.For(r.ctx, endsStoredInterval)
	}
}

// registrationSink takes the servers' registrations.
type registrationSink struct{ term *term }

// Reset takes all registrations anew.
func (k registrationSink) Reset(l []store.Item) {
	seen := map[string]bool{}
	for _, i := range l {
		seen[k.term.owner.deps.Registry.ID(i.Key)] = true
		k.Changed(store.Event{Item: i})
	}
	k.term.update(func(s *scheduler.Scheduler, now time.Time) {
		for _, v := range s.Servers() {
			if !seen[v.ID] {
				s.Unregister(v.ID, now)
			}
		}
	})
}

// Changed takes one registration.
func (k registrationSink) Changed(e store.Event) {
	r := k.term
	id := r.owner.deps.Registry.ID(e.Key)
	if e.Removed {
		r.update(func(s *scheduler.Scheduler, now time.Time) { s.Unregister(id, now) })
		return
	}
	v, err := r.owner.deps.Registry.Decode(e.Item)
	if err != nil {
		r.owner.logDecision(decision.Server, "registration "+e.Key+" is ignored: "+err.Error(), e.Revision)
		return
	}
	r.update(func(s *scheduler.Scheduler, now time.Time) { s.Register(v, now) })
	r.ensurePolling(v)
}

// Lost notes that the store was not reached.
func (k registrationSink) Lost(err error) {
	k.term.owner.logDecision(decision.Dependency, "registrations lost: "+err.Error(), k.term.token)
}

// ensurePolling has the server held.
func (r *term) ensurePolling(v server.Server) {
	r.lock.Lock()
	polling := r.pollers[v.ID]
	r.pollers[v.ID] = true
	r.lock.Unlock()
	if !polling {
		r.spawn(func() { r.pollServer(v.ID) })
	}
}
