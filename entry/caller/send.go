package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/backend"
	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/dispatch"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/health"
	"github.com/tarragonbank/tarragonbank/fleet/outcome"
	"github.com/tarragonbank/tarragonbank/fleet/request"
	"github.com/tarragonbank/tarragonbank/fleet/retry"
)

const (
	mostAttempts = 4
	mostRefusals = 64
)

// failure is an attempt without a whole answer.
type failure interface {
	error
	// Sent says whether bytes of the request may have left.
	Sent() bool
}

// result is what one attempt came to.
type result struct {
	answer *backend.Response
	err    error
}

// refused says that the backend server itself did not run the request.
func (r result) refused() bool {
	return r.err == nil && r.answer.Refused
}

// outcome says what is known of the request after the attempt.
func (r result) outcome() outcome.Outcome {
	if r.refused() {
		return outcome.NotRun
	}
	if r.err == nil {
		return outcome.Ran
	}
	var f failure
	if errors.As(r.err, &f) && !f.Sent() {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// again says whether another attempt is allowed and may help.
func (r result) again(idempotent bool) bool {
	switch r.outcome() {
	case outcome.NotRun:
		return true
	case outcome.Unknown:
		return idempotent
	default:
		return idempotent && r.answer.Status >= http.StatusInternalServerError
	}
}

// send has the request run and answers the caller; it returns the outcome that the caller was told.
func (x *exchange) send(ctx context.Context) outcome.Outcome {
	s, err := x.server.dispatcher.Acquire(ctx, x.request, x.service)
	if err != nil {
		return x.refuseError(err)
	}
	sent := outcome.NotRun
	var whole *backend.Response
	for n := 1; ; n++ {
		r := x.attempt(ctx, s, n)
		if sent == outcome.NotRun {
			sent = r.outcome()
		}
		if r.outcome() == outcome.Ran {
			whole = r.answer
		} else if whole != nil {
			r = result{answer: whole}
		}
		if n >= attempts(r) || ctx.Err() != nil || !r.again(x.request.Idempotent) {
			return x.finish(ctx, r, sent)
		}
		next, err := x.next(ctx, s, r, n)
		if err != nil {
			return x.finish(ctx, r, sent)
		}
		s = next
	}
}

// next waits for a slot for the next attempt. After a refusal the VM's pause bounds the attempts,
// after a failure the retry budget does.
func (x *exchange) next(ctx context.Context, s *dispatch.Slot, r result, n int) (*dispatch.Slot, error) {
	if r.refused() {
		return s.Requeue(ctx)
	}
	time.Sleep(retry.Backoff(n))
	next, err := s.Retry(ctx)
	if err == nil {
		x.server.metrics.Retry(x.service.Name)
	}
	return next, err
}

// attempts is how often a request may be sent, given how the last attempt ended.
func attempts(r result) int {
	if r.refused() {
		return mostRefusals
	}
	return mostAttempts
}

func (x *exchange) attempt(ctx context.Context, s *dispatch.Slot, n int) result {
	x.server.log.Add(s.Decision(x.id, n))
	q := backend.Call{
		VM: s.VM, ID: x.id, Attempt: n,
		Method: x.http.Method, Host: x.http.Host, URL: x.http.URL,
		Header: x.header(), Body: x.body,
		RequireFresh: !x.request.Idempotent,
		RequireEcho:  s.Service.EchoRequestID,
	}
	if x.request.Idempotent {
		q.StallTimeout = s.StallTimeout
	}
	a, err := x.server.backend.Do(ctx, q)
	r := result{answer: a, err: err}
	x.learn(s, r)
	if r.refused() {
		s.BackOff()
	} else {
		s.Done(err == nil)
	}
	return r
}

// learn tells the pool what the attempt saw of the VM.
func (x *exchange) learn(s *dispatch.Slot, r result) {
	if e, ok := event(r); ok {
		s.Observe(e)
	}
	if r.err == nil && r.answer.Leaving {
		s.Observe(health.LeaveAnnounced)
	}
}

func event(r result) (health.Event, bool) {
	var dial *backend.DialError
	var stall *backend.StallError
	var cancelled *backend.CancelledError
	var broken *backend.BrokenConnectionError
	switch {
	case r.refused():
		return health.Refused, true
	case r.err == nil && r.answer.Status < http.StatusInternalServerError:
		return health.Answered, true
	case r.err == nil:
		return health.Failed, true
	case errors.As(r.err, &dial), errors.As(r.err, &broken) && broken.NoResponse:
		return health.DialFailed, true
	case errors.As(r.err, &stall):
		return health.NewConnectionStalled, stall.NewConnection
	case errors.As(r.err, &cancelled):
		return health.Answered, false
	default:
		return health.Failed, true
	}
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func (x *exchange) header() http.Header {
	h := x.http.Header.Clone()
	for _, n := range hopHeaders {
		h.Del(n)
	}
	left := max(time.Until(x.request.Deadline).Milliseconds(), 1)
	h.Set(request.HeaderDeadline, strconv.FormatInt(left, 10))
	h.Set(request.HeaderPriority, x.request.Priority.String())
	return h
}

// finish answers with the last attempt's result.
func (x *exchange) finish(ctx context.Context, r result, sent outcome.Outcome) outcome.Outcome {
	if r.err == nil && !r.answer.Refused {
		return x.pass(r.answer)
	}
	if sent != outcome.NotRun {
		return x.unknown(ctx, r.err)
	}
	if r.err == nil {
		return x.refuse(admission.BackendRefused, "the backend servers refused the request", claimRetry)
	}
	if ctx.Err() != nil {
		return x.refuse(admission.DeadlinePassed, "no backend server was reached in time", claimRetry)
	}
	return x.refuse(admission.Unreachable, "no backend server could be reached", claimRetry)
}

// pass gives the whole answer to the caller.
func (x *exchange) pass(a *backend.Response) outcome.Outcome {
	h := x.writer.Header()
	for n, v := range a.Header {
		h[n] = v
	}
	for _, n := range append(hopHeaders, request.HeaderLeaving) {
		h.Del(n)
	}
	if x.http.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	x.stamp(outcome.Ran)
	x.writer.WriteHeader(a.Status)
	_, err := x.writer.Write(a.Body)
	reason := admission.None.String()
	if err != nil {
		reason = admission.CallerLeft.String()
	}
	x.record(decision.Answer, outcome.Ran, reason)
	return outcome.Ran
}

func (x *exchange) unknown(ctx context.Context, err error) outcome.Outcome {
	detail := "the request may have run, but no whole answer came"
	if err != nil {
		detail += ": " + unwrapped(err)
	}
	code := http.StatusBadGateway
	if ctx.Err() != nil {
		code = http.StatusGatewayTimeout
	}
	x.write(code, outcome.Unknown, "noWholeAnswer", detail, 0)
	return outcome.Unknown
}

// stamp states the outcome in the answer's head.
func (x *exchange) stamp(o outcome.Outcome) {
	h := x.writer.Header()
	h.Set(request.HeaderRequestID, x.id)
	h.Set(request.HeaderOutcome, o.String())
}
