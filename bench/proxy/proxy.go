package proxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	chunkBytes = 32 << 10
	// maxBufferedChunks is the number of chunks buffered per direction of a connection; beyond it the sender blocks.
	maxBufferedChunks = 64
	// holdPollInterval is the interval at which a held connection checks whether the fault is over.
	holdPollInterval = 5 * time.Millisecond
)

// Fault describes the network faults on a link. The zero value forwards everything unchanged.
type Fault struct {
	// Cut closes open connections and closes new ones as soon as they are accepted.
	Cut bool
	// Hold accepts new connections but delays all data until the fault is over, as in a network partition. Data of a
	// connection that its sender resets in the meantime is dropped.
	Hold bool
	// HoldResponses delays only the data sent by the target.
	HoldResponses bool
	// Delay is added before each chunk is forwarded.
	Delay time.Duration
}

// Proxy forwards TCP connections to one target.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener
	dialer   net.Dialer

	lock   sync.Mutex
	faults func(from netip.Addr) Fault
	pairs  map[*pair]bool
}

// pair is a client connection together with its connection to the target.
type pair struct {
	from       netip.Addr
	client     net.Conn
	server     net.Conn
	lock       sync.Mutex
	blackholed bool
	closed     chan struct{}
	once       sync.Once
}

// New returns a proxy to the target without faults.
func New(target netip.AddrPort) *Proxy {
	return &Proxy{target: target, faults: func(netip.Addr) Fault { return Fault{} }, pairs: map[*pair]bool{}}
}

// Start listens on the address until Stop. It returns an error if the address cannot be bound.
func (p *Proxy) Start(a netip.AddrPort) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	p.listener = l
	go p.accept()
	return nil
}

// Stop closes the listener and all connections.
func (p *Proxy) Stop() {
	if p.listener != nil {
		_ = p.listener.Close()
	}
	p.forEachPair(func(x *pair) { x.close() })
}

// SetFaults sets the function that returns the fault for a connection's source address. Open connections whose fault is
// Cut are closed.
func (p *Proxy) SetFaults(f func(from netip.Addr) Fault) {
	p.lock.Lock()
	p.faults = f
	p.lock.Unlock()
	p.forEachPair(func(x *pair) {
		if f(x.from).Cut {
			x.close()
		}
	})
}

// SetFault sets one fault for all connections.
func (p *Proxy) SetFault(f Fault) {
	p.SetFaults(func(netip.Addr) Fault { return f })
}

// Blackhole makes the open connections discard all further data without closing, and returns their number. New
// connections are unaffected.
func (p *Proxy) Blackhole() int {
	n := 0
	p.forEachPair(func(x *pair) {
		x.lock.Lock()
		x.blackholed = true
		x.lock.Unlock()
		n++
	})
	return n
}

// Reset closes the open connections with a TCP reset. New connections are unaffected.
func (p *Proxy) Reset() {
	p.forEachPair(func(x *pair) { x.reset() })
}

func (p *Proxy) forEachPair(f func(*pair)) {
	p.lock.Lock()
	l := make([]*pair, 0, len(p.pairs))
	for x := range p.pairs {
		l = append(l, x)
	}
	p.lock.Unlock()
	for _, x := range l {
		f(x)
	}
}

func (p *Proxy) faultFor(from netip.Addr) Fault {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.faults(from)
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	from := netip.MustParseAddrPort(c.RemoteAddr().String()).Addr()
	if p.faultFor(from).Cut {
		c.Close()
		return
	}
	o, err := p.dialer.Dial("tcp", p.target.String())
	if err != nil {
		c.Close()
		return
	}
	x := &pair{from: from, client: c, server: o, closed: make(chan struct{})}
	p.lock.Lock()
	p.pairs[x] = true
	p.lock.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(x, x.client, x.server, false, done)
	go p.copy(x, x.server, x.client, true, done)
	<-done
	x.close()
	p.lock.Lock()
	delete(p.pairs, x)
	p.lock.Unlock()
}

// copy forwards the data of one direction. A separate goroutine reads ahead, so that a reset by the sender is noticed
// and discards the data still held.
func (p *Proxy) copy(x *pair, from, to net.Conn, responses bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	chunks := make(chan []byte, maxBufferedChunks)
	go x.read(from, chunks)
	for b := range chunks {
		time.Sleep(p.faultFor(x.from).Delay)
		if !p.awaitForwarding(x, responses) {
			return
		}
		if x.isBlackholed() {
			continue
		}
		if _, err := to.Write(b); err != nil {
			return
		}
	}
}

// awaitForwarding blocks while the link is held. It returns false if the connection is closed in the meantime.
func (p *Proxy) awaitForwarding(x *pair, responses bool) bool {
	for {
		if f := p.faultFor(x.from); !f.Hold && !(f.HoldResponses && responses) {
			return true
		}
		select {
		case <-x.closed:
			return false
		case <-time.After(holdPollInterval):
		}
	}
}

// read buffers the data of one side until it is closed. Any error other than EOF, such as a reset, closes both sides.
func (x *pair) read(from net.Conn, chunks chan<- []byte) {
	defer close(chunks)
	for {
		b := make([]byte, chunkBytes)
		n, err := from.Read(b)
		if n > 0 {
			select {
			case chunks <- b[:n]:
			case <-x.closed:
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				x.close()
			}
			return
		}
	}
}

func (x *pair) isBlackholed() bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.blackholed
}

func (x *pair) close() {
	x.once.Do(func() { close(x.closed) })
	x.client.Close()
	x.server.Close()
}

// reset closes both sides with a linger time of zero, so that both peers receive a reset.
func (x *pair) reset() {
	for _, c := range []net.Conn{x.client, x.server} {
		if t, ok := c.(*net.TCPConn); ok {
			// An error is ignored: the connection is closed below in any case.
			_ = t.SetLinger(0)
		}
	}
	x.close()
}
