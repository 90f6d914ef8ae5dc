package relay

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/tarragonbank/tarragonbank/entry/peer"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Serve answers calls of other entries until the listener is closed; the context bounds the calls.
func (r *Relay) Serve(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s, err := yamux.Server(c, yamuxConfig())
		if err != nil {
			c.Close()
			continue
		}
		go r.serveSession(ctx, s)
	}
}

func (r *Relay) serveSession(ctx context.Context, s *yamux.Session) {
	defer s.Close()
	for {
		t, err := s.Accept()
		if err != nil {
			return
		}
		go r.serveCall(ctx, t)
	}
}

func (r *Relay) serveCall(ctx context.Context, t net.Conn) {
	defer t.Close()
	e, _, err := peer.ReadFrame(t)
	if err != nil || e.GetJobCall() == nil {
		return
	}
	c, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	r.ownership.RecordContact(e.GetJobCall().From, e.GetJobCall().Strength, time.Now())
	m := &schema.JobReply{Result: notOwner}
	if d := r.ownership.Current(); d != nil {
		m = encodeReply(Invoke(c, d, e.GetJobCall()))
	}
	// If the reply is not delivered, the calling entry reports the outcome as unknown.
	_, _ = peer.WriteFrame(t, &schema.Envelope{Body: &schema.Envelope_JobReply{JobReply: m}})
}
