package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"golang.org/x/time/rate"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/member"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	acceptRetryDelay = 50 * time.Millisecond
	// maxMessagesPerSecond limits the messages read from one connection.
	maxMessagesPerSecond = 2000
)

func (n *Node) accept(ctx context.Context, l net.Listener) {
	defer n.goroutines.Done()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go n.serve(ctx, c)
	}
}

func (n *Node) serve(ctx context.Context, c net.Conn) {
	if err := handshake(ctx, c); err != nil {
		n.rejectPeer(c, err)
		return
	}
	s, err := yamux.Server(c, yamuxConfig())
	if err != nil {
		c.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	defer s.Close()
	limit := rate.NewLimiter(maxMessagesPerSecond, maxMessagesPerSecond)
	for {
		t, err := s.Accept()
		if err != nil {
			return
		}
		go n.serveStream(ctx, c, t, limit)
	}
}

// handshake completes the TLS handshake if the connection uses TLS.
func handshake(ctx context.Context, c net.Conn) error {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	return trace.Wrap(t.HandshakeContext(ctx), "TLS handshake")
}

// rejectPeer closes the connection of a peer that failed the handshake, and logs its address.
func (n *Node) rejectPeer(c net.Conn, err error) {
	c.Close()
	n.log.Add(decision.Record{
		Time: time.Now(), Kind: decision.Membership,
		Reason: "refused peer at " + c.RemoteAddr().String() + ": " + trace.Unwrap(err).Error(),
	})
}

// serveStream handles the messages of one stream of a connection, at the rate that the limiter allows.
func (n *Node) serveStream(ctx context.Context, c, t net.Conn, limit *rate.Limiter) {
	defer t.Close()
	for limit.Wait(ctx) == nil {
		m, k, err := ReadFrame(t)
		if err != nil {
			return
		}
		if m.GetExchange() != nil {
			trust(c)
		}
		p := n.handle(ctx, m)
		sent := 0
		if p != nil {
			_ = t.SetWriteDeadline(time.Now().Add(fetchTimeout))
			sent, err = WriteFrame(t, p)
		}
		n.counter.Count(messageKind(m), sent, k+streamHeaderBytes)
		if err != nil {
			return
		}
	}
}

// trust exempts the connection of a peer from the limits of its listener, if that has any.
func trust(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if l, ok := c.(interface{ Trust() }); ok {
		l.Trust()
	}
}

func messageKind(m *schema.Envelope) string {
	switch {
	case m.GetExchange() != nil:
		return "peer.exchange"
	case m.GetClaimRequest() != nil:
		return "peer.claim"
	default:
		return "peer.fetch"
	}
}

// handle processes a message and returns the reply, or nil for exchanges and unknown messages.
func (n *Node) handle(ctx context.Context, m *schema.Envelope) *schema.Envelope {
	switch b := m.Body.(type) {
	case *schema.Envelope_Exchange:
		n.merge(b.Exchange)
		return nil
	case *schema.Envelope_HeadRequest:
		return &schema.Envelope{Body: &schema.Envelope_HeadReply{HeadReply: n.active.HeadSince(b.HeadRequest.Have)}}
	case *schema.Envelope_SectionRequest:
		return &schema.Envelope{Body: &schema.Envelope_SectionReply{SectionReply: n.findSections(b.SectionRequest)}}
	case *schema.Envelope_ClaimRequest:
		return &schema.Envelope{Body: &schema.Envelope_ClaimReply{ClaimReply: n.decideClaims(ctx, b.ClaimRequest)}}
	default:
		return nil
	}
}

// findSections returns the requested sections that this entry has, in order, until their total size exceeds half of
// MaxFrameBytes. The peer requests the others again, but a section that alone is larger is never sent.
func (n *Node) findSections(q *schema.SectionRequest) *schema.SectionReply {
	r := &schema.SectionReply{}
	c := n.active.Current()
	if c == nil {
		return r
	}
	size := 0
	for _, d := range q.Digests {
		b := c.EncodedSections[config.DigestFromBytes(d)]
		size += len(b)
		if b == nil || size > MaxFrameBytes/2 {
			continue
		}
		r.Sections = append(r.Sections, b)
	}
	return r
}

// merge merges the rows of an exchange into the table and records the rows and bodies that the sender lacks.
func (n *Node) merge(x *schema.Exchange) {
	now := time.Now()
	changed := false
	n.lock.Lock()
	n.unheardBy[x.From] = x.Missing
	if l := n.links[x.From]; l != nil {
		l.sent.RequestBodies(x.Unknown)
	}
	for _, r := range x.Rows {
		switch n.table.Merge(now, r) {
		case member.BodyMissing:
			n.missingBodies[x.From] = append(n.missingBodies[x.From], r.Name)
		case member.BodyChanged:
			changed = true
		}
	}
	newer := len(n.table.WithNewerConfig(n.active.Current().Revision())) > 0
	n.lock.Unlock()
	if changed {
		n.onChange()
	}
	if newer {
		notify(n.pull)
	}
}
