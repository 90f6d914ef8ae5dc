package ingress

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
)

// receiveBufferBytes is the receive buffer of a connection in the kernel, whose contents count towards the memory of the process.
const receiveBufferBytes = 16 << 10

// Limits bounds what all clients of a listener hold together.
type Limits struct {
	// Connections is the number of open connections. Trusted ones do not count.
	Connections int
	// MemoryBytes is the estimated memory of the requests that are arriving, and again that of the requests that are handled.
	MemoryBytes int64
}

// Metrics counts closed connections and refused requests by cause.
type Metrics interface {
	Event(name, kind string)
}

// Logger records decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Listener accepts connections within its limits.
type Listener struct {
	net.Listener
	name    string
	limits  Limits
	metrics Metrics
	log     Logger
	// headerless is true if connections do not begin with a header.
	headerless bool
	busy       http.Handler

	// lock guards the fields below and those of the connections.
	lock sync.Mutex
	// queues holds the connections by phase, in the order in which they entered it.
	queues [phases]*list.List
	// arrivingBytes and handledBytes are the estimated memory of the requests in these phases.
	arrivingBytes int64
	handledBytes  int64
	trusted       int
	reports       reports
}

// Option configures a new Listener.
type Option func(l *Listener)

// WithMetrics counts closed connections and refused requests.
func WithMetrics(m Metrics) Option {
	return func(l *Listener) { l.metrics = m }
}

// WithLog logs that connections were closed or requests refused, once a second at most for each cause.
func WithLog(g Logger) Option {
	return func(l *Listener) { l.log = g }
}

// WithBusyHandler sets what answers a request without a body if there is no memory to handle it. By default, that is status 503 with
// a Retry-After header.
func WithBusyHandler(h http.Handler) Option {
	return func(l *Listener) { l.busy = h }
}

// WithoutHeaders is for listeners of another protocol than HTTP: all that arrives counts as the body of a request. Their connections have
// the usual receive buffers, since they are read all the time.
func WithoutHeaders() Option {
	return func(l *Listener) { l.headerless = true }
}

// Listen listens on an address. The name is that of the clients in the log and in the metrics.
func Listen(name string, a netip.AddrPort, m Limits, opts ...Option) (*Listener, error) {
	l := &Listener{name: name, limits: m, reports: newReports(), busy: http.HandlerFunc(refuse)}
	for i := range l.queues {
		l.queues[i] = list.New()
	}
	for _, o := range opts {
		o(l)
	}
	c := &net.ListenConfig{}
	if !l.headerless {
		c.Control = limitReceiveBuffer
	}
	n, err := c.Listen(context.Background(), "tcp", a.String())
	if err != nil {
		return nil, err
	}
	l.Listener = n
	return l, nil
}

// limitReceiveBuffer sets the buffer on the listening socket, from which its connections inherit it.
func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	if err != nil {
		return err
	}
	return failed
}

// Accept returns the next connection. If that is one too many, it closes another one, or the new one if all others are in use.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: n, listener: l}
		if l.add(c) {
			return c, nil
		}
		n.Close()
	}
}

// add adds a connection, and reports whether there was room for it.
func (l *Listener) add(c *Conn) bool {
	l.lock.Lock()
	var closed *Conn
	room := true
	if l.count() >= l.limits.Connections {
		closed = l.leastUseful(time.Now())
		room = closed != nil
		if closed != nil {
			closed.remove()
		}
	}
	if room {
		c.enter(idle, time.Now())
	}
	l.lock.Unlock()
	if closed != nil {
		closed.Conn.Close()
	}
	if closed != nil || !room {
		l.report(tooManyConnections)
	}
	return room
}

// count returns the number of connections that count towards the limit.
func (l *Listener) count() int {
	n := -l.trusted
	for _, q := range l.queues {
		n += q.Len()
	}
	return n
}

// arrivalTime is how long a request may be arriving before its connection is closed rather than an idle one.
const arrivalTime = time.Second

// leastUseful returns the connection to close for a new one, or nil if requests are handled on all of them.
func (l *Listener) leastUseful(now time.Time) *Conn {
	if c := l.oldest(finished); c != nil {
		return c
	}
	a := l.oldest(arriving)
	if a != nil && now.Sub(a.since) >= arrivalTime {
		return a
	}
	if c := l.oldest(idle); c != nil {
		return c
	}
	return a
}

func (l *Listener) oldest(p phase) *Conn {
	if e := l.queues[p].Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}
