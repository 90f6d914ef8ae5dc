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
	slowFactor = 10
	spread     = 0.3
	// HeaderNonce carries what the answer must repeat.
	HeaderNonce = "Bench-Nonce"
	// HeaderWork overrides the service time, in microseconds.
	HeaderWork = "Bench-Work-Us"
	// HealthPath answers whether the server takes work.
	HealthPath = "/health"
)

// Server is one backend server.
type Server struct {
	Name   string
	ledger *Recorder
	work   time.Duration
	slots  chan struct{}
	mode   atomic.Int32
	last   atomic.Value
	// paths holds when the server last began to run a request below each first part of a path.
	paths       sync.Map
	taken       atomic.Int64
	refused     atomic.Int64
	lost        atomic.Bool
	interrupted atomic.Int64
	address     netip.AddrPort

	lock   sync.Mutex
	random *rand.Rand
	server *http.Server
}

// New makes a server with slots that takes the mean time for each request.
func New(name string, l *Recorder, slots int, work time.Duration, seed uint64) *Server {
	return &Server{
		Name: name, ledger: l, work: work,
		slots:  make(chan struct{}, slots),
		random: rand.New(rand.NewPCG(seed, seed^0x9e3779b9)),
	}
}

// Start serves on the address.
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

// Stop closes all connections and the listener.
func (s *Server) Stop() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.interrupted.Add(int64(len(s.slots)))
	_ = s.server.Close()
}

// MarkLost has the server not come back from a reboot.
func (s *Server) MarkLost() {
	s.lost.Store(true)
}

// Lost says that the server does not come back.
func (s *Server) Lost() bool {
	return s.lost.Load()
}

// Interrupted is how many requests were cut by a stop.
func (s *Server) Interrupted() int64 {
	return s.interrupted.Load()
}

// Restart serves again on the same address.
func (s *Server) Restart() error {
	return s.Start(s.address)
}

// SetMode changes how the server behaves from the next request on.
func (s *Server) SetMode(m Mode) {
	s.mode.Store(int32(m))
}

// Started is how many requests the server has begun to run.
func (s *Server) Started() int64 {
	return s.taken.Load()
}

// Refused is how many requests the server refused.
func (s *Server) Refused() int64 {
	return s.refused.Load()
}

// LastStartedFor is when the server last began to run a request of the service whose paths begin with its name.
func (s *Server) LastStartedFor(service string) time.Time {
	v, _ := s.paths.Load(service)
	t, _ := v.(time.Time)
	return t
}

func firstPart(path string) string {
	p, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return p
}

// LastStarted is when the server last began to run a request.
func (s *Server) LastStarted() time.Time {
	t, _ := s.last.Load().(time.Time)
	return t
}

// ServeHTTP runs one request.
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
	s.taken.Add(1)
	s.last.Store(started)
	s.paths.Store(firstPart(r.URL.Path), started)
	s.ledger.run(id, r.Header.Get(request.HeaderKey))
	d := s.duration(r, m)
	t := time.NewTimer(d)
	defer t.Stop()
	cancelled := false
	select {
	case <-t.C:
	case <-r.Context().Done():
		cancelled = true
	}
	s.ledger.spend(time.Since(started).Seconds(), cancelled || late(r, time.Since(started)))
	if !cancelled {
		s.answer(w, r, m, id, body)
	}
}

func late(r *http.Request, d time.Duration) bool {
	n, err := strconv.ParseInt(r.Header.Get(request.HeaderDeadline), 10, 64)
	return err == nil && d > time.Duration(n)*time.Millisecond
}

// duration is the service time, spread log-normally around the mean.
func (s *Server) duration(r *http.Request, m Mode) time.Duration {
	mean := s.work
	if n, err := strconv.ParseInt(r.Header.Get(HeaderWork), 10, 64); err == nil {
		mean = time.Duration(n) * time.Microsecond
	}
	if m == Slow {
		mean *= slowFactor
	}
	s.lock.Lock()
	x := s.random.NormFloat64()
	s.lock.Unlock()
	return time.Duration(float64(mean) * math.Exp(spread*x-spread*spread/2))
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, m Mode, id string, body int) {
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
		s.hijack(w, m, id, text)
	default:
		_, _ = io.WriteString(w, text)
	}
}

// hijack writes an answer whose length is not the one announced.
func (s *Server) hijack(w http.ResponseWriter, m Mode, id, text string) {
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
