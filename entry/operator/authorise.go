package operator

import (
	"crypto/subtle"
	"fmt"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
)

// UnauthorisedError reports a change without a client certificate or the operators' token.
type UnauthorisedError struct{}

// Error describes the failure in one line.
func (*UnauthorisedError) Error() string {
	return "changes need the operators' token"
}

// requireAuthorisation wraps a handler of changes: it refuses unauthorised requests and limits the rate of the others.
func (s *Server) requireAuthorisation(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !hasClientCertificate(r) && !s.hasToken(r) {
			writeError(w, trace.Wrap(&UnauthorisedError{}))
			return
		}
		if !s.limiter.Allow() {
			writeError(w, trace.Wrap(&RateLimitError{}))
			return
		}
		f(w, r)
	}
}

// RateLimitError reports that changes exceed maxChangesPerSecond.
type RateLimitError struct{}

// Error describes the failure in one line.
func (*RateLimitError) Error() string {
	return fmt.Sprintf("an entry takes at most %d changes a second", maxChangesPerSecond)
}

// hasClientCertificate reports whether the client presented a certificate that the configured authority signed.
func hasClientCertificate(r *http.Request) bool {
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
}

// hasToken reports whether the request carries the operators' token. It compares in constant time, so that the response
// time reveals nothing of the token.
func (s *Server) hasToken(r *http.Request) bool {
	t := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return s.token != "" && subtle.ConstantTimeCompare([]byte(t), []byte(s.token)) == 1
}
