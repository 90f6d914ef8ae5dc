package relay

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/tarragonbank/tarragonbank/entry/channel"
	"github.com/tarragonbank/tarragonbank/entry/executor"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// acceptRetryDelay is the pause after a connection could not be accepted, for instance for lack of descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// limited is a connection of a listener with limits, which do not apply to trusted connections.
type limited interface {
	Trust()
}

// Serve answers calls of other entries until the listener is closed; the context bounds the calls.
func (r *Relay) Serve(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			wait.For(ctx, acceptRetryDelay)
			continue
		}
		s, err := yamux.Server(c, yamuxConfig())
		if err != nil {
			c.Close()
			continue
		}
		go r.serveSession(ctx, c, s)
	}
}

// serveSession serves the one channel of a session, which must be opened within silenceTimeout.
func (r *Relay) serveSession(ctx context.Context, c net.Conn, s *yamux.Session) {
	defer s.Close()
	opening, stop := context.WithTimeout(ctx, silenceTimeout)
	defer stop()
	t, err := s.AcceptStreamWithContext(opening)
	if err != nil {
		return
	}
	x := &entryChannel{relay: r, ready: make(chan struct{})}
	x.connection, _ = c.(limited)
	x.channel = channel.New(ctx, t, silenceTimeout, x.answer, r.channelOptions...)
	close(x.ready)
	<-x.channel.Done()
}

// entryChannel is the channel of another entry to this one.
type entryChannel struct {
	relay   *Relay
	channel *channel.Channel
	// connection is nil if it has no limits.
	connection limited
	// ready is closed once channel is set.
	ready chan struct{}
}

// answer answers a call of the other entry.
func (x *entryChannel) answer(ctx context.Context, c *schema.Call) *schema.Reply {
	m := c.GetJob()
	if m == nil {
		return nil
	}
	if x.connection != nil {
		x.connection.Trust()
	}
	if m.Kind == schema.JobCall_PING {
		x.relay.ownership.RecordContact(m.From, m.Strength, time.Now())
		<-x.ready
		x.relay.executors.Join(executor.Candidate{Name: m.From, DataCentre: m.DataCentre, Cores: m.Strength}, x.channel)
	}
	if m.Kind == schema.JobCall_ANNOUNCE {
		x.relay.learn(m.Owner, x.relay.ownership.Known().Revision)
		return &schema.Reply{Body: &schema.Reply_Job{Job: &schema.JobReply{}}}
	}
	if m.Kind == schema.JobCall_CONFIG {
		return &schema.Reply{Body: &schema.Reply_Job{Job: x.relay.configReply()}}
	}
	reply := &schema.JobReply{Result: notOwner, Owner: x.relay.notice()}
	if d := x.relay.ownership.Current(); d != nil {
		reply = encodeReply(Invoke(ctx, d, m))
	}
	if m.Kind == schema.JobCall_PING {
		x.relay.addProof(reply)
	}
	return &schema.Reply{Body: &schema.Reply_Job{Job: reply}}
}
