package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/member"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/settings"
)

const (
	// fullMeshLimit is the number of entries up to which each sends heartbeats to all others.
	fullMeshLimit = 8
	// heartbeatFanout is the number of peers that get each heartbeat above fullMeshLimit.
	heartbeatFanout = 2
	// updateFanout is the number of peers that get an immediate update above fullMeshLimit.
	updateFanout = 8
	// maxInterval bounds the interval, unless the base interval is longer.
	maxInterval = 4 * time.Second
	// entriesPerBaseInterval sets how fast the interval grows above fullMeshLimit: it is the base interval times the
	// number of entries, divided by this constant.
	entriesPerBaseInterval = 6
	// relayTimeoutFactor extends the liveness timeouts above fullMeshLimit, where heartbeats are relayed by other entries.
	relayTimeoutFactor = 3
)

// Counter counts control messages.
type Counter interface {
	// Count counts one message of a kind and the bytes sent and received for it.
	Count(kind string, sent, received int)
}

// Logger records decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// BodyFunc returns the state that the entry currently publishes about itself.
type BodyFunc func() *schema.RowBody

// Node is this entry's participant in the gossip between entries. Node.lock guards the fields below it, and
// claimDecider.
type Node struct {
	name         string
	baseInterval time.Duration
	seeds        []settings.Seed
	active       *activeconfig.Config
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
	// unheardBy lists, by peer, the entries that the peer reports it does not hear from.
	unheardBy map[string][]string
	// missingBodies lists, by peer, the entries whose row bodies are to be requested from the peer.
	missingBodies map[string][]string
	goroutines    sync.WaitGroup
}

// Option configures a Node.
type Option func(*Node)

// WithOutgoingAddress sets the local address of outgoing connections.
func WithOutgoingAddress(a netip.Addr) Option {
	return func(n *Node) { n.localAddress = a }
}

// WithTLS enables mutual TLS between entries.
func WithTLS(client, server *tls.Config) Option {
	return func(n *Node) {
		n.clientTLS = client
		n.serverTLS = server
	}
}

// WithOnChange sets a function that is called after rows or the liveness of peers have changed.
func WithOnChange(f func()) Option {
	return func(n *Node) { n.onChange = f }
}

// New creates a node that contacts the seeds in the settings.
func New(s *settings.Settings, a *activeconfig.Config, b BodyFunc, l Logger, c Counter, opts ...Option) *Node {
	n := &Node{
		name: s.Name, baseInterval: s.ExchangeInterval, seeds: s.Seeds, active: a, log: l, counter: c, body: b,
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

// Run accepts connections of peers on the listener and exchanges state with them until the context is done.
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

// PublishNow publishes the entry's row without waiting for the next heartbeat. It does not block.
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
			// Jitter of 10 % around the interval.
			t.Reset(d*9/10 + rand.N(d/5))
			n.heartbeat(ctx, heartbeatFanout)
		}
	}
}

// interval returns the time between heartbeats. It grows with the number of entries, so that the traffic of each entry
// does not.
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

// heartbeat publishes the entry's row, updates the liveness of peers and triggers exchanges with the selected ones.
// Only regular heartbeats, not immediate updates, relay the rows of other entries.
func (n *Node) heartbeat(ctx context.Context, fanout int) {
	b := n.body()
	now := time.Now()
	n.lock.Lock()
	n.table.Publish(now, b)
	l := n.table.Tick(now)
	links := n.selectLinks(ctx, fanout)
	n.lock.Unlock()
	for _, m := range l {
		n.log.Add(decision.Record{Time: now, Kind: decision.Membership, Reason: m.Name() + " is " + m.State.String()})
	}
	for _, x := range links {
		if fanout == heartbeatFanout {
			x.includeRelayed.Store(true)
		}
		notify(x.wake)
	}
	if len(l) > 0 {
		n.onChange()
	}
}

// selectLinks returns the links to all known peers, or to fanout random ones above fullMeshLimit. The lock must be held.
func (n *Node) selectLinks(ctx context.Context, fanout int) []*link {
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
	return l[:fanout]
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

// resolve returns the peer's address, which is invalid if it is unknown, and reports whether the peer said since the
// last call that it does not hear from this entry.
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

// newExchange returns the next message to a peer, with the rows that are new to it and the rows and bodies that this
// entry lacks.
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

// Members returns all known entries, sorted by name.
func (n *Node) Members() []member.Member {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.table.Members()
}

// WorkSharers returns the entries among which work is divided, sorted by name.
func (n *Node) WorkSharers() []member.Member {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.table.WorkSharers()
}

// ShouldWatch reports whether this entry should watch the platform on behalf of its data centre.
func (n *Node) ShouldWatch() bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.table.IsWatcher() || !n.table.HasOtherWatcher()
}
