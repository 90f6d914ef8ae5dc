package ingress

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// MaxHeaderBytes is the size up to which a request's header is read.
	MaxHeaderBytes = 64 << 10
	// RetryAfter is when a client whose request was refused for lack of memory should come back.
	RetryAfter = time.Second
	// smallCost is the estimated memory up to which a request is never refused. The limit of connections bounds these.
	smallCost = 32 << 10
)

type contextKey struct{}

// Protect makes a server that serves the listener keep to its limits.
func (l *Listener) Protect(s *http.Server) {
	s.MaxHeaderBytes = MaxHeaderBytes
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, connOf(n))
	}
	s.ConnState = func(n net.Conn, x http.ConnState) {
		if c := connOf(n); c != nil && x == http.StateIdle {
			l.setPhase(c, idle)
		}
	}
	h := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(h, w, r) })
}

// connOf returns the connection below a connection of the server, which may be a TLS connection.
func connOf(n net.Conn) *Conn {
	if t, ok := n.(interface{ NetConn() net.Conn }); ok {
		n = t.NetConn()
	}
	c, _ := n.(*Conn)
	return c
}

// serve handles a request. One without a body has arrived, another one has once ReadBody has read its body.
func (l *Listener) serve(h http.Handler, w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(contextKey{}).(*Conn)
	if c == nil {
		h.ServeHTTP(w, r)
		return
	}
	defer l.setPhase(c, finished)
	l.endHeader(c, HeaderBytes(r))
	if r.ContentLength == 0 {
		if !l.begin(c) {
			l.busy.ServeHTTP(w, r)
			return
		}
	}
	h.ServeHTTP(w, r)
}

// fieldOverhead is the number of bytes of a header field beside its name and value.
const fieldOverhead = 4

// HeaderBytes returns the size of a request's line and header fields.
func HeaderBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for k, l := range r.Header {
		for _, v := range l {
			n += len(k) + len(v) + fieldOverhead
		}
	}
	return int64(n)
}

// begin begins to handle the request of a connection, and reports whether there is room for it. There is for one request alone, and for
// small ones.
func (l *Listener) begin(c *Conn) bool {
	l.lock.Lock()
	room := c.cost() <= smallCost || l.queues[handled].Len() == 0 || l.handledBytes+c.cost() <= l.limits.MemoryBytes
	if room && c.element != nil {
		c.enter(handled, time.Now())
	}
	l.lock.Unlock()
	if !room {
		l.report(tooManyHandled)
	}
	return room
}

// endHeader tells how many of the bytes that were received are the header. The others belong to the body.
func (l *Listener) endHeader(c *Conn, n int64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if c.element != nil {
		l.account(c, -c.cost())
	}
	c.inBody = true
	if n < c.header {
		c.header, c.body = n, c.body+c.header-n
	}
	if c.element != nil {
		l.account(c, c.cost())
	}
}

// refuse tells a client to come back, since there is no memory for its request.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// LimitRequests returns a handler that passes at most n requests at a time to h, and refuses others with status 503 and a Retry-After
// header.
func LimitRequests(h http.Handler, n int) http.Handler {
	free := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case free <- struct{}{}:
			defer func() { <-free }()
			h.ServeHTTP(w, r)
		default:
			refuse(w, r)
		}
	})
}

// BusyError reports that a request was read, but that there is no memory to handle it.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string {
	return "too many requests are being handled"
}

// ReadBody reads the body of a request within the timeout, 0 for none. It fails with an http.MaxBytesError if the body is longer than
// the limit, with a BusyError if there is no memory to handle the request, and otherwise with the error of the connection. The
// connection of a body that was not read to its end is closed after the response.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: limit}
	}
	x := http.NewResponseController(w)
	if timeout > 0 {
		// Only the writers of tests have no deadlines.
		_ = x.SetReadDeadline(time.Now().Add(timeout))
	}
	size := limit
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	b, err := readAll(http.MaxBytesReader(w, r.Body, limit), size)
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, err
	}
	_ = x.SetReadDeadline(time.Time{})
	if c, _ := r.Context().Value(contextKey{}).(*Conn); c != nil && !c.listener.begin(c) {
		return nil, &BusyError{}
	}
	return b, nil
}
