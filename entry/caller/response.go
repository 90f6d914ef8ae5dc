package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/dispatch"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/outcome"
	"github.com/tarragonbank/tarragonbank/fleet/request"
)

// ErrorResponse is the body of an answer that the entry itself gives.
type ErrorResponse struct {
	RequestID    string `json:"requestId"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

func (x *exchange) refuseError(err error) outcome.Outcome {
	var r *dispatch.RefusedError
	if !errors.As(err, &r) {
		return x.refuse(admission.NoCapacity, unwrapped(err), notReadyRetry)
	}
	return x.refuse(r.Reason, detail(r.Reason), r.RetryAfter)
}

// refuse answers that the request did not run.
func (x *exchange) refuse(r admission.Reason, detail string, after time.Duration) outcome.Outcome {
	return x.answerOutcome(outcome.NotRun, r, detail, after)
}

func (x *exchange) answerOutcome(o outcome.Outcome, r admission.Reason, detail string, after time.Duration) outcome.Outcome {
	if !r.Temporary() {
		after = 0
	}
	x.write(status(r), o, r.String(), detail, after)
	return o
}

func (x *exchange) write(code int, o outcome.Outcome, reason, detail string, after time.Duration) {
	n := ErrorResponse{RequestID: x.id, Outcome: o.String(), Reason: reason, Detail: detail, RetryAfterMs: after.Milliseconds()}
	h := x.writer.Header()
	x.stamp(o)
	h.Set(request.HeaderReason, reason)
	h.Set("Content-Type", "application/json")
	if after > 0 {
		h.Set(request.HeaderRetryAfter, strconv.FormatInt(after.Milliseconds(), 10))
		h.Set("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	}
	x.writer.WriteHeader(code)
	if x.http.Method != http.MethodHead {
		_ = json.NewEncoder(x.writer).Encode(n)
	}
	x.record(decision.Refuse, o, reason)
}

func (x *exchange) record(k decision.Kind, o outcome.Outcome, reason string) {
	d := time.Since(x.started)
	x.server.metrics.Request(x.service.Name, o.String(), reason, d)
	x.server.log.Add(decision.Record{
		Time: time.Now(), Kind: k, Request: x.id, Service: x.service.Name, Pool: x.service.Pool,
		Reason: o.String() + " " + reason, Duration: d,
	})
}

func status(r admission.Reason) int {
	switch r {
	case admission.UnknownService:
		return http.StatusNotFound
	case admission.BadRequest:
		return http.StatusBadRequest
	case admission.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case admission.DuplicateKey:
		return http.StatusConflict
	case admission.Overloaded:
		return http.StatusTooManyRequests
	case admission.DeadlinePassed:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

func detail(r admission.Reason) string {
	switch r {
	case admission.Overloaded:
		return "the request could not be answered by its deadline"
	case admission.NoCapacity:
		return "no backend server of the pool can be used"
	case admission.DeadlinePassed:
		return "the request waited too long to be answered by its deadline"
	case admission.CallerLeft:
		return "the caller left"
	default:
		return r.String()
	}
}

func unwrapped(err error) string {
	return trace.Unwrap(err).Error()
}
