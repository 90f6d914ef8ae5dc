package ingress

import (
	"cmp"
	"container/list"
	"errors"
	"io"
	"net"
	"slices"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	// idle connections have no request.
	idle phase = iota
	// arriving connections have received a part of a request.
	arriving
	// handled connections have received a request, which is not answered yet, or are trusted.
	handled
	// finished connections have a request that was answered, and remain until the rest of it was discarded.
	finished
	phases
)

const (
	// headerCost is the memory that a byte of a header takes once it is parsed: many short fields take most.
	headerCost = 32
	// bodyCost is the memory that a byte of a body takes: a buffer that grows, and the decoded request.
	bodyCost = 4
	// discardedBytes is how much of the rest of a request is discarded before its connection is closed.
	discardedBytes = 256 << 10
	// freedShare is the share of the memory of arriving requests that is freed when it is used up, so that not each byte closes a
	// connection.
	freedShare = 8
)

// Conn is a connection of a client. The lock of its listener guards its fields.
type Conn struct {
	net.Conn
	listener *Listener
	phase    phase
	// since is when the connection entered its phase.
	since   time.Time
	element *list.Element
	// header and body count the bytes of the request that were received; inBody is true after the header.
	header, body int64
	inBody       bool
	trusted      bool
}

// Read reads from the connection and counts what a request holds.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.listener.received(c, int64(n))
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.lock.Lock()
	c.remove()
	c.listener.lock.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the writing side. net/http does so shortly before it closes a connection of which it has not read everything.
// Until then, a part of what still arrives is discarded: a client whose connection is reset may not read its response.
func (c *Conn) CloseWrite() error {
	c.listener.setPhase(c, finished)
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	go func() { _, _ = io.CopyN(io.Discard, t, discardedBytes) }()
	return t.CloseWrite()
}

// Trust exempts the connection from the limits.
func (c *Conn) Trust() {
	l := c.listener
	l.lock.Lock()
	defer l.lock.Unlock()
	if c.element == nil || c.trusted {
		return
	}
	c.enter(finished, time.Now())
	c.enter(handled, time.Now())
	c.trusted = true
	l.trusted++
}

// cost is the estimated memory of the request on the connection.
func (c *Conn) cost() int64 {
	return c.header*headerCost + c.body*bodyCost
}

// enter moves the connection to a phase. The lock must be held.
func (c *Conn) enter(p phase, now time.Time) {
	l := c.listener
	c.leave()
	if p == idle || p == finished {
		c.header, c.body, c.inBody = 0, 0, false
	}
	c.phase, c.since, c.element = p, now, l.queues[p].PushBack(c)
	l.account(c, c.cost())
}

// leave takes the connection out of its phase. The lock must be held.
func (c *Conn) leave() {
	if c.element == nil {
		return
	}
	c.listener.account(c, -c.cost())
	c.listener.queues[c.phase].Remove(c.element)
	c.element = nil
}

// remove ends the accounting of the connection. The lock must be held.
func (c *Conn) remove() {
	c.leave()
	if c.trusted {
		c.trusted = false
		c.listener.trusted--
	}
}

// account adds to the memory of the connection's phase.
func (l *Listener) account(c *Conn, n int64) {
	switch c.phase {
	case arriving:
		l.arrivingBytes += n
	case handled:
		l.handledBytes += n
	}
}

// setPhase moves a connection that is still open to a phase.
func (l *Listener) setPhase(c *Conn, p phase) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if c.element != nil && !c.trusted {
		c.enter(p, time.Now())
	}
}

// received counts bytes of a request. If the arriving requests take too much memory, it closes connections.
func (l *Listener) received(c *Conn, n int64) {
	l.lock.Lock()
	if c.element == nil || c.phase == handled || c.phase == finished {
		l.lock.Unlock()
		return
	}
	if c.phase == idle {
		c.enter(arriving, time.Now())
	}
	l.account(c, -c.cost())
	if c.inBody || l.headerless {
		c.body += n
	} else {
		c.header += n
	}
	l.account(c, c.cost())
	var closed []*Conn
	if l.arrivingBytes > l.limits.MemoryBytes && l.queues[arriving].Len() > 1 {
		closed = l.largestArriving(time.Now())
	}
	for _, x := range closed {
		x.remove()
	}
	l.lock.Unlock()
	for _, x := range closed {
		x.Conn.Close()
		l.report(tooMuchArriving)
	}
}

// largestArriving returns the connections to close so that a share of the memory becomes free: those that have held most for the
// longest. One request alone is never cut off.
func (l *Listener) largestArriving(now time.Time) []*Conn {
	all := make([]*Conn, 0, l.queues[arriving].Len())
	for e := l.queues[arriving].Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*Conn))
	}
	held := func(c *Conn) float64 { return float64(c.cost()) * now.Sub(c.since).Seconds() }
	slices.SortFunc(all, func(a, b *Conn) int { return cmp.Compare(held(b), held(a)) })
	excess := l.arrivingBytes - l.limits.MemoryBytes + l.limits.MemoryBytes/freedShare
	n := 0
	for n < len(all)-1 && excess > 0 {
		excess -= all[n].cost()
		n++
	}
	return all[:n]
}
