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

	"github.com/tarragonbank/tarragonbank/entry/channel"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// dialTimeout bounds a connection attempt to the owner; the round trip takes milliseconds.
	dialTimeout = 500 * time.Millisecond
	// writeTimeout bounds writes and the opening of streams when the peer no longer responds.
	writeTimeout = time.Second
	// silenceTimeout is how long an entry and the owner keep a connection on which nothing arrives. The entry pings the
	// owner every pingInterval.
	silenceTimeout = 1500 * time.Millisecond
)

// ownerConn is this entry's connection to the owner, which carries calls in both directions.
type ownerConn struct {
	// handle answers the owner's calls.
	handle  channel.Handler
	onPanic func(x any)

	// lock guards address and channel. It is held while connecting, so that concurrent calls share one attempt.
	lock        sync.Mutex
	address     netip.AddrPort
	channel     *channel.Channel
	lastReplyNs atomic.Int64
	// confirmedNs is when the store last confirmed the ownership of an owner that replied to a ping.
	confirmedNs atomic.Int64
}

// confirm records that the store confirmed the owner's ownership after t.
func (o *ownerConn) confirm(t time.Time) {
	o.confirmedNs.Store(max(o.confirmedNs.Load(), t.UnixNano()))
}

func (o *ownerConn) confirmedAt() time.Time {
	return time.Unix(0, o.confirmedNs.Load())
}

func (o *ownerConn) lastReply() time.Time {
	return time.Unix(0, o.lastReplyNs.Load())
}

// call sends one call and waits for the reply. The boolean reports whether the owner may have received the call.
func (o *ownerConn) call(ctx context.Context, a netip.AddrPort, c *schema.JobCall) (*schema.JobReply, bool, error) {
	x, err := o.connect(ctx, a)
	if err != nil {
		return nil, false, err
	}
	r, sent, err := x.Call(ctx, &schema.Call{Body: &schema.Call_Job{Job: c}})
	if err != nil {
		return nil, sent, err
	}
	o.lastReplyNs.Store(time.Now().UnixNano())
	return r.GetJob(), true, nil
}

// connect returns the open channel to the owner at this address, or opens one.
func (o *ownerConn) connect(ctx context.Context, a netip.AddrPort) (*channel.Channel, error) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.channel != nil {
		select {
		case <-o.channel.Done():
		default:
			if o.address == a {
				return o.channel, nil
			}
			o.channel.Close()
		}
		o.channel = nil
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
	t, err := s.Open()
	if err != nil {
		s.Close()
		return nil, err
	}
	o.channel, o.address = channel.New(context.Background(), t, silenceTimeout, o.handle, channel.WithOnPanic(o.onPanic)), a
	go func(x *channel.Channel) {
		<-x.Done()
		s.Close()
	}(o.channel)
	return o.channel, nil
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}
