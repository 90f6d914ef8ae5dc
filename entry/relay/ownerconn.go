package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/tarragonbank/tarragonbank/entry/peer"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// dialTimeout bounds a connection attempt to the owner; the round trip takes milliseconds.
	dialTimeout = 500 * time.Millisecond
	// writeTimeout bounds writes and the opening of streams when the peer no longer responds.
	writeTimeout = time.Second
)

// ownerConn is this entry's multiplexed connection to the owner.
type ownerConn struct {
	// lock guards address and session. It is held while connecting, so that concurrent calls share one attempt.
	lock        sync.Mutex
	address     netip.AddrPort
	session     *yamux.Session
	lastReplyNs atomic.Int64
}

func (o *ownerConn) lastReply() time.Time {
	return time.Unix(0, o.lastReplyNs.Load())
}

// call sends one call on its own stream and waits for the reply. The boolean reports whether the owner may have received
// the call.
func (o *ownerConn) call(ctx context.Context, a netip.AddrPort, c *schema.JobCall) (*schema.JobReply, bool, error) {
	s, err := o.connect(ctx, a)
	if err != nil {
		return nil, false, err
	}
	t, err := s.Open()
	if err != nil {
		o.drop(s)
		return nil, false, err
	}
	defer t.Close()
	if d, ok := ctx.Deadline(); ok {
		_ = t.SetDeadline(d)
	}
	if _, err := peer.WriteFrame(t, &schema.Envelope{Body: &schema.Envelope_JobCall{JobCall: c}}); err != nil {
		o.drop(s)
		return nil, true, err
	}
	e, _, err := peer.ReadFrame(t)
	if err != nil {
		o.drop(s)
		return nil, true, err
	}
	m := e.GetJobReply()
	if m == nil {
		return nil, true, &peer.FrameError{Detail: "not a reply"}
	}
	o.lastReplyNs.Store(time.Now().UnixNano())
	return m, true, nil
}

// connect returns the open session with the owner at this address, or opens one.
func (o *ownerConn) connect(ctx context.Context, a netip.AddrPort) (*yamux.Session, error) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.session != nil && o.address == a && !o.session.IsClosed() {
		return o.session, nil
	}
	if o.session != nil {
		o.session.Close()
		o.session = nil
	}
	c, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	n, err := (&net.Dialer{}).DialContext(c, "tcp", a.String())
	if err != nil {
		return nil, err
	}
	s, err := yamux.Client(n, yamuxConfig())
	if err != nil {
		n.Close()
		return nil, err
	}
	o.session, o.address = s, a
	return s, nil
}

// drop closes a failed session and forgets it, unless a newer one has replaced it.
func (o *ownerConn) drop(s *yamux.Session) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.session == s {
		o.session = nil
	}
	s.Close()
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}
