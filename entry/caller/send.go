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
	maxAttempts = 4
	// maxAttemptsRefused applies if the last attempt was refused.
	maxAttemptsRefused = 64
)

// attemptError is the error of an attempt without a complete response.
type attemptError interface {
	error
	// Sent reports whether bytes of the request may have been sent.
	Sent() bool
}

// result is the response or the error of one attempt.
type result struct {
	response *backend.Response
	err      error
}

// refused reports whether the backend server stated that it did not run the request.
func (r result) refused() bool {
	return r.err == nil && r.response.Refused
}

// outcome returns the outcome of the attempt.
func (r result) outcome() outcome.Outcome {
	if r.refused() {
		return outcome.NotRun
	}
	if r.err == nil {
		return outcome.Ran
	}
	var f attemptError
	if errors.As(r.err, &f) && !f.Sent() {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// retryable reports whether another attempt is allowed and may succeed: always if the request has not run, for
// idempotent requests also if the outcome is unknown or the response is a server error.
func (r result) retryable(idempotent bool) bool {
	switch r.outcome() {
	case outcome.NotRun:
		return true
	case outcome.Unknown:
		return idempotent
	default:
		return idempotent && r.response.Status >= http.StatusInternalServerError
	}
}

// send sends the request to backend servers until an attempt succeeds or a retry is not allowed, and responds to the
// caller. It returns the outcome in the response. A complete response from an earlier attempt is preferred to the
// failure of a later one, and a request that may have run in any attempt is never reported as not run.
func (x *exchange) send(ctx context.Context) outcome.Outcome {
	s, err := x.server.dispatcher.Acquire(ctx, x.request, x.service)
	if err != nil {
		return x.refuseError(err)
	}
	overall := outcome.NotRun
	var complete *backend.Response
	for n := 1; ; n++ {
		r := x.attempt(ctx, s, n)
		if overall == outcome.NotRun {
			overall = r.outcome()
		}
		if r.outcome() == outcome.Ran {
			complete = r.response
		} else if complete != nil {
			r = result{response: complete}
		}
		if n >= attemptLimit(r) || ctx.Err() != nil || !r.retryable(x.request.Idempotent) {
			return x.respond(ctx, r, overall)
		}
		next, err := x.nextSlot(ctx, s, r, n)
		if err != nil {
			return x.respond(ctx, r, overall)
		}
		s = next
	}
}

// nextSlot waits for the slot of the next attempt. After a refusal, the VM's backoff limits the rate of attempts;
// after a failure, the retry backoff and the retry budget do.
func (x *exchange) nextSlot(ctx context.Context, s *dispatch.Slot, r result, n int) (*dispatch.Slot, error) {
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

// attemptLimit returns the maximum number of attempts, given the last one's result.
func attemptLimit(r result) int {
	if r.refused() {
		return maxAttemptsRefused
	}
	return maxAttempts
}

// attempt sends the request to the slot's VM once and frees the slot.
func (x *exchange) attempt(ctx context.Context, s *dispatch.Slot, n int) result {
	x.server.log.Add(s.Decision(x.id, n))
	q := backend.Call{
		VM: s.VM, ID: x.id, Attempt: n,
		Method: x.http.Method, Host: x.http.Host, URL: x.http.URL,
		Header: x.requestHeader(), Body: x.body,
		RequireFresh: !x.request.Idempotent,
		RequireEcho:  s.Service.EchoRequestID,
	}
	if x.request.Idempotent {
		q.StallTimeout = s.StallTimeout
	}
	a, err := x.server.backend.Do(ctx, q)
	r := result{response: a, err: err}
	x.observe(s, r)
	if r.refused() {
		s.BackOff()
	} else {
		s.Done(err == nil)
	}
	return r
}

// observe records the health events that the attempt's result implies for the VM.
func (x *exchange) observe(s *dispatch.Slot, r result) {
	if e, ok := healthEvent(r); ok {
		s.Observe(e)
	}
	if r.err == nil && r.response.Leaving {
		s.Observe(health.LeaveAnnounced)
	}
}

// healthEvent returns the health event that a result implies, if any. Stalls on reused connections and cancelled
// requests imply none.
func healthEvent(r result) (health.Event, bool) {
	var dial *backend.DialError
	var stall *backend.StallError
	var cancelled *backend.CancelledError
	var broken *backend.BrokenConnectionError
	switch {
	case r.refused():
		return health.Refused, true
	case r.err == nil && r.response.Status < http.StatusInternalServerError:
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

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// requestHeader returns the header to forward, with the remaining time until the deadline, at least 1 ms.
func (x *exchange) requestHeader() http.Header {
	h := x.http.Header.Clone()
	for _, n := range hopByHopHeaders {
		h.Del(n)
	}
	remaining := max(time.Until(x.request.Deadline).Milliseconds(), 1)
	h.Set(request.HeaderDeadline, strconv.FormatInt(remaining, 10))
	h.Set(request.HeaderPriority, x.request.Priority.String())
	return h
}

// respond responds to the caller according to the last attempt's result and to overall, the outcome of the first
// attempt that may have run, or NotRun if there is none.
func (x *exchange) respond(ctx context.Context, r result, overall outcome.Outcome) outcome.Outcome {
	if r.err == nil && !r.response.Refused {
		return x.forward(r.response)
	}
	if overall != outcome.NotRun {
		return x.respondUnknown(ctx, r.err)
	}
	if r.err == nil {
		return x.refuse(admission.BackendRefused, "the backend servers refused the request", defaultRetryAfter)
	}
	if ctx.Err() != nil {
		return x.refuse(admission.DeadlinePassed, "no backend server was reached in time", defaultRetryAfter)
	}
	return x.refuse(admission.Unreachable, "no backend server could be reached", defaultRetryAfter)
}

// forward sends a backend server's response to the caller.
func (x *exchange) forward(a *backend.Response) outcome.Outcome {
	h := x.writer.Header()
	for n, v := range a.Header {
		h[n] = v
	}
	for _, n := range append(hopByHopHeaders, request.HeaderLeaving) {
		h.Del(n)
	}
	if x.http.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	x.setOutcomeHeaders(outcome.Ran)
	x.writer.WriteHeader(a.Status)
	_, err := x.writer.Write(a.Body)
	reason := admission.None.String()
	if err != nil {
		reason = admission.CallerLeft.String()
	}
	x.recordOutcome(decision.Answer, outcome.Ran, reason)
	return outcome.Ran
}

// respondUnknown responds that the request may have run.
func (x *exchange) respondUnknown(ctx context.Context, err error) outcome.Outcome {
	detail := "the request may have run, but no whole answer came"
	if err != nil {
		detail += ": " + errorText(err)
	}
	code := http.StatusBadGateway
	if ctx.Err() != nil {
		code = http.StatusGatewayTimeout
	}
	x.writeError(code, outcome.Unknown, "noWholeAnswer", detail, 0)
	return outcome.Unknown
}

// setOutcomeHeaders sets the request ID and the outcome in the response header.
func (x *exchange) setOutcomeHeaders(o outcome.Outcome) {
	h := x.writer.Header()
	h.Set(request.HeaderRequestID, x.id)
	h.Set(request.HeaderOutcome, o.String())
}
