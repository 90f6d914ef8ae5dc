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
	// orderLimit bounds an order to a server with its repetitions; what is left open is settled by the server's listing.
	orderLimit = 900 * time.Millisecond
	// idleWait is how long a listing waits for an end on a server that runs nothing finite, busyWait on others:
	// a lost answer hides ends for as long.
	idleWait = time.Second
	busyWait = 400 * time.Millisecond
	// holdSlack is how long after its wait a listing may come.
	holdSlack = 250 * time.Millisecond
	// firstLook bounds the first listing, which does not wait; secondLook the one after a listing without an answer.
	firstLook  = 500 * time.Millisecond
	secondLook = 300 * time.Millisecond
	// holdRetry is between listings of a server that does not answer.
	holdRetry = 200 * time.Millisecond
	// settleWait bounds the wait until listed ends are stored; they would be listed again at once.
	settleWait = 300 * time.Millisecond
	settlePoll = 10 * time.Millisecond
	// adviceLimit bounds a question to the advice service, which answers one at a time.
	adviceLimit = 2 * time.Second
)

// carryOut sends orders, each on its own, and writes decisions to the log.
func (r *reign) carryOut(o scheduler.Orders) {
	for _, n := range o.Decisions {
		r.log(n)
	}
	for k, n := range o.EndCounts {
		for range n {
			r.owner.ports.Metrics.Event("ends", k.String())
		}
	}
	for _, x := range o.Starts {
		r.spawn(func() { r.start(x) })
	}
	for _, x := range o.Stops {
		r.spawn(func() {
			r.order(func(c context.Context) error { return r.owner.ports.Servers.Stop(c, x, uint64(r.epoch)) })
		})
	}
	for _, x := range o.Paces {
		r.spawn(func() {
			r.order(func(c context.Context) error { return r.owner.ports.Servers.Pace(c, x, uint64(r.epoch)) })
		})
	}
	for _, v := range o.ResumePolling {
		r.ensure(v)
	}
	for _, x := range o.AdviceRequests {
		r.spawn(func() { r.consult(x) })
	}
}

func (r *reign) log(n scheduler.Decision) {
	k := decision.Task
	switch {
	case n.Task == "" && n.Job != "":
		k = decision.Job
	case n.Task == "":
		k = decision.Server
	}
	r.owner.ports.Log.Add(decision.Record{
		Time: time.Now(), Kind: k, Request: n.Job, Task: n.Task, VM: n.Server, Pool: n.Pool, Run: n.Run,
		Reason: n.Reason, Age: n.Age, Revision: uint64(r.epoch),
	})
}

// start has a server start a run. An order without an answer is repeated, since it is idempotent: the server has
// one run of each number.
func (r *reign) start(x scheduler.StartOrder) {
	a, clock, tries := scheduler.NoAnswer, time.Duration(0), 0
	ok := r.persistOrder(func(c context.Context) error {
		var err error
		tries++
		a, clock, err = r.owner.ports.Servers.Start(c, x, uint64(r.epoch))
		return err
	})
	if r.ctx.Err() != nil {
		return
	}
	if !ok || tries > 1 && a != scheduler.Started {
		// A refusal says nothing of the tries before it, which may have been carried out.
		a, clock = scheduler.NoAnswer, 0
	}
	r.owner.ports.Metrics.Event("starts", a.String())
	r.do(func(s *scheduler.Scheduler, now time.Time) { s.StartAnswered(x, a, clock, now) })
}

// order sends an order whose effect the server's listing shows.
func (r *reign) order(f func(context.Context) error) {
	if !r.persistOrder(f) && r.ctx.Err() == nil {
		r.owner.note(decision.Server, "order not answered", r.epoch)
	}
}

// persistOrder repeats an idempotent order until it is answered, with more time each, or its life is over.
func (r *reign) persistOrder(f func(context.Context) error) bool {
	until := time.Now().Add(orderLimit)
	limit := r.ordering.limit()
	for r.ctx.Err() == nil && time.Now().Before(until) {
		c, stop := context.WithTimeout(r.ctx, limit)
		began := time.Now()
		err := f(c)
		stop()
		if err == nil {
			r.ordering.observe(time.Since(began))
			r.owner.ports.Metrics.Time("order_duration", "answered", time.Since(began))
			return true
		}
		if r.fenced(err) {
			return false
		}
		r.owner.ports.Metrics.Event("orders", "repeated")
		limit *= 2
	}
	return false
}

// fenced ends the reign if a server obeys a later owner.
func (r *reign) fenced(err error) bool {
	var f *FencedError
	if !errors.As(err, &f) {
		return false
	}
	r.depose(f.Error())
	return true
}

func (r *reign) consult(x scheduler.AdviceRequest) {
	c, stop := context.WithTimeout(r.ctx, adviceLimit)
	defer stop()
	asked := time.Now()
	m, valid, err := r.owner.ports.Adviser.Advise(c, x.Step, x.Servers)
	if err != nil {
		r.owner.ports.Metrics.Event("advice", "failed")
		if r.ctx.Err() == nil {
			r.owner.note(decision.Dependency, "no advice on "+x.Step+": "+err.Error(), r.epoch)
		}
		return
	}
	r.owner.ports.Metrics.Event("advice", "answered")
	r.do(func(s *scheduler.Scheduler, _ time.Time) { s.SetAdvice(x.Step, m, asked.Add(valid)) })
}

// keep holds one server's runs and takes its ends until it is of no more use.
func (r *reign) keep(id string) {
	missed := 1
	for r.ctx.Err() == nil {
		h, ok := r.nextHold(id)
		if !ok {
			return
		}
		if err := r.look(h, missed); err != nil {
			missed++
			r.missed(h, missed, err)
			continue
		}
		missed = 0
		r.awaitStored(id)
	}
}

// nextHold is how to ask the server next; ok is false where there is no need of it any more.
func (r *reign) nextHold(id string) (scheduler.LeaseRequest, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	h, ok := r.scheduler.RenewLease(id, time.Now())
	if !ok {
		delete(r.keepers, id)
	}
	if r.since() > holdWithout {
		h.LeaseUntil = 0
	}
	return h, ok
}

// look asks a server once; after an answer that did not come it does not wait for an end.
func (r *reign) look(h scheduler.LeaseRequest, missed int) error {
	if !h.Server.Address.IsValid() {
		return &UnreachableError{Server: h.Server.ID}
	}
	wait := idleWait
	if h.ExpectsEnds {
		wait = busyWait
	}
	limit := wait + holdSlack
	switch {
	case missed == 1:
		wait, limit = 0, secondLook
	case missed > 1:
		wait, limit = 0, firstLook
	}
	c, stop := context.WithTimeout(r.ctx, limit)
	defer stop()
	l, err := r.owner.ports.Servers.Hold(c, h, uint64(r.epoch), wait)
	if err != nil {
		r.fenced(err)
		return err
	}
	r.do(func(s *scheduler.Scheduler, now time.Time) { s.ListingReceived(h.Server.ID, l, now) })
	return nil
}

// missed takes note of a listing that did not come; one alone may be a lost answer.
func (r *reign) missed(h scheduler.LeaseRequest, missed int, err error) {
	if missed < silentAfter || r.ctx.Err() != nil {
		return
	}
	r.do(func(s *scheduler.Scheduler, now time.Time) {
		s.ServerUnreachable(h.Server.ID, h.Server.StartedAt, now, err.Error())
	})
	wait.For(r.ctx, holdRetry)
}

// silentAfter is how many listings in a row do not come from a server that is taken as silent.
const silentAfter = 2

// UnreachableError reports a server whose address is not known.
type UnreachableError struct {
	Server string
}

// Error describes the failure in one line.
func (e *UnreachableError) Error() string {
	return "the address of server " + e.Server + " is not known"
}

// awaitStored waits until the server's ends are stored, so that the next look acknowledges them.
func (r *reign) awaitStored(id string) {
	limit := time.Now().Add(settleWait)
	for r.ctx.Err() == nil && time.Now().Before(limit) {
		r.lock.Lock()
		behind := r.scheduler.HasUnstoredEnds(id)
		r.lock.Unlock()
		if !behind {
			return
		}
		wait.For(r.ctx, settlePoll)
	}
}

// registrySink takes the servers' registrations.
type registrySink struct{ reign *reign }

// Reset takes all registrations anew.
func (k registrySink) Reset(l []store.Item) {
	seen := map[string]bool{}
	for _, i := range l {
		seen[k.reign.owner.ports.Registry.ID(i.Key)] = true
		k.Changed(store.Event{Item: i})
	}
	k.reign.do(func(s *scheduler.Scheduler, now time.Time) {
		for _, v := range s.Servers() {
			if !seen[v.ID] {
				s.Unregister(v.ID, now)
			}
		}
	})
}

// Changed takes one registration.
func (k registrySink) Changed(e store.Event) {
	r := k.reign
	id := r.owner.ports.Registry.ID(e.Key)
	if e.Deleted {
		r.do(func(s *scheduler.Scheduler, now time.Time) { s.Unregister(id, now) })
		return
	}
	v, err := r.owner.ports.Registry.Decode(e.Item)
	if err != nil {
		r.owner.note(decision.Server, "registration "+e.Key+" is ignored: "+err.Error(), e.Revision)
		return
	}
	r.do(func(s *scheduler.Scheduler, now time.Time) { s.Register(v, now) })
	r.ensure(v)
}

// Failed notes that the store was not reached.
func (k registrySink) Failed(err error) {
	k.reign.owner.note(decision.Dependency, "registrations lost: "+err.Error(), k.reign.epoch)
}

// ensure has the server held.
func (r *reign) ensure(v server.Server) {
	r.lock.Lock()
	known := r.keepers[v.ID]
	r.keepers[v.ID] = true
	r.lock.Unlock()
	if !known {
		r.spawn(func() { r.keep(v.ID) })
	}
}
