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

// ErrorResponse is the body of a response that the entry itself creates.
type ErrorResponse struct {
	RequestID string `json:"requestId"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Detail    string `json:"detail"`
	// RetryAfterMs is how long to wait before a retry; it is left out if the reason is not temporary.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// refuseError refuses the request for the reason in a dispatch.RefusedError, or for lack of capacity.
func (x *exchange) refuseError(err error) outcome.Outcome {
	var r *dispatch.RefusedError
	if !errors.As(err, &r) {
		return x.refuse(admission.NoCapacity, errorText(err), notReadyRetryAfter)
	}
	return x.refuse(r.Reason, detail(r.Reason), r.RetryAfter)
}

// refuse responds that the request did not run; after is the retry delay.
func (x *exchange) refuse(r admission.Reason, detail string, after time.Duration) outcome.Outcome {
	return x.respondOutcome(outcome.NotRun, r, detail, after)
}

// respondOutcome responds with an outcome and the reason for it. It leaves out the retry delay if the reason is not
// temporary.
func (x *exchange) respondOutcome(o outcome.Outcome, r admission.Reason, detail string, after time.Duration) outcome.Outcome {
	if !r.Temporary() {
		after = 0
	}
	x.writeError(statusCode(r), o, r.String(), detail, after)
	return o
}

func (x *exchange) writeError(code int, o outcome.Outcome, reason, detail string, after time.Duration) {
	n := ErrorResponse{RequestID: x.id, Outcome: o.String(), Reason: reason, Detail: detail, RetryAfterMs: after.Milliseconds()}
	h := x.writer.Header()
	x.setOutcomeHeaders(o)
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
	x.recordOutcome(decision.Refuse, o, reason)
}

// recordOutcome counts the request in the metrics and logs the decision.
func (x *exchange) recordOutcome(k decision.Kind, o outcome.Outcome, reason string) {
	d := time.Since(x.started)
	x.server.metrics.Request(x.service.Name, o.String(), reason, d)
	x.server.log.Add(decision.Record{
		Time: time.Now(), Kind: k, Request: x.id, Service: x.service.Name, Pool: x.service.Pool,
		Reason: o.String() + " " + reason, Duration: d,
	})
}

func statusCode(r admission.Reason) int {
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

func errorText(err error) string {
	return trace.Unwrap(err).Error()
}
