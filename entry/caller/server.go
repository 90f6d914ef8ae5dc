package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/entry/backend"
	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/dispatch"
	"github.com/tarragonbank/tarragonbank/entry/ingress"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/request"
	"github.com/tarragonbank/tarragonbank/fleet/service"
)

const (
	notReadyRetryAfter = time.Second
	// writeGracePeriod is how long after the deadline a caller may take to read its response.
	writeGracePeriod = 5 * time.Second
)

// Backend sends a request to a backend server once; see backend.Client.
type Backend interface {
	Do(ctx context.Context, q backend.Call) (*backend.Response, error)
}

// Logger records decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Metrics counts requests and retries.
type Metrics interface {
	Request(service, outcome, reason string, d time.Duration)
	Retry(service string)
}

// Server is the HTTP handler for the callers' requests.
type Server struct {
	name         string
	active       *activeconfig.Config
	dispatcher   *dispatch.Dispatcher
	backend      Backend
	claims       Decider
	log          Logger
	metrics      Metrics
	maxBodyBytes int64
	// instance distinguishes the request IDs of this process from those of earlier ones.
	instance string
	sequence atomic.Uint64
	inFlight atomic.Int64
	closed   atomic.Bool
}

// New creates a server for the entry with the name; request bodies are limited to maxBodyBytes.
func New(name string, a *activeconfig.Config, d *dispatch.Dispatcher, b Backend, c Decider, l Logger, m Metrics, maxBodyBytes int64) *Server {
	return &Server{
		name: name, active: a, dispatcher: d, backend: b, claims: c, log: l, metrics: m, maxBodyBytes: maxBodyBytes,
		instance: strconv.FormatUint(uint64(rand.Uint32()), 36),
	}
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Close makes the server refuse all new requests.
func (s *Server) Close() {
	s.closed.Store(true)
}

// ServeHTTP responds to one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.newExchange(w, r).serve()
}

// RefuseBusy refuses a request since there is no memory to handle it.
func (s *Server) RefuseBusy(w http.ResponseWriter, r *http.Request) {
	s.newExchange(w, r).refuse(admission.Overloaded, "too many requests are being handled", ingress.RetryAfter)
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		server: s, writer: w, http: r, started: time.Now(),
		id: s.name + "-" + s.instance + "-" + strconv.FormatUint(s.sequence.Add(1), 36),
	}
}

// exchange is one request of a caller and its response.
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

// serve validates the request, reads its body and sends it on, with the deadline as the limit.
func (x *exchange) serve() {
	if x.server.closed.Load() {
		x.refuse(admission.Leaving, "the entry is leaving", notReadyRetryAfter)
		return
	}
	c := x.server.active.Current()
	if c == nil {
		x.refuse(admission.NotReady, "the entry has no configuration yet", notReadyRetryAfter)
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
		x.refuse(admission.BadRequest, errorText(err), 0)
		return
	}
	q.ID = x.id
	x.request = q
	_ = http.NewResponseController(x.writer).SetWriteDeadline(q.Deadline.Add(writeGracePeriod))
	if !x.readBody() {
		return
	}
	ctx, stop := context.WithDeadline(x.http.Context(), q.Deadline)
	defer stop()
	x.claimAndSend(ctx)
}

// readBody reads the whole body, so that a slow caller does not occupy a slot and a retry can send the body again.
// If it fails, it refuses the request and returns false.
func (x *exchange) readBody() bool {
	l := x.server.maxBodyBytes
	if x.http.ContentLength == 0 {
		return true
	}
	b, err := ingress.ReadBody(x.writer, x.http, l, time.Until(x.request.Deadline))
	var large *http.MaxBytesError
	var busy *ingress.BusyError
	switch {
	case errors.As(err, &large):
		x.refuse(admission.BodyTooLarge, "the body is longer than "+strconv.FormatInt(l, 10)+" bytes", 0)
		return false
	case errors.As(err, &busy):
		x.refuse(admission.Overloaded, err.Error(), ingress.RetryAfter)
		return false
	case err != nil:
		x.refuse(admission.CallerLeft, "the body ended early", 0)
		return false
	}
	x.body = b
	return true
}

// claimAndSend claims the idempotency key of a request that has one and is not idempotent, sends the request and
// settles the claim. Admission is checked first, so that a request that would be refused does not claim its key.
func (x *exchange) claimAndSend(ctx context.Context) {
	if x.request.Idempotent || x.request.Key == "" {
		x.send(ctx)
		return
	}
	if err := x.server.dispatcher.Check(x.request, x.service); err != nil {
		x.refuseError(err)
		return
	}
	c, err := x.claimKey(ctx)
	if err != nil {
		x.refuseClaim(err)
		return
	}
	x.settle(c, x.send(ctx))
}
