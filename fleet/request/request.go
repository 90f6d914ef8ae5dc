package request

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/priority"
	"github.com/tarragonbank/tarragonbank/fleet/service"
)

// Limits of header values.
const (
	MaxKeyBytes  = 255
	MaxTeamBytes = 64
	MaxDeadline  = 10 * time.Minute
)

// Request holds the parsed headers of a request and the service that it is for.
type Request struct {
	ID         string
	Service    string
	Team       string
	Key        string
	Priority   priority.Priority
	Idempotent bool
	Deadline   time.Time
}

// Parse reads the headers of a request for the service s and fills in its defaults. A request is idempotent only
// if the service allows a retry of the path. Parse fails with a HeaderError.
func Parse(now time.Time, method, path string, h http.Header, s service.Service) (Request, error) {
	r := Request{Service: s.Name, Priority: priority.Normal, Deadline: now.Add(s.Timeout)}
	for _, f := range []func(http.Header) error{
		r.readPriority,
		r.readTeam,
		r.readKey,
		func(h http.Header) error { return r.readDeadline(now, h) },
		func(h http.Header) error { return r.readIdempotent(method, h) },
	} {
		if err := f(h); err != nil {
			return Request{}, trace.Wrap(err)
		}
	}
	r.Idempotent = r.Idempotent && s.AllowsRetry(path)
	return r, nil
}

func (r *Request) readPriority(h http.Header) error {
	v := h.Get(HeaderPriority)
	if v == "" {
		return nil
	}
	p, err := priority.PriorityString(v)
	if err != nil {
		return &HeaderError{Header: HeaderPriority, Expected: "urgent, high, normal or low", Found: v}
	}
	r.Priority = p
	return nil
}

func (r *Request) readTeam(h http.Header) error {
	r.Team = h.Get(HeaderTeam)
	if len(r.Team) > MaxTeamBytes {
		return &HeaderError{Header: HeaderTeam, Expected: "at most 64 bytes", Found: r.Team}
	}
	return nil
}

func (r *Request) readKey(h http.Header) error {
	r.Key = h.Get(HeaderKey)
	if len(r.Key) > MaxKeyBytes {
		return &HeaderError{Header: HeaderKey, Expected: "at most 255 bytes", Found: r.Key}
	}
	return nil
}

func (r *Request) readDeadline(now time.Time, h http.Header) error {
	v := h.Get(HeaderDeadline)
	if v == "" {
		return nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n <= 0 || n > MaxDeadline.Milliseconds() {
		return &HeaderError{Header: HeaderDeadline, Expected: "1 to 600000 milliseconds", Found: v}
	}
	r.Deadline = now.Add(time.Duration(n) * time.Millisecond)
	return nil
}

func (r *Request) readIdempotent(method string, h http.Header) error {
	v := h.Get(HeaderIdempotent)
	if v == "" {
		r.Idempotent = idempotentMethod(method)
		return nil
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		return &HeaderError{Header: HeaderIdempotent, Expected: "true or false", Found: v}
	}
	r.Idempotent = b
	return nil
}

// idempotentMethod reports whether the HTTP method is idempotent by definition.
func idempotentMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}
