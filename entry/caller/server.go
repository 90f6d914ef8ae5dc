package caller

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/backend"
	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/dispatch"
	"github.com/tarragonbank/tarragonbank/entry/view"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/request"
	"github.com/tarragonbank/tarragonbank/fleet/service"
)

const (
	notReadyRetry = time.Second
	// writeSlack is how long after its deadline a caller may take to accept its answer.
	writeSlack = 5 * time.Second
)

// Backend sends a request once.
type Backend interface {
	Do(ctx context.Context, q backend.Call) (*backend.Response, error)
}

// Logger takes decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Metrics counts answers and retries.
type Metrics interface {
	Request(service, outcome, reason string, d time.Duration)
	Retry(service string)
}

// Server is the callers' side of the entry.
type Server struct {
	name       string
	view       *view.View
	dispatcher *dispatch.Dispatcher
	backend    Backend
	claims     Decider
	log        Logger
	metrics    Metrics
	bodyLimit  int64
	run        string
	sequence   atomic.Uint64
	inFlight   atomic.Int64
	closed     atomic.Bool
}

// New makes a server.
func New(name string, v *view.View, d *dispatch.Dispatcher, b Backend, c Decider, l Logger, m Metrics, bodyLimit int64) *Server {
	return &Server{
		name: name, view: v, dispatcher: d, backend: b, claims: c, log: l, metrics: m, bodyLimit: bodyLimit,
		run: strconv.FormatUint(uint64(rand.Uint32()), 36),
	}
}

// InFlight is how many requests are being served.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Close refuses all requests that come from now on.
func (s *Server) Close() {
	s.closed.Store(true)
}

// ServeHTTP answers one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{
		server: s, writer: w, http: r, started: time.Now(),
		id: s.name + "-" + s.run + "-" + strconv.FormatUint(s.sequence.Add(1), 36),
	}
	x.serve()
}

// exchange is one request on its way.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	http    *http.Request
	started time.Time
	id      string
	service service.Service
	request request.Request
	body    []byte
}

func (x *exchange) serve() {
	if x.server.closed.Load() {
		x.refuse(admission.Leaving, "the entry is leaving", notReadyRetry)
		return
	}
	c := x.server.view.Current()
	if c == nil {
		x.refuse(admission.NotReady, "the entry has no configuration yet", notReadyRetry)
		return
	}
	s, ok := c.Service(x.http.Host, x.http.URL.Path)
	if !ok {
		x.refuse(admission.UnknownService, "no service has this host and path", 0)
		return
	}
	x.service = s
	q, err := request.Parse(x.started, x.http.Method, x.http.URL.Path, x.http.Header, s)
	if err != nil {
		x.refuse(admission.BadRequest, unwrapped(err), 0)
		return
	}
	q.ID = x.id
	x.request = q
	_ = http.NewResponseController(x.writer).SetWriteDeadline(q.Deadline.Add(writeSlack))
	if !x.readBody() {
		return
	}
	ctx, stop := context.WithDeadline(x.http.Context(), q.Deadline)
	defer stop()
	x.run(ctx)
}

// readBody takes the whole body, so that no slot waits for a slow caller and a retry has it.
func (x *exchange) readBody() bool {
	l := x.server.bodyLimit
	if x.http.ContentLength == 0 {
		return true
	}
	c := http.NewResponseController(x.writer)
	_ = c.SetReadDeadline(x.request.Deadline)
	b, err := io.ReadAll(http.MaxBytesReader(x.writer, x.http.Body, l))
	_ = c.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		x.refuse(admission.BodyTooLarge, "the body is longer than "+strconv.FormatInt(l, 10)+" bytes", 0)
		return false
	case err != nil:
		x.refuse(admission.CallerLeft, "the body ended early", 0)
		return false
	}
	x.body = b
	return true
}

// run claims the key where there is one and sends the request.
func (x *exchange) run(ctx context.Context) {
	if x.request.Idempotent || x.request.Key == "" {
		x.send(ctx)
		return
	}
	if err := x.server.dispatcher.Check(x.request, x.service); err != nil {
		x.refuseError(err)
		return
	}
	c, err := x.take(ctx)
	if err != nil {
		x.refuseClaim(err)
		return
	}
	x.settle(c, x.send(ctx))
}
