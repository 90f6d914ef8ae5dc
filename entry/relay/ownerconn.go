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
	options []channel.Option

	// lock guards the fields up to failed.
	lock    sync.Mutex
	address netip.AddrPort
	channel *channel.Channel
	// dialing is the attempt to connect that is under way. failed is why the last attempt failed, nil if it succeeded.
	dialing     *dial
	failed      *dial
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
	x, err := o.connect(ctx, a, c.Kind == schema.JobCall_PING)
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

// dial is an attempt to connect to an owner, which all calls of the time share.
type dial struct {
	address netip.AddrPort
	done    chan struct{}
	// channel and err are the result, set before done is closed.
	channel *channel.Channel
	err     error
}

// connect returns the open channel to the owner at this address, or opens one. If the last attempt to reach it failed, only
// a ping makes another one, and callers' requests fail at once: pings go out every pingInterval.
func (o *ownerConn) connect(ctx context.Context, a netip.AddrPort, ping bool) (*channel.Channel, error) {
	o.lock.Lock()
	if x := o.openChannel(a); x != nil {
		o.lock.Unlock()
		return x, nil
	}
	if x := o.failed; x != nil && x.address == a && !ping {
		o.lock.Unlock()
		return nil, x.err
	}
	d := o.dialing
	if d == nil || d.address != a {
		d = &dial{address: a, done: make(chan struct{})}
		o.dialing = d
		go o.dial(d)
	}
	o.lock.Unlock()
	select {
	case <-d.done:
		return d.channel, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// openChannel returns the channel if it is open and leads to the address, and closes it if it leads elsewhere. The caller
// holds the lock.
func (o *ownerConn) openChannel(a netip.AddrPort) *channel.Channel {
	if o.channel == nil {
		return nil
	}
	select {
	case <-o.channel.Done():
	default:
		if o.address == a {
			return o.channel
		}
		o.channel.Close()
	}
	o.channel = nil
	return nil
}

// dial connects to the owner and publishes the result.
func (o *ownerConn) dial(d *dial) {
	x, err := o.open(d.address)
	o.lock.Lock()
	defer o.lock.Unlock()
	defer close(d.done)
	d.channel, d.err = x, err
	if o.dialing != d {
		// The owner has been replaced meanwhile.
		if err == nil {
			x.Close()
		}
		return
	}
	o.dialing, o.failed = nil, nil
	if err != nil {
		o.failed = d
		return
	}
	o.channel, o.address = x, d.address
}

func (o *ownerConn) open(a netip.AddrPort) (*channel.Channel, error) {
	c, stop := context.WithTimeout(context.Background(), dialTimeout)
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
	x := channel.New(context.Background(), t, silenceTimeout, o.handle, o.options...)
	go func() {
		<-x.Done()
		s.Close()
	}()
	return x, nil
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	// A session has one stream.
	c.AcceptBacklog = 1
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}
