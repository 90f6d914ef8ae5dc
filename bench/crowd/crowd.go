package crowd

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds a connection attempt, writeTimeout the time in which a server must take a piece.
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// reconnectDelay is the pause before a client whose connection was closed opens another one.
	reconnectDelay = 20 * time.Millisecond
)

// Client describes what each client of a crowd does on its connection.
type Client struct {
	// Pieces returns what the client numbered i writes on its connection numbered n, in order.
	Pieces func(i, n int) [][]byte
	// Pause is the time between two pieces.
	Pause time.Duration
	// Deaf clients never read. Others discard what they are sent.
	Deaf bool
	// Reconnects makes a client close its connection once it was answered, and open another one.
	Reconnects bool
}

// Crowd is a number of clients of the same kind.
type Crowd struct {
	stop    context.CancelFunc
	clients sync.WaitGroup
	opened  atomic.Int64
}

// Start opens a crowd of size clients at an address. Each opens a connection again whenever it is closed, until the crowd is stopped.
func Start(ctx context.Context, a netip.AddrPort, size int, c Client) *Crowd {
	ctx, stop := context.WithCancel(ctx)
	x := &Crowd{stop: stop}
	for i := range size {
		x.clients.Add(1)
		go func() {
			defer x.clients.Done()
			for n := 0; ctx.Err() == nil; n++ {
				x.connect(ctx, a, c, i, n)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectDelay):
				}
			}
		}()
	}
	return x
}

// Opened returns how many connections the crowd has opened so far.
func (x *Crowd) Opened() int64 {
	return x.opened.Load()
}

// Stop closes all connections.
func (x *Crowd) Stop() {
	x.stop()
	x.clients.Wait()
}

// connect opens one connection, writes the client's pieces and keeps it open until the server closes it or the crowd is stopped.
func (x *Crowd) connect(ctx context.Context, a netip.AddrPort, c Client, i, n int) {
	s, err := net.DialTimeout("tcp", a.String(), dialTimeout)
	if err != nil {
		return
	}
	x.opened.Add(1)
	closeOnStop := context.AfterFunc(ctx, func() { s.Close() })
	defer closeOnStop()
	defer s.Close()
	gone := make(chan struct{})
	if !c.Deaf {
		go func() {
			defer close(gone)
			b := make([]byte, 512)
			for {
				if _, err := s.Read(b); err != nil || c.Reconnects {
					return
				}
			}
		}()
	}
	for _, p := range c.Pieces(i, n) {
		_ = s.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := s.Write(p); err != nil {
			return
		}
		if c.Pause > 0 {
			time.Sleep(c.Pause)
		}
	}
	if c.Deaf {
		<-ctx.Done()
		return
	}
	select {
	case <-gone:
	case <-ctx.Done():
	}
}
