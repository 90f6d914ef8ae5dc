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
	// chunksHeld bounds what one direction of a connection holds back; the sender is blocked beyond it.
	chunksHeld = 64
	// holdPoll is between looks at whether a link passes again.
	holdPoll = 5 * time.Millisecond
)

// Fault is what is wrong with a link.
type Fault struct {
	// Cut refuses new connections and closes those that are open.
	Cut bool
	// Hold accepts new connections and holds back what is sent until the fault is over, as a partition does; what a
	// sender has reset meanwhile is lost.
	Hold bool
	// HoldResponses holds back only what the target sends.
	HoldResponses bool
	// Delay holds each chunk back.
	Delay time.Duration
}

// Proxy passes connections on to one target.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener
	dialTo   net.Dialer

	lock   sync.Mutex
	faults func(from netip.Addr) Fault
	pairs  map[*pair]bool
}

// pair is one connection through the proxy.
type pair struct {
	from   netip.Addr
	in     net.Conn
	out    net.Conn
	lock   sync.Mutex
	silent bool
	closed chan struct{}
	once   sync.Once
}

// New makes a proxy to the target.
func New(target netip.AddrPort) *Proxy {
	return &Proxy{target: target, faults: func(netip.Addr) Fault { return Fault{} }, pairs: map[*pair]bool{}}
}

// Start listens on the address until Stop.
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
	p.each(func(x *pair) { x.close() })
}

// SetFaults changes what is wrong, by the address that a connection comes from.
func (p *Proxy) SetFaults(f func(from netip.Addr) Fault) {
	p.lock.Lock()
	p.faults = f
	p.lock.Unlock()
	p.each(func(x *pair) {
		if f(x.from).Cut {
			x.close()
		}
	})
}

// SetFault changes what is wrong for all that connect.
func (p *Proxy) SetFault(f Fault) {
	p.SetFaults(func(netip.Addr) Fault { return f })
}

// Blackhole has the connections that are open go silent for good, while new ones work.
func (p *Proxy) Blackhole() int {
	n := 0
	p.each(func(x *pair) {
		x.lock.Lock()
		x.silent = true
		x.lock.Unlock()
		n++
	})
	return n
}

// Reset closes the connections that are open; new ones work.
func (p *Proxy) Reset() {
	p.each(func(x *pair) { x.reset() })
}

func (p *Proxy) each(f func(*pair)) {
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

func (p *Proxy) fault(from netip.Addr) Fault {
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
	if p.fault(from).Cut {
		c.Close()
		return
	}
	o, err := p.dialTo.Dial("tcp", p.target.String())
	if err != nil {
		c.Close()
		return
	}
	x := &pair{from: from, in: c, out: o, closed: make(chan struct{})}
	p.lock.Lock()
	p.pairs[x] = true
	p.lock.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(x, x.in, x.out, false, done)
	go p.copy(x, x.out, x.in, true, done)
	<-done
	x.close()
	p.lock.Lock()
	delete(p.pairs, x)
	p.lock.Unlock()
}

// copy passes on what one side sends. It reads ahead, so that a reset of the sender takes away what is held back.
func (p *Proxy) copy(x *pair, from, to net.Conn, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	chunks := make(chan []byte, chunksHeld)
	go x.read(from, chunks)
	for b := range chunks {
		time.Sleep(p.fault(x.from).Delay)
		if !p.await(x, answers) {
			return
		}
		if x.isSilent() {
			continue
		}
		if _, err := to.Write(b); err != nil {
			return
		}
	}
}

// await waits until the link passes; it says false where the connection was reset meanwhile.
func (p *Proxy) await(x *pair, answers bool) bool {
	for {
		if f := p.fault(x.from); !f.Hold && !(f.HoldResponses && answers) {
			return true
		}
		select {
		case <-x.closed:
			return false
		case <-time.After(holdPoll):
		}
	}
}

// read takes what one side sends until it ends; a reset ends the whole connection at once.
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

func (x *pair) isSilent() bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.silent
}

func (x *pair) close() {
	x.once.Do(func() { close(x.closed) })
	x.in.Close()
	x.out.Close()
}

// reset closes both sides so that their peers see a reset.
func (x *pair) reset() {
	for _, c := range []net.Conn{x.in, x.out} {
		if t, ok := c.(*net.TCPConn); ok {
			// A connection that cannot be set is closed all the same.
			_ = t.SetLinger(0)
		}
	}
	x.close()
}
