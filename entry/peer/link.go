package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"

	"github.com/tarragonbank/tarragonbank/fleet/member"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	dialTimeout  = time.Second
	writeTimeout = time.Second
	fetchTimeout = 2 * time.Second
	redialDelay  = time.Second
	// streamHeaderBytes is the size of the yamux header, which is counted once for each message.
	streamHeaderBytes = 12
)

// link is the connection that this entry opens to one peer. Its goroutine sends the exchanges; other goroutines make
// calls over it. Node.lock guards session and sent.
type link struct {
	name     string
	node     *Node
	wake     chan struct{}
	address  netip.AddrPort
	session  *yamux.Session
	stream   net.Conn
	sent     *member.SentRows
	failedAt time.Time
	// includeRelayed requests that the next exchange contains the rows of other entries.
	includeRelayed atomic.Bool
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = fetchTimeout
	c.LogOutput = io.Discard
	return c
}

// run sends an exchange for each wake signal until the context is done.
func (l *link) run(ctx context.Context) {
	defer l.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			l.send(ctx)
		}
	}
}

func (l *link) send(ctx context.Context) {
	if !l.ensureConnected(ctx) {
		return
	}
	m := l.node.newExchange(l)
	_ = l.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := WriteFrame(l.stream, m)
	l.node.counter.Count("peer.exchange", n+streamHeaderBytes, 0)
	if err != nil {
		l.close()
		l.failedAt = time.Now()
	}
}

// ensureConnected connects to the peer if there is no connection, and reports whether there is one. It reconnects if
// the peer's address has changed or the peer reports that it does not hear from this entry.
func (l *link) ensureConnected(ctx context.Context) bool {
	a, unheard := l.node.resolve(l.name)
	if l.session != nil && (unheard || a != l.address || l.session.IsClosed()) {
		l.close()
	}
	if l.session != nil {
		return true
	}
	if time.Since(l.failedAt) < redialDelay || !a.IsValid() {
		return false
	}
	if err := l.connect(ctx, a); err != nil {
		l.failedAt = time.Now()
		return false
	}
	return true
}

func (l *link) connect(ctx context.Context, a netip.AddrPort) error {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	c, err := l.node.dial(ctx, a)
	if err != nil {
		return trace.Wrap(err, "connecting to %s", l.name)
	}
	s, err := yamux.Client(c, yamuxConfig())
	if err != nil {
		c.Close()
		return trace.Wrap(err, "connecting to %s", l.name)
	}
	t, err := s.Open()
	if err != nil {
		s.Close()
		return trace.Wrap(err, "connecting to %s", l.name)
	}
	l.setSession(s, t, a)
	return nil
}

func (l *link) setSession(s *yamux.Session, t net.Conn, a netip.AddrPort) {
	l.node.lock.Lock()
	defer l.node.lock.Unlock()
	l.session = s
	l.stream = t
	l.address = a
	l.sent = member.NewSentRows()
}

func (l *link) close() {
	l.node.lock.Lock()
	s := l.session
	l.session = nil
	l.node.lock.Unlock()
	if s != nil {
		s.Close()
	}
}

// fetch makes a call with the timeout for large replies.
func (l *link) fetch(m *schema.Envelope) (*schema.Envelope, error) {
	return l.call(m, fetchTimeout)
}

// call sends a request on a new stream and returns the reply. It fails with a NotConnectedError if there is no
// connection.
func (l *link) call(m *schema.Envelope, limit time.Duration) (*schema.Envelope, error) {
	l.node.lock.Lock()
	s := l.session
	l.node.lock.Unlock()
	if s == nil {
		return nil, trace.Wrap(&NotConnectedError{Peer: l.name})
	}
	t, err := s.Open()
	if err != nil {
		return nil, trace.Wrap(err, "opening a stream to %s", l.name)
	}
	defer t.Close()
	_ = t.SetDeadline(time.Now().Add(limit))
	n, err := WriteFrame(t, m)
	if err != nil {
		return nil, err
	}
	r, k, err := ReadFrame(t)
	l.node.counter.Count(messageKind(m), n+streamHeaderBytes, k+streamHeaderBytes)
	return r, err
}

// NotConnectedError reports a call to a peer to which there is no connection.
type NotConnectedError struct {
	Peer string
}

// Error implements error.
func (e *NotConnectedError) Error() string {
	return "not connected to peer " + e.Peer
}

func (n *Node) dial(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	d := &net.Dialer{}
	if n.localAddress.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(n.localAddress, 0))
	}
	if n.clientTLS == nil {
		return d.DialContext(ctx, "tcp", a.String())
	}
	return (&tls.Dialer{NetDialer: d, Config: n.clientTLS}).DialContext(ctx, "tcp", a.String())
}
