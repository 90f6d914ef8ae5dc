package proxy

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const chunkBytes = 32 << 10

// Fault is what is wrong with a link.
type Fault struct {
	// Cut refuses new connections and closes those that are open.
	Cut bool
	// Hang accepts new connections and passes nothing on.
	Hang bool
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
	_ = p.listener.Close()
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

// Silence has the connections that are open go silent for good, while new ones work.
func (p *Proxy) Silence() int {
	n := 0
	p.each(func(x *pair) {
		x.lock.Lock()
		x.silent = true
		x.lock.Unlock()
		n++
	})
	return n
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
	x := &pair{from: from, in: c, out: o}
	p.lock.Lock()
	p.pairs[x] = true
	p.lock.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(x, x.in, x.out, done)
	go p.copy(x, x.out, x.in, done)
	<-done
	x.close()
	p.lock.Lock()
	delete(p.pairs, x)
	p.lock.Unlock()
}

func (p *Proxy) copy(x *pair, from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, chunkBytes)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		f := p.fault(x.from)
		time.Sleep(f.Delay)
		if f.Hang || x.isSilent() {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
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
	x.in.Close()
	x.out.Close()
}
