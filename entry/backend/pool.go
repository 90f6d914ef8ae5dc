package backend

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleLimit   = 10 * time.Second
	provenFor   = 250 * time.Millisecond
)

// connections keeps the idle connections to each VM's address.
// Its lock is the innermost of the process: nothing else is locked while it is held.
type connections struct {
	dialer net.Dialer
	lock   sync.Mutex
	idle   map[netip.AddrPort][]*connection
}

func newConnections(a netip.Addr) *connections {
	c := &connections{dialer: net.Dialer{Timeout: dialTimeout}, idle: map[netip.AddrPort][]*connection{}}
	if a.IsValid() {
		c.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(a, 0))
	}
	return c
}

// get takes the connection used last, or makes a new one; proven asks for one that answered just now.
func (c *connections) get(ctx context.Context, v vm.VM, proven bool) (*connection, error) {
	limit := idleLimit
	if proven {
		limit = provenFor
	}
	for {
		x := c.take(v.Address)
		if x == nil {
			return c.dial(ctx, v)
		}
		if time.Since(x.used) > limit || !x.quiet() {
			x.Close()
			continue
		}
		return x, nil
	}
}

func (c *connections) dial(ctx context.Context, v vm.VM) (*connection, error) {
	n, err := c.dialer.DialContext(ctx, "tcp", v.Address.String())
	if err == nil {
		return newConnection(n, time.Now()), nil
	}
	if ctx.Err() != nil {
		return nil, &CancelledError{VM: v.Name}
	}
	return nil, &DialError{VM: v.Name, Detail: err.Error()}
}

func (c *connections) take(a netip.AddrPort) *connection {
	c.lock.Lock()
	defer c.lock.Unlock()
	l := c.idle[a]
	if len(l) == 0 {
		return nil
	}
	x := l[len(l)-1]
	c.idle[a] = l[:len(l)-1]
	return x
}

// put keeps a connection for later, unless the VM's share of connections is kept already.
func (c *connections) put(v vm.VM, x *connection) {
	x.used = time.Now()
	x.fresh = false
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.idle[v.Address]) >= v.Slots {
		x.Close()
		return
	}
	c.idle[v.Address] = append(c.idle[v.Address], x)
}

// condemn closes the idle connections to the address that were last used before the time.
func (c *connections) condemn(a netip.AddrPort, before time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	kept := []*connection{}
	for _, x := range c.idle[a] {
		if x.used.Before(before) {
			x.Close()
			continue
		}
		kept = append(kept, x)
	}
	c.idle[a] = kept
}

// sweep closes connections that have been idle for too long.
func (c *connections) sweep(now time.Time) {
	c.lock.Lock()
	l := make([]netip.AddrPort, 0, len(c.idle))
	for a := range c.idle {
		l = append(l, a)
	}
	c.lock.Unlock()
	for _, a := range l {
		c.condemn(a, now.Add(-idleLimit))
	}
}

func (c *connections) count() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	n := 0
	for _, l := range c.idle {
		n += len(l)
	}
	return n
}
