package operator

import (
	"crypto/subtle"
	"fmt"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
)

// UnauthorisedError reports a change without the operators' token.
type UnauthorisedError struct{}

// Error describes the failure in one line.
func (*UnauthorisedError) Error() string {
	return "changes need the operators' token"
}

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

// RateLimitError reports more changes than an entry takes.
type RateLimitError struct{}

// Error describes the failure in one line.
func (*RateLimitError) Error() string {
	return fmt.Sprintf("an entry takes at most %d changes a second", maxChangesPerSecond)
}

// hasClientCertificate says that the operator showed a certificate that the authority signed.
func hasClientCertificate(r *http.Request) bool {
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
}

func (s *Server) hasToken(r *http.Request) bool {
	t := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return s.token != "" && subtle.ConstantTimeCompare([]byte(t), []byte(s.token)) == 1
}
