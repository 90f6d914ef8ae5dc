package owner

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

const (
	// orderRetryPeriod bounds an order to a server and its retries. The server's listing shows the outcome of orders
	// without an answer.
	orderRetryPeriod = scheduler.StartOrderPeriod
	// orderRetryPause is the time between the first attempt of an order that failed and the next one. It doubles with each
	// attempt.
	orderRetryPause = 10 * time.Millisecond
)

// sendOrders sends each order in a goroutine of its own, as soon as the limit allows it, and logs the decisions.
func (r *term) sendOrders(o scheduler.Orders) {
	defer r.owner.deps.Account.Since(processor.Orders, time.Now())
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
		r.orders.add(r.spawn, func() { r.startRun(x) })
	}
	for _, x := range o.Stops {
		r.orders.add(r.spawn, func() {
			r.sendOrder(x.Server, func(c context.Context) error { return r.owner.deps.Servers.Stop(c, x, r.fencingToken(x.Server)) })
		})
	}
	for _, x := range o.Paces {
		r.spawn(func() {
			answered := r.sendOrder(x.Server, func(c context.Context) error { return r.owner.deps.Servers.Pace(c, x, r.fencingToken(x.Server)) })
			if !answered && r.ctx.Err() == nil {
				r.update(processor.Other, func(s *scheduler.Scheduler, _ time.Time) { s.PaceUnanswered(x) })
			}
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
// repeated until it is answered. An order that was taken back is not repeated: a server that has restarted under its ID would carry it
// out.
func (r *term) startRun(x scheduler.StartOrder) {
	a, clock, attempts := scheduler.NoAnswer, time.Duration(0), 0
	ok := r.retryOrder(x.Server, func() bool { return r.awaitsStart(x) }, func(c context.Context) error {
		var err error
		attempts++
		a, clock, err = r.owner.deps.Servers.Start(c, x, r.fencingToken(x.Server))
		return err
	})
	if r.ctx.Err() != nil {
		return
	}
	switch {
	case attempts == 0:
		a = scheduler.Undelivered
	case !ok || attempts > 1 && a != scheduler.Started:
		// An earlier attempt may have started the run even if this one was refused.
		a, clock = scheduler.NoAnswer, 0
	}
	r.owner.deps.Metrics.Event("starts", a.String())
	r.update(processor.StartAnswer, func(s *scheduler.Scheduler, now time.Time) { s.StartAnswered(x, a, clock, now) })
}

// sendOrder sends an order to stop or pace a run, and reports whether it was answered.
func (r *term) sendOrder(v server.Server, f func(context.Context) error) bool {
	answered := r.retryOrder(v, func() bool { return r.isCurrent(v) }, f)
	if !answered && r.ctx.Err() == nil {
		r.owner.logDecision(decision.Server, "no answer to an order", r.token)
	}
	return answered
}

// retryOrder repeats an idempotent order to a server, with a doubled pause and timeout each time, until it is answered,
// orderRetryPeriod is over or the order is no longer valid. It reports whether there was an answer.
func (r *term) retryOrder(v server.Server, valid func() bool, f func(context.Context) error) bool {
	deadline := time.Now().Add(orderRetryPeriod)
	timeout, pause := r.orderTimeout.duration(), orderRetryPause
	for r.ctx.Err() == nil && time.Now().Before(deadline) && valid() {
		c, stop := context.WithTimeout(r.ctx, min(timeout, time.Until(deadline)))
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

// awaitsStart reports whether the run of an order is still to be started.
func (r *term) awaitsStart(x scheduler.StartOrder) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.AwaitsStart(x)
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
	c, stop := context.WithTimeout(r.ctx, x.Timeout)
	defer stop()
	asked := time.Now()
	ids := []string{}
	for _, v := range x.Servers {
		ids = append(ids, v.ID)
	}
	m, valid, err := r.owner.deps.Adviser.Advise(c, x.Task.StepName(), ids)
	if r.ctx.Err() != nil {
		return
	}
	if err != nil {
		r.owner.deps.Metrics.Event("advice", "failed")
		r.owner.logDecision(decision.Dependency, "no advice for step "+x.Task.StepName()+": "+err.Error(), r.token)
		r.update(processor.Other, func(s *scheduler.Scheduler, now time.Time) { s.AdviceFailed(x, now) })
		return
	}
	r.owner.deps.Metrics.Event("advice", "answered")
	r.update(processor.Other, func(s *scheduler.Scheduler, now time.Time) { s.AdviceReceived(x, m, asked.Add(valid), now) })
}
