package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/entry/ingress"
	"github.com/tarragonbank/tarragonbank/fleet/document"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// decodeBody decodes the JSON body of a request into v. If it is malformed, has unknown fields or exceeds maxBodyBytes,
// decodeBody answers the request with an error and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := ingress.ReadBody(w, r, maxBodyBytes, bodyTimeout)
	var busy *ingress.BusyError
	if errors.As(err, &busy) {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: err.Error(), Kind: "busy"})
		return false
	}
	if err == nil {
		d := json.NewDecoder(bytes.NewReader(b))
		d.DisallowUnknownFields()
		err = d.Decode(v)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error(), Kind: "body"})
		return false
	}
	return true
}

// errorResponse is the JSON body of a failed request; Kind is the class of the error.
type errorResponse struct {
	Error string `json:"error"`
	Kind  string `json:"kind"`
}

// writeError answers a request with an error and the status code of its class.
func writeError(w http.ResponseWriter, err error) {
	c, k := classifyError(err)
	writeJSON(w, c, errorResponse{Error: trace.Unwrap(err).Error(), Kind: k})
}

// classifyError returns the HTTP status code and the kind of an error.
func classifyError(err error) (int, string) {
	var staleBase *StaleBaseError
	var staleStore *StaleStoreError
	var noConfiguration *NoConfigurationError
	var unknown *UnknownOutcomeError
	var notFound *RevisionNotFoundError
	var unauthorised *UnauthorisedError
	var unavailable *store.UnavailableError
	var rateLimit *RateLimitError
	var invalid *InvalidActionError
	var budget *BudgetError
	switch {
	case isDocumentError(err):
		return http.StatusUnprocessableEntity, "document"
	case errors.As(err, &staleBase):
		return http.StatusConflict, "base"
	case errors.As(err, &staleStore):
		return http.StatusServiceUnavailable, "behind"
	case errors.As(err, &noConfiguration):
		return http.StatusServiceUnavailable, "noConfiguration"
	case errors.As(err, &unknown):
		return http.StatusGatewayTimeout, "unsettled"
	case errors.As(err, &invalid):
		return http.StatusNotFound, "verb"
	case errors.As(err, &budget):
		return http.StatusConflict, "budget"
	case errors.As(err, &rateLimit):
		return http.StatusTooManyRequests, "rate"
	case errors.As(err, &notFound):
		return http.StatusNotFound, "gone"
	case errors.As(err, &unauthorised):
		return http.StatusUnauthorized, "token"
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable, "store"
	default:
		return http.StatusInternalServerError, "internal"
	}
}

// isDocumentError reports whether the inventory or the rules in the request are invalid.
func isDocumentError(err error) bool {
	var a *document.SyntaxError
	var b *document.UnknownKeyError
	var c *document.TypeError
	var d *document.RangeError
	return errors.As(err, &a) || errors.As(err, &b) || errors.As(err, &c) || errors.As(err, &d)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
