package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/view"
	"github.com/tarragonbank/tarragonbank/fleet/member"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/settings"
)

const (
	// fullMeshLimit is the number of entries up to which each speaks to all others.
	fullMeshLimit = 8
	// heartbeatFanout is the number of peers spoken to at each interval above fullMeshLimit.
	heartbeatFanout = 2
	// updateFanout is the number of peers told at once of what is new above fullMeshLimit.
	updateFanout = 8
	maxInterval  = 4 * time.Second
	// entriesPerBaseInterval is how many entries make the interval longer by the base.
	entriesPerBaseInterval = 6
	// relayTimeoutFactor is how many times longer heartbeats may take through others.
	relayTimeoutFactor = 3
)

// Counter counts control messages by kind in bytes.
type Counter interface {
	Count(kind string, sent, received int)
}

// Logger takes decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// BodyFunc makes what the entry publishes of itself.
type BodyFunc func() *schema.RowBody

// Node is the entry among its peers.
type Node struct {
	name         string
	baseInterval time.Duration
	seeds        []settings.Seed
	view         *view.View
	log          Logger
	counter      Counter
	body         BodyFunc
	onChange     func()
	localAddress netip.Addr
	clientTLS    *tls.Config
	serverTLS    *tls.Config
	pull         chan struct{}
	publishNow   chan struct{}
	claimDecider Decider

	lock  sync.Mutex
	table *member.Table
	links map[string]*link
	// unheardBy are the entries that a peer does not hear from, by the peer.
	unheardBy map[string][]string
	// missingBodies are the entries whose bodies are wanted, by the peer that named them.
	missingBodies map[string][]string
	goroutines    sync.WaitGroup
}

// Option changes a Node at its making.
type Option func(*Node)

// WithOutgoing binds outgoing connections to an address of the entry.
func WithOutgoing(a netip.Addr) Option {
	return func(n *Node) { n.localAddress = a }
}

// WithTLS has peers speak over TLS with mutual certificates.
func WithTLS(client, server *tls.Config) Option {
	return func(n *Node) {
		n.clientTLS = client
		n.serverTLS = server
	}
}

// WithChanged has the function called after rows of peers have changed.
func WithChanged(f func()) Option {
	return func(n *Node) { n.onChange = f }
}

// New makes a node that knows the seeds.
func New(s *settings.Settings, v *view.View, b BodyFunc, l Logger, c Counter, opts ...Option) *Node {
	n := &Node{
		name: s.Name, baseInterval: s.ExchangeInterval, seeds: s.Seeds, view: v, log: l, counter: c, body: b,
		onChange:      func() {},
		pull:          make(chan struct{}, 1),
		publishNow:    make(chan struct{}, 1),
		links:         map[string]*link{},
		unheardBy:     map[string][]string{},
		missingBodies: map[string][]string{},
	}
	now := time.Now()
	n.table = member.New(now, s.Name, uint64(now.UnixMilli()), b(), s.ExchangeInterval)
	for _, o := range opts {
		o(n)
	}
	return n
}

// Run accepts peers on the listener and speaks to them until the context ends.
func (n *Node) Run(ctx context.Context, l net.Listener) {
	if n.serverTLS != nil {
		l = tls.NewListener(l, n.serverTLS)
	}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	n.goroutines.Add(2)
	go n.accept(ctx, l)
	go n.pullLoop(ctx)
	n.heartbeatLoop(ctx)
	n.goroutines.Wait()
}

// PublishNow publishes the entry's row now rather than at the next interval.
func (n *Node) PublishNow() {
	notify(n.publishNow)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (n *Node) heartbeatLoop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.publishNow:
			n.heartbeat(ctx, updateFanout)
		case <-t.C:
			d := n.interval()
			t.Reset(d*9/10 + rand.N(d/5))
			n.heartbeat(ctx, heartbeatFanout)
		}
	}
}

// interval grows with the number of entries, so that the bytes of a node do not.
func (n *Node) interval() time.Duration {
	n.lock.Lock()
	defer n.lock.Unlock()
	c := len(n.table.WorkSharers())
	if c <= fullMeshLimit {
		n.table.SetInterval(n.baseInterval, 1)
		return n.baseInterval
	}
	d := min(n.baseInterval*time.Duration(c)/entriesPerBaseInterval, max(maxInterval, n.baseInterval))
	n.table.SetInterval(d, relayTimeoutFactor)
	return d
}

// heartbeat publishes the entry's row and speaks to some peers; rows of others go with the regular beats only.
func (n *Node) heartbeat(ctx context.Context, fan int) {
	b := n.body()
	now := time.Now()
	n.lock.Lock()
	n.table.Publish(now, b)
	l := n.table.Tick(now)
	links := n.selectLinks(ctx, fan)
	n.lock.Unlock()
	for _, m := range l {
		n.log.Add(decision.Record{Time: now, Kind: decision.Membership, Reason: m.Name() + " is " + m.State.String()})
	}
	for _, x := range links {
		if fan == heartbeatFanout {
			x.includeRelayed.Store(true)
		}
		notify(x.wake)
	}
	if len(l) > 0 {
		n.onChange()
	}
}

// selectLinks picks the peers to speak to; the lock is held.
func (n *Node) selectLinks(ctx context.Context, fan int) []*link {
	names := map[string]bool{}
	for _, s := range n.seeds {
		names[s.Name] = true
	}
	for _, m := range n.table.Members() {
		names[m.Name()] = m.State != member.Left
	}
	delete(names, n.name)
	l := []*link{}
	for x, ok := range names {
		if ok {
			l = append(l, n.linkTo(ctx, x))
		}
	}
	if len(l) < fullMeshLimit {
		return l
	}
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:fan]
}

func (n *Node) linkTo(ctx context.Context, name string) *link {
	l := n.links[name]
	if l != nil {
		return l
	}
	l = &link{name: name, node: n, wake: make(chan struct{}, 1), sent: member.NewSentRows()}
	n.links[name] = l
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		l.run(ctx)
	}()
	return l
}

// resolve is where the peer listens and whether it says that it does not hear this entry.
func (n *Node) resolve(name string) (netip.AddrPort, bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	unheard := false
	for i, x := range n.unheardBy[name] {
		if x == n.name {
			unheard = true
			n.unheardBy[name] = append(n.unheardBy[name][:i:i], n.unheardBy[name][i+1:]...)
			break
		}
	}
	for _, m := range n.table.Members() {
		if m.Name() == name {
			return m.Address(), unheard
		}
	}
	for _, s := range n.seeds {
		if s.Name == name {
			return s.Address, unheard
		}
	}
	return netip.AddrPort{}, unheard
}

// newExchange makes the message to a peer: what is new to it and what this entry lacks.
func (n *Node) newExchange(l *link) *schema.Envelope {
	n.lock.Lock()
	defer n.lock.Unlock()
	relayAll := len(n.table.WorkSharers()) > fullMeshLimit && l.includeRelayed.Swap(false)
	relay := func(name string) bool {
		if name == l.name {
			return false
		}
		if relayAll {
			return true
		}
		for _, x := range n.unheardBy[l.name] {
			if x == name {
				return true
			}
		}
		return false
	}
	x := &schema.Exchange{From: n.name, Rows: n.table.Rows(l.sent, relay), Missing: n.table.Unresponsive(), Unknown: n.missingBodies[l.name]}
	delete(n.missingBodies, l.name)
	return &schema.Envelope{Body: &schema.Envelope_Exchange{Exchange: x}}
}

// Members lists the entries that are known.
func (n *Node) Members() []member.Member {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.table.Members()
}

// WorkSharers lists the entries that take part in dividing work.
func (n *Node) WorkSharers() []member.Member {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.table.WorkSharers()
}

// ShouldWatch says whether the entry should wait on the platform for its data centre.
func (n *Node) ShouldWatch() bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.table.IsWatcher() || !n.table.HasOtherWatcher()
}
