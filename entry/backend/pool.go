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
	idleTimeout = 10 * time.Second
	// freshWindow is how long after its last use an idle connection counts as fresh.
	freshWindow = 250 * time.Millisecond
)

// connectionPool keeps the idle connections to each VM's address. It is safe for concurrent use.
// Its lock is the innermost of the process: no other lock is acquired while it is held.
type connectionPool struct {
	dialer net.Dialer
	lock   sync.Mutex
	idle   map[netip.AddrPort][]*connection
}

func newConnectionPool(a netip.Addr) *connectionPool {
	p := &connectionPool{dialer: net.Dialer{Timeout: dialTimeout}, idle: map[netip.AddrPort][]*connection{}}
	if a.IsValid() {
		p.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(a, 0))
	}
	return p
}

// get returns the idle connection that was used last, or a new one. If fresh is set, an idle connection must
// have been used within freshWindow.
func (p *connectionPool) get(ctx context.Context, v vm.VM, fresh bool) (*connection, error) {
	maxIdle := idleTimeout
	if fresh {
		maxIdle = freshWindow
	}
	for {
		x := p.pop(v.Address)
		if x == nil {
			return p.dial(ctx, v)
		}
		if time.Since(x.lastUsed) > maxIdle || !x.reusable() {
			x.Close()
			continue
		}
		return x, nil
	}
}

func (p *connectionPool) dial(ctx context.Context, v vm.VM) (*connection, error) {
	n, err := p.dialer.DialContext(ctx, "tcp", v.Address.String())
	if err == nil {
		return newConnection(n, time.Now()), nil
	}
	if ctx.Err() != nil {
		return nil, &CancelledError{VM: v.Name}
	}
	return nil, &DialError{VM: v.Name, Detail: err.Error()}
}

// pop removes the idle connection that was used last and returns it, nil if there is none.
func (p *connectionPool) pop(a netip.AddrPort) *connection {
	p.lock.Lock()
	defer p.lock.Unlock()
	l := p.idle[a]
	if len(l) == 0 {
		return nil
	}
	x := l[len(l)-1]
	p.idle[a] = l[:len(l)-1]
	return x
}

// put keeps a connection for reuse, or closes it if as many idle connections as the VM has slots are kept already.
func (p *connectionPool) put(v vm.VM, x *connection) {
	x.lastUsed = time.Now()
	x.isNew = false
	p.lock.Lock()
	defer p.lock.Unlock()
	if len(p.idle[v.Address]) >= v.Slots {
		x.Close()
		return
	}
	p.idle[v.Address] = append(p.idle[v.Address], x)
}

// closeLastUsedBefore closes the idle connections to the address that were last used before the given time.
func (p *connectionPool) closeLastUsedBefore(a netip.AddrPort, before time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	kept := []*connection{}
	for _, x := range p.idle[a] {
		if x.lastUsed.Before(before) {
			x.Close()
			continue
		}
		kept = append(kept, x)
	}
	p.idle[a] = kept
}

// closeExpired closes the connections that have been idle for longer than idleTimeout.
func (p *connectionPool) closeExpired(now time.Time) {
	p.lock.Lock()
	l := make([]netip.AddrPort, 0, len(p.idle))
	for a := range p.idle {
		l = append(l, a)
	}
	p.lock.Unlock()
	for _, a := range l {
		p.closeLastUsedBefore(a, now.Add(-idleTimeout))
	}
}

func (p *connectionPool) idleCount() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	n := 0
	for _, l := range p.idle {
		n += len(l)
	}
	return n
}
