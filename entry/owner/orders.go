package owner

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	// orderRetryPeriod bounds an order to a server and its retries. The server's listing shows the outcome of orders
	// without an answer.
	orderRetryPeriod = 900 * time.Millisecond
	// orderRetryPause is the time between the first attempt of an order that failed and the next one. It doubles with each
	// attempt.
	orderRetryPause = 10 * time.Millisecond
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
	// endsStoredInterval is the time between the checks.
	endsStoredTimeout  = 300 * time.Millisecond
	endsStoredInterval = 10 * time.Millisecond
	// unansweredPollsPerCore is the number of polls a second, for each of the owner's cores, of servers that have not answered
	// lately, unansweredPollBurst the time over which unused ones are kept.
	unansweredPollsPerCore = 1500
	unansweredPollBurst    = 100 * time.Millisecond
	// maxTurnDelay is how long the polls of silent servers with runs put off those of the others, which include new servers.
	maxTurnDelay = 500 * time.Millisecond
	// maxUrgentSpread is the time over which the polls of silent servers with runs are spread at most. It is shorter than the
	// scheduler's leaseRecordDelay: a server in the lease record gets no renewal before another commit and another poll.
	maxUrgentSpread = 400 * time.Millisecond
	// adviceTimeout bounds a request to the advice service, which handles one request at a time.
	adviceTimeout = 2 * time.Second
)

// sendOrders sends each order in a goroutine of its own, and logs the decisions.
func (r *term) sendOrders(o scheduler.Orders) {
	for _, n := range o.Decisions {
		r.logSchedulerDecision(n)
	}
	for k, n := range o.ReservationCounts {
		for range n {
			r.owner.deps.Metrics.Event("reservations", k.String())
		}
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
			r.sendOrder(x.Server, func(c context.Context) error { return r.owner.deps.Servers.Stop(c, x, r.fencingToken(x.Server)) })
		})
	}
	for _, x := range o.Paces {
		r.spawn(func() {
			r.sendOrder(x.Server, func(c context.Context) error { return r.owner.deps.Servers.Pace(c, x, r.fencingToken(x.Server)) })
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
		Reason: n.Reason, Age: n.Age, Revision: uint64(r.token), Cause: causeText(n.Cause),
	})
}

// causeText returns the word of a cause for the log, empty if there is none.
func causeText(c scheduler.Cause) string {
	if c == scheduler.CauseOther {
		return ""
	}
	return c.String()
}

// startRun orders a server to start a run. The order is idempotent, since the server has one run of each number, so it is
// repeated until it is answered.
func (r *term) startRun(x scheduler.StartOrder) {
	a, clock, attempts := scheduler.NoAnswer, time.Duration(0), 0
	ok := r.retryOrder(x.Server, func(c context.Context) error {
		var err error
		attempts++
		a, clock, err = r.owner.deps.Servers.Start(c, x, r.fencingToken(x.Server))
		return err
	})
	if r.ctx.Err() != nil {
		return
	}
	if !ok || attempts > 1 && a != scheduler.Started {
		// An earlier attempt may have started the run even if this one was refused.
		a, clock = scheduler.NoAnswer, 0
	}
	r.owner.deps.Metrics.Event("starts", a.String())
	r.update(func(s *scheduler.Scheduler, now time.Time) { s.StartAnswered(x, a, clock, now) })
}

// sendOrder sends an order whose effect the server's listing shows.
func (r *term) sendOrder(v server.Server, f func(context.Context) error) {
	if !r.retryOrder(v, f) && r.ctx.Err() == nil {
		r.owner.logDecision(decision.Server, "no answer to an order", r.token)
	}
}

// retryOrder repeats an idempotent order to a server, with a doubled pause and timeout each time, until it is answered,
// orderRetryPeriod is over or the server is known to have restarted. It reports whether there was an answer.
func (r *term) retryOrder(v server.Server, f func(context.Context) error) bool {
	deadline := time.Now().Add(orderRetryPeriod)
	timeout, pause := r.orderTimeout.duration(), orderRetryPause
	for r.ctx.Err() == nil && time.Now().Before(deadline) && r.isCurrent(v) {
		c, stop := context.WithTimeout(r.ctx, timeout)
		began := time.Now()
		err := f(c)
		stop()
		if err == nil {
			r.orderTimeout.observe(time.Since(began))
			r.owner.deps.Metrics.Time("order_duration", "answered", time.Since(began))
			return true
		}
		if r.stepDownIfFenced(v, err) {
			return false
		}
		r.owner.deps.Metrics.Event("orders", "repeated")
		wait.For(r.ctx, pause)
		timeout, pause = 2*timeout, 2*pause
	}
	return false
}

// restartBits is the number of low bits of a fencing token that count the restarts of the server.
const restartBits = 16

// fencingToken returns the token of calls to a server. It is higher than those of previous owners and of calls to earlier
// incarnations of the server.
func (r *term) fencingToken(v server.Server) uint64 {
	return uint64(r.token)<<restartBits + uint64(min(v.Restarts, 1<<restartBits-1))
}

// isCurrent reports whether no later incarnation of the server is known.
func (r *term) isCurrent(v server.Server) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.IsCurrent(v)
}

// stepDownIfFenced ends the term if the error is a FencedError, and reports whether it does. A server that has restarted also
// rejects what was addressed to its earlier incarnations.
func (r *term) stepDownIfFenced(v server.Server, err error) bool {
	var f *FencedError
	if !errors.As(err, &f) || !r.isCurrent(v) {
		return false
	}
	r.stepDown(f.Error())
	return true
}

// requestAdvice asks the advice service about a step and passes the answer to the scheduler.
func (r *term) requestAdvice(x scheduler.AdviceRequest) {
	c, stop := context.WithTimeout(r.ctx, adviceTimeout)
	defer stop()
	asked := time.Now()
	m, valid, err := r.owner.deps.Adviser.Advise(c, x.Step, x.Servers)
	if err != nil {
		r.owner.deps.Metrics.Event("advice", "failed")
		if r.ctx.Err() == nil {
			r.owner.logDecision(decision.Dependency, "no advice for step "+x.Step+": "+err.Error(), r.token)
		}
		return
	}
	r.owner.deps.Metrics.Event("advice", "answered")
	r.update(func(s *scheduler.Scheduler, _ time.Time) { s.SetAdvice(x.Step, m, asked.Add(valid)) })
}

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

// awaitPollTurn spreads the polls of servers that have not answered lately: all servers when the term begins, and those that
// are unreachable. Without that, more of them fall due at a time than this process can carry out, and it takes its own delay
// for silence of the servers. Servers with runs go first, within maxUrgentSpread, since their leases are running. One that has
// missed a single poll does not wait: it may get runs meanwhile, whose leases nothing would renew.
func (r *term) awaitPollTurn(id string) {
	now := time.Now()
	r.lock.Lock()
	runs := r.scheduler.ServerLoad(id, now).Runs
	r.lock.Unlock()
	n := r.unansweredPolls
	if runs == 0 {
		wait.For(r.ctx, n.ReserveN(now, 1).DelayFrom(now))
		return
	}
	if n.TokensAt(now) > -maxTurnDelay.Seconds()*float64(n.Limit()) {
		n.ReserveN(now, 1)
	}
	wait.For(r.ctx, r.urgentPolls.ReserveN(now, 1).DelayFrom(now))
}

// limitUrgentPolls sets the limit of the polls of silent servers with runs to that of the others or, if it is more, to as many
// as there are servers with runs in maxUrgentSpread.
func (r *term) limitUrgentPolls() {
	r.lock.Lock()
	n := r.scheduler.ServersWithRuns()
	r.lock.Unlock()
	r.urgentPolls.SetLimit(max(r.unansweredPolls.Limit(), rate.Limit(float64(n)/maxUrgentSpread.Seconds())))
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
	r.update(func(s *scheduler.Scheduler, now time.Time) {
		if restarted {
			s.ServerRestarted(h.Server.ID, l.StartedAt, now)
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
	r.update(func(s *scheduler.Scheduler, now time.Time) {
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

// registrationSink passes the servers' registrations to the scheduler.
type registrationSink struct{ term *term }

// Reset applies a full read of the registrations and unregisters servers that are not among them.
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

// Changed applies one change of a registration.
func (k registrationSink) Changed(e store.Event) {
	r := k.term
	id := r.owner.deps.Registry.ID(e.Key)
	if e.Deleted {
		r.update(func(s *scheduler.Scheduler, now time.Time) { s.Unregister(id, now) })
		return
	}
	v, err := r.owner.deps.Registry.Decode(e.Item)
	if err != nil {
		r.owner.logDecision(decision.Server, "registration "+e.Key+" ignored: "+err.Error(), e.Revision)
		return
	}
	r.owner.rememberServer(v)
	r.update(func(s *scheduler.Scheduler, now time.Time) { s.Register(v, now) })
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
	r.update(func(s *scheduler.Scheduler, _ time.Time) {
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
