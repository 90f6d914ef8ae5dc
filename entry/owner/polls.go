package owner

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	// idlePollWait is how long a poll waits for a run end on a server without runs, busyPollWait on other servers. A lost
	// answer delays the report of ends for as long, and a silent server is noticed after this time.
	idlePollWait = time.Second
	busyPollWait = 400 * time.Millisecond
	// finalRenewalLead is how long before the renewal of leases ends the polls return, so that the next ones renew them once
	// more. It covers the way of the answers to a busy owner.
	finalRenewalLead = 150 * time.Millisecond
	// pollSlack is how long after the wait of a poll its answer may arrive.
	pollSlack = 250 * time.Millisecond
	// laterRetryTimeout bounds a poll after two or more missed ones, firstRetryTimeout the first poll of a server and one
	// after a single missed poll. These polls do not wait for ends.
	laterRetryTimeout = 500 * time.Millisecond
	firstRetryTimeout = 300 * time.Millisecond
	// pollRetryInterval is the time between polls of an unreachable server.
	pollRetryInterval = 200 * time.Millisecond
	// endsStoredTimeout bounds the wait until listed ends are stored. Before that, a poll would list them again at once.
	endsStoredTimeout = 300 * time.Millisecond
)

// pollServer renews a server's lease and applies its listings until the scheduler needs no further polls.
func (r *term) pollServer(id string) {
	// The first poll does not wait for ends, and the server is unreachable if it fails.
	missed, reachable := 1, false
	for r.ctx.Err() == nil {
		if !reachable {
			r.awaitPollTurn(id)
		}
		h, ok := r.nextPoll(id)
		if !ok {
			r.owner.forgetServer(id)
			return
		}
		restarted, err := r.poll(h, missed)
		switch {
		case err != nil:
			missed++
			reachable = reachable && missed < unreachableAfter
			r.pollMissed(h, missed, err)
		case restarted:
			missed = 1
		default:
			missed, reachable = 0, true
			r.awaitEndsStored(id)
		}
	}
}

// nextPoll returns the next poll of the server. The result is false if the scheduler needs no further polls. No lease is
// renewed once the ownership has been unconfirmed for scheduler.MaxUnconfirmedRenewal.
func (r *term) nextPoll(id string) (scheduler.PollRequest, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	h, ok := r.scheduler.PreparePoll(id, time.Now())
	if !ok {
		delete(r.pollers, id)
	}
	if r.confirmationAge() > scheduler.MaxUnconfirmedRenewal {
		h.LeaseUntil = 0
	}
	return h, ok
}

// poll polls a server once and applies its listing, unless it reports that another incarnation has answered: that may go on to
// accept orders to the earlier one until it is polled itself. After missed polls it does not wait for ends.
func (r *term) poll(h scheduler.PollRequest, missed int) (restarted bool, err error) {
	if !h.Server.Address.IsValid() {
		return false, &UnknownAddressError{Server: h.Server.ID}
	}
	wait := r.pollWait(h)
	timeout := wait + pollSlack
	switch {
	case missed == 1:
		wait, timeout = 0, firstRetryTimeout
	case missed > 1:
		wait, timeout = 0, laterRetryTimeout
	}
	c, stop := context.WithTimeout(r.ctx, timeout)
	defer stop()
	l, err := r.owner.deps.Servers.Poll(c, h, r.fencingToken(h.Server), wait)
	if err != nil {
		r.stepDownIfFenced(h.Server, err)
		return false, err
	}
	restarted = !l.StartedAt.IsZero() && !l.StartedAt.Equal(h.Server.StartedAt)
	r.update(processor.Listing, func(s *scheduler.Scheduler, now time.Time) {
		if restarted {
			s.ServerRestarted(h.Server.ID, h.Server.StartedAt, l.StartedAt, now)
			return
		}
		s.ListingReceived(h.Server.ID, l, now)
	})
	return restarted, nil
}

// pollWait returns how long a poll waits for ends. While the store does not confirm the ownership, it ends finalRenewalLead
// before leases are no longer renewed, so that the last renewal comes as late as possible.
func (r *term) pollWait(h scheduler.PollRequest) time.Duration {
	wait := idlePollWait
	if h.HasRuns {
		wait = busyPollWait
	}
	if left := scheduler.MaxUnconfirmedRenewal - finalRenewalLead - r.confirmationAge(); left > 0 {
		wait = min(wait, left)
	}
	return wait
}

// pollMissed reports the server as unreachable after unreachableAfter missed polls. A single miss may be a lost answer.
func (r *term) pollMissed(h scheduler.PollRequest, missed int, err error) {
	if missed < unreachableAfter || r.ctx.Err() != nil {
		return
	}
	r.update(processor.Listing, func(s *scheduler.Scheduler, now time.Time) {
		s.ServerUnreachable(h.Server.ID, h.Server.StartedAt, now, err.Error())
	})
	wait.For(r.ctx, pollRetryInterval)
}

// unreachableAfter is the number of missed polls in a row after which a server is unreachable.
const unreachableAfter = 2

// UnknownAddressError reports a server without a valid address.
type UnknownAddressError struct {
	Server string
}

// Error names the server.
func (e *UnknownAddressError) Error() string {
	return "the address of server " + e.Server + " is not known"
}

// awaitEndsStored waits until the server's listed ends are stored, so that the next poll acknowledges them.
func (r *term) awaitEndsStored(id string) {
	var timeout <-chan time.Time
	for {
		r.lock.Lock()
		pending, applied := r.scheduler.HasUnstoredEnds(id), r.applied
		r.lock.Unlock()
		if !pending {
			return
		}
		if timeout == nil {
			t := time.NewTimer(endsStoredTimeout)
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-applied:
		case <-timeout:
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// registrationSink passes the servers' registrations to the scheduler.
type registrationSink struct{ term *term }

// Reset applies a full read of the registrations and unregisters servers that are not among them.
func (k registrationSink) Reset(l []store.Item) {
	seen := map[string]bool{}
	for _, i := range l {
		seen[k.term.owner.deps.Registry.ID(i.Key)] = true
		k.Changed(store.Event{Item: i})
	}
	k.term.update(processor.Registration, func(s *scheduler.Scheduler, now time.Time) {
		for _, v := range s.Servers() {
			if !seen[v.ID] {
				s.Unregister(v.ID, now)
			}
		}
	})
}

// Changed applies one change of a registration.
func (k registrationSink) Changed(e store.Event) {
	r := k.term
	id := r.owner.deps.Registry.ID(e.Key)
	if e.Deleted {
		r.update(processor.Registration, func(s *scheduler.Scheduler, now time.Time) { s.Unregister(id, now) })
		return
	}
	v, err := r.owner.deps.Registry.Decode(e.Item)
	if err != nil {
		r.owner.logDecision(decision.Server, "registration "+e.Key+" ignored: "+err.Error(), e.Revision)
		return
	}
	r.owner.rememberServer(v)
	r.update(processor.Registration, func(s *scheduler.Scheduler, now time.Time) { s.Register(v, now) })
	r.ensurePolling(v)
}

func (o *Owner) rememberServer(v server.Server) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.servers[v.ID] = v
}

// forgetServer forgets a server that needs no further polls.
func (o *Owner) forgetServer(id string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	delete(o.servers, id)
}

// pollRemembered polls the servers with restored runs that this entry knows from an earlier term, and forgets the others. Their
// registrations may have expired while the store was unavailable.
func (r *term) pollRemembered() {
	o := r.owner
	o.lock.Lock()
	known := o.servers
	o.servers = map[string]server.Server{}
	o.lock.Unlock()
	l := []server.Server{}
	r.update(processor.Registration, func(s *scheduler.Scheduler, _ time.Time) {
		for _, v := range s.Servers() {
			if k, ok := known[v.ID]; ok && s.Recall(k) {
				l = append(l, k)
			}
		}
	})
	for _, v := range l {
		o.rememberServer(v)
		r.ensurePolling(v)
	}
}

// Failed logs that the store cannot be reached.
func (k registrationSink) Failed(err error) {
	k.term.owner.logDecision(decision.Dependency, "watching the registrations failed: "+err.Error(), k.term.token)
}

// ensurePolling starts polling a server unless a goroutine does so already.
func (r *term) ensurePolling(v server.Server) {
	r.lock.Lock()
	polling := r.pollers[v.ID]
	r.pollers[v.ID] = true
	r.lock.Unlock()
	if !polling {
		r.spawn(func() { r.pollServer(v.ID) })
	}
}
