package backend

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/request"
)

const (
	slowFactor       = 10
	serviceTimeSigma = 0.3
	// HeaderNonce is the request header whose value is echoed in the response body.
	HeaderNonce = "Bench-Nonce"
	// HeaderServiceTime is the request header that overrides the mean service time, in microseconds.
	HeaderServiceTime = "Bench-Work-Us"
	// HealthPath is the path of the health check.
	HealthPath = "/health"
)

// Server simulates one backend server with a fixed number of slots.
type Server struct {
	Name            string
	recorder        *Recorder
	meanServiceTime time.Duration
	slots           chan struct{}
	mode            atomic.Int32
	lastStarted     atomic.Value
	// lastByService maps the first path segment to the time.Time at which a request below it last started.
	lastByService sync.Map
	started       atomic.Int64
	refused       atomic.Int64
	lost          atomic.Bool
	interrupted   atomic.Int64
	address       netip.AddrPort

	lock   sync.Mutex
	random *rand.Rand
	server *http.Server
}

// New returns a server that runs up to slots requests at once, with the mean service time for requests that set none.
func New(name string, r *Recorder, slots int, meanServiceTime time.Duration, seed uint64) *Server {
	return &Server{
		Name: name, recorder: r, meanServiceTime: meanServiceTime,
		slots:  make(chan struct{}, slots),
		random: rand.New(rand.NewPCG(seed, seed^0x9e3779b9)),
	}
}

// Start listens on the address and serves until Stop. It returns an error if the address cannot be bound.
func (s *Server) Start(a netip.AddrPort) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.address = a
	h := &http.Server{Handler: s}
	s.lock.Lock()
	s.server = h
	s.lock.Unlock()
	go func() { _ = h.Serve(l) }()
	return nil
}

// Stop closes the listener and all connections, and counts the requests in progress as interrupted.
func (s *Server) Stop() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.interrupted.Add(int64(len(s.slots)))
	_ = s.server.Close()
}

// MarkLost marks the server as permanently lost, so that a reboot does not restart it.
func (s *Server) MarkLost() {
	s.lost.Store(true)
}

// Lost reports whether the server is permanently lost.
func (s *Server) Lost() bool {
	return s.lost.Load()
}

// Interrupted returns the number of requests that were in progress when the server was stopped.
func (s *Server) Interrupted() int64 {
	return s.interrupted.Load()
}

// Restart listens again on the address of the last Start.
func (s *Server) Restart() error {
	return s.Start(s.address)
}

// SetMode sets the mode for all requests that arrive from now on.
func (s *Server) SetMode(m Mode) {
	s.mode.Store(int32(m))
}

// Started returns the number of requests that the server has started to run.
func (s *Server) Started() int64 {
	return s.started.Load()
}

// Refused returns the number of requests that the server rejected without running them.
func (s *Server) Refused() int64 {
	return s.refused.Load()
}

// LastStartedFor returns when the server last started a request whose first path segment is the service's name. It is
// the zero time if there was none.
func (s *Server) LastStartedFor(service string) time.Time {
	v, _ := s.lastByService.Load(service)
	t, _ := v.(time.Time)
	return t
}

func firstPathSegment(path string) string {
	p, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return p
}

// LastStarted returns when the server last started a request, or the zero time if there was none.
func (s *Server) LastStarted() time.Time {
	t, _ := s.lastStarted.Load().(time.Time)
	return t
}

// ServeHTTP handles one request or health check according to the current mode.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m := Mode(s.mode.Load())
	if r.URL.Path == HealthPath {
		s.health(w, m)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(request.HeaderRequestID)
	if m == Refusing || m == Leaving {
		s.refuse(w, id, m == Leaving)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.refuse(w, id, false)
		return
	}
	if m == Silent {
		<-r.Context().Done()
		return
	}
	s.run(w, r, m, id, len(b))
}

func (s *Server) health(w http.ResponseWriter, m Mode) {
	if m == Leaving {
		w.Header().Set(request.HeaderLeaving, "true")
	}
	if m == Failing || m == Silent {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func (s *Server) refuse(w http.ResponseWriter, id string, leaving bool) {
	s.refused.Add(1)
	h := w.Header()
	h.Set(request.HeaderRequestID, id)
	h.Set(request.HeaderOutcome, "notRun")
	if leaving {
		h.Set(request.HeaderLeaving, "true")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, m Mode, id string, body int) {
	started := time.Now()
	s.started.Add(1)
	s.lastStarted.Store(started)
	s.lastByService.Store(firstPathSegment(r.URL.Path), started)
	s.recorder.recordStart(id, r.Header.Get(request.HeaderKey))
	d := s.serviceTime(r, m)
	t := time.NewTimer(d)
	defer t.Stop()
	cancelled := false
	select {
	case <-t.C:
	case <-r.Context().Done():
		cancelled = true
	}
	s.recorder.recordBusy(time.Since(started).Seconds(), cancelled || exceedsDeadline(r, time.Since(started)))
	if !cancelled {
		s.respond(w, r, m, id, body)
	}
}

func exceedsDeadline(r *http.Request, d time.Duration) bool {
	n, err := strconv.ParseInt(r.Header.Get(request.HeaderDeadline), 10, 64)
	return err == nil && d > time.Duration(n)*time.Millisecond
}

// serviceTime draws a service time from a log-normal distribution with the configured mean.
func (s *Server) serviceTime(r *http.Request, m Mode) time.Duration {
	mean := s.meanServiceTime
	if n, err := strconv.ParseInt(r.Header.Get(HeaderServiceTime), 10, 64); err == nil {
		mean = time.Duration(n) * time.Microsecond
	}
	if m == Slow {
		mean *= slowFactor
	}
	s.lock.Lock()
	x := s.random.NormFloat64()
	s.lock.Unlock()
	return time.Duration(float64(mean) * math.Exp(serviceTimeSigma*x-serviceTimeSigma*serviceTimeSigma/2))
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, m Mode, id string, body int) {
	nonce := r.Header.Get(HeaderNonce)
	text := fmt.Sprintf("%s %d %s", nonce, body, s.Name)
	h := w.Header()
	h.Set(request.HeaderRequestID, id)
	h.Set(request.HeaderVM, s.Name)
	switch m {
	case Failing:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, text)
	case MismatchedID:
		h.Set(request.HeaderRequestID, id+"x")
		_, _ = io.WriteString(w, "another's "+text)
	case Truncating, Overlong:
		s.writeWrongLength(w, m, id, text)
	default:
		_, _ = io.WriteString(w, text)
	}
}

// writeWrongLength writes a response whose body is shorter or longer than its Content-Length.
func (s *Server) writeWrongLength(w http.ResponseWriter, m Mode, id, text string) {
	c, b, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	n := len(text) + 7
	if m == Overlong {
		n = len(text) - 3
	}
	fmt.Fprintf(b, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", request.HeaderRequestID, id, n, text)
	_ = b.Flush()
	if m == Overlong {
		time.Sleep(time.Second)
	}
}
