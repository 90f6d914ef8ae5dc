package operator

import (
	"crypto/subtle"
	"fmt"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
)

// TokenError reports a change without the operators' token.
type TokenError struct{}

// Error describes the failure in one line.
func (*TokenError) Error() string {
	return "changes need the operators' token"
}

func (s *Server) authorised(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !certified(r) && !s.tokened(r) {
			refuse(w, trace.Wrap(&TokenError{}))
			return
		}
		if !s.changes.Allow() {
			refuse(w, trace.Wrap(&RateError{}))
			return
		}
		f(w, r)
	}
}

// RateError reports more changes than an entry takes.
type RateError struct{}

// Error describes the failure in one line.
func (*RateError) Error() string {
	return fmt.Sprintf("an entry takes at most %d changes a second", mostChanges)
}

// certified says that the operator showed a certificate that the authority signed.
func certified(r *http.Request) bool {
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
}

func (s *Server) tokened(r *http.Request) bool {
	t := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return s.token != "" && subtle.ConstantTimeCompare([]byte(t), []byte(s.token)) == 1
}
