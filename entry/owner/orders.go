package owner

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	// orderLimit bounds an order to a server; a later answer is settled by the server's listing.
	orderLimit = 800 * time.Millisecond
	// holdWait is how long a listing waits for an end.
	holdWait = time.Second
	// holdLimit bounds a listing with its wait.
	holdLimit = holdWait + 700*time.Millisecond
	// firstLook bounds the first listing, which does not wait.
	firstLook = 500 * time.Millisecond
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
	for _, n := range o.Notes {
		r.log(n)
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
	for _, x := range o.Consults {
		r.spawn(func() { r.consult(x) })
	}
}

func (r *reign) log(n scheduler.Note) {
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

func (r *reign) start(x scheduler.Start) {
	c, stop := context.WithTimeout(r.ctx, orderLimit)
	defer stop()
	a, clock, err := r.owner.ports.Servers.Start(c, x, uint64(r.epoch))
	if r.fenced(err) {
		return
	}
	if err != nil {
		a, clock = scheduler.NoAnswer, 0
	}
	r.owner.ports.Metrics.Event("starts", a.String())
	r.do(func(s *scheduler.Scheduler, now time.Time) { s.Answered(x, a, clock, now) })
}

// order sends an order whose effect the server's listing shows.
func (r *reign) order(f func(context.Context) error) {
	c, stop := context.WithTimeout(r.ctx, orderLimit)
	defer stop()
	if err := f(c); err != nil && !r.fenced(err) && r.ctx.Err() == nil {
		r.owner.note(decision.Server, "order not answered: "+err.Error(), r.epoch)
	}
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

func (r *reign) consult(x scheduler.Consult) {
	c, stop := context.WithTimeout(r.ctx, adviceLimit)
	defer stop()
	asked := time.Now()
	m, valid, err := r.owner.ports.Adviser.Advise(c, x.Step, x.Servers)
	if err != nil {
		if r.ctx.Err() == nil {
			r.owner.note(decision.Dependency, "no advice on "+x.Step+": "+err.Error(), r.epoch)
		}
		return
	}
	r.do(func(s *scheduler.Scheduler, _ time.Time) { s.Advised(x.Step, m, asked.Add(valid)) })
}

// keep holds one server's runs and takes its ends until it is of no more use.
func (r *reign) keep(id string) {
	first := true
	for r.ctx.Err() == nil {
		var h scheduler.Hold
		ok := false
		r.lock.Lock()
		h, ok = r.scheduler.Hold(id, time.Now())
		if !ok {
			delete(r.keepers, id)
		}
		r.lock.Unlock()
		if !ok {
			return
		}
		if r.since() > holdWithout {
			h.Until = 0
		}
		if !r.look(h, first) {
			first = true
			pause(r.ctx, holdRetry)
			continue
		}
		first = false
		r.awaitStored(id)
	}
}

// look asks a server once; the first look after a silence does not wait.
func (r *reign) look(h scheduler.Hold, first bool) bool {
	if !h.Server.Address.IsValid() {
		return false
	}
	wait, limit := holdWait, holdLimit
	if first {
		wait, limit = 0, firstLook
	}
	c, stop := context.WithTimeout(r.ctx, limit)
	defer stop()
	l, err := r.owner.ports.Servers.Hold(c, h, uint64(r.epoch), wait)
	if r.fenced(err) || r.ctx.Err() != nil {
		return false
	}
	if err != nil {
		r.do(func(s *scheduler.Scheduler, now time.Time) {
			s.Unreachable(h.Server.ID, h.Server.Born, now, err.Error())
		})
		return false
	}
	r.do(func(s *scheduler.Scheduler, now time.Time) { s.Listed(h.Server.ID, l, now) })
	return true
}

// awaitStored waits until the server's ends are stored, so that the next look acknowledges them.
func (r *reign) awaitStored(id string) {
	limit := time.Now().Add(settleWait)
	for r.ctx.Err() == nil && time.Now().Before(limit) {
		r.lock.Lock()
		behind := r.scheduler.Behind(id)
		r.lock.Unlock()
		if !behind {
			return
		}
		pause(r.ctx, settlePoll)
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
	if e.Removed {
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

// Lost notes that the store was not reached.
func (k registrySink) Lost(err error) {
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
