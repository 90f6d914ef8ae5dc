package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/document"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, changeLimit))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		reply(w, http.StatusBadRequest, failure{Error: err.Error(), Kind: "body"})
		return false
	}
	return true
}

// failure is the answer to what was refused.
type failure struct {
	Error string `json:"error"`
	Kind  string `json:"kind"`
}

func refuse(w http.ResponseWriter, err error) {
	c, k := classify(err)
	reply(w, c, failure{Error: trace.Unwrap(err).Error(), Kind: k})
}

func classify(err error) (int, string) {
	var base *BaseError
	var behind *BehindError
	var unsettled *UnsettledError
	var gone *GoneError
	var token *TokenError
	var away *store.UnavailableError
	var often *RateError
	var verb *VerbError
	var budget *BudgetError
	switch {
	case isDocument(err):
		return http.StatusUnprocessableEntity, "document"
	case errors.As(err, &base):
		return http.StatusConflict, "base"
	case errors.As(err, &behind):
		return http.StatusServiceUnavailable, "behind"
	case errors.As(err, &unsettled):
		return http.StatusGatewayTimeout, "unsettled"
	case errors.As(err, &verb):
		return http.StatusNotFound, "verb"
	case errors.As(err, &budget):
		return http.StatusConflict, "budget"
	case errors.As(err, &often):
		return http.StatusTooManyRequests, "rate"
	case errors.As(err, &gone):
		return http.StatusNotFound, "gone"
	case errors.As(err, &token):
		return http.StatusUnauthorized, "token"
	case errors.As(err, &away):
		return http.StatusServiceUnavailable, "store"
	default:
		return http.StatusInternalServerError, "internal"
	}
}

func isDocument(err error) bool {
	var a *document.SyntaxError
	var b *document.UnknownKeyError
	var c *document.TypeError
	var d *document.RangeError
	return errors.As(err, &a) || errors.As(err, &b) || errors.As(err, &c) || errors.As(err, &d)
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
