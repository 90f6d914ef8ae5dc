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
	// meshSize is the number of entries up to which each speaks to all others.
	meshSize = 8
	// fanOut is the number of peers spoken to at each interval above meshSize.
	fanOut = 2
	// newsFanOut is the number of peers told at once of what is new above meshSize.
	newsFanOut      = 8
	longestInterval = 4 * time.Second
	// entriesABase is how many entries make the interval longer by the base.
	entriesABase = 6
	// relayPatience is how many times longer heartbeats may take through others.
	relayPatience = 3
)

// Counter counts control messages by kind in bytes.
type Counter interface {
	Count(kind string, sent, received int)
}

// Logger takes decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Body makes what the entry publishes of itself.
type Body func() *schema.RowBody

// Node is the entry among its peers.
type Node struct {
	name     string
	base     time.Duration
	seeds    []settings.Seed
	view     *activeconfig.Config
	log      Logger
	counter  Counter
	body     Body
	changed  func()
	outgoing netip.Addr
	client   *tls.Config
	server   *tls.Config
	pull     chan struct{}
	hurry    chan struct{}
	claims   Decider

	lock  sync.Mutex
	table *member.Table
	links map[string]*link
	// asked are the entries that a peer does not hear from, by the peer.
	asked map[string][]string
	// unknown are the entries whose bodies are wanted, by the peer that named them.
	unknown map[string][]string
	closing sync.WaitGroup
}

// Option changes a Node at its making.
type Option func(*Node)

// WithOutgoing binds outgoing connections to an address of the entry.
func WithOutgoing(a netip.Addr) Option {
	return func(n *Node) { n.outgoing = a }
}

// WithTLS has peers speak over TLS with mutual certificates.
func WithTLS(client, server *tls.Config) Option {
	return func(n *Node) {
		n.client = client
		n.server = server
	}
}

// WithChanged has the function called after rows of peers have changed.
func WithChanged(f func()) Option {
	return func(n *Node) { n.changed = f }
}

// New makes a node that knows the seeds.
func New(s *settings.Settings, v *activeconfig.Config, b Body, l Logger, c Counter, opts ...Option) *Node {
	n := &Node{
		name: s.Name, base: s.ExchangeInterval, seeds: s.Seeds, view: v, log: l, counter: c, body: b,
		changed: func() {},
		pull:    make(chan struct{}, 1),
		hurry:   make(chan struct{}, 1),
		links:   map[string]*link{},
		asked:   map[string][]string{},
		unknown: map[string][]string{},
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
	if n.server != nil {
		l = tls.NewListener(l, n.server)
	}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	n.closing.Add(2)
	go n.accept(ctx, l)
	go n.pullLoop(ctx)
	n.beatLoop(ctx)
	n.closing.Wait()
}

// Hurry publishes the entry's row now rather than at the next interval.
func (n *Node) Hurry() {
	signal(n.hurry)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (n *Node) beatLoop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.hurry:
			n.beat(ctx, newsFanOut)
		case <-t.C:
			d := n.interval()
			t.Reset(d*9/10 + rand.N(d/5))
			n.beat(ctx, fanOut)
		}
	}
}

// interval grows with the number of entries, so that the bytes of a node do not.
func (n *Node) interval() time.Duration {
	n.lock.Lock()
	defer n.lock.Unlock()
	c := len(n.table.WorkSharers())
	if c <= meshSize {
		n.table.SetInterval(n.base, 1)
		return n.base
	}
	d := min(n.base*time.Duration(c)/entriesABase, max(longestInterval, n.base))
	n.table.SetInterval(d, relayPatience)
	return d
}

// beat publishes the entry's row and speaks to some peers; rows of others go with the regular beats only.
func (n *Node) beat(ctx context.Context, fan int) {
	b := n.body()
	now := time.Now()
	n.lock.Lock()
	n.table.Publish(now, b)
	l := n.table.Tick(now)
	links := n.choose(ctx, fan)
	n.lock.Unlock()
	for _, m := range l {
		n.log.Add(decision.Record{Time: now, Kind: decision.Membership, Reason: m.Name() + " is " + m.State.String()})
	}
	for _, x := range links {
		if fan == fanOut {
			x.relays.Store(true)
		}
		signal(x.kick)
	}
	if len(l) > 0 {
		n.changed()
	}
}

// choose picks the peers to speak to; the lock is held.
func (n *Node) choose(ctx context.Context, fan int) []*link {
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
			l = append(l, n.link(ctx, x))
		}
	}
	if len(l) < meshSize {
		return l
	}
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:fan]
}

func (n *Node) link(ctx context.Context, name string) *link {
	l := n.links[name]
	if l != nil {
		return l
	}
	l = &link{name: name, node: n, kick: make(chan struct{}, 1), sent: member.NewSentRows()}
	n.links[name] = l
	n.closing.Add(1)
	go func() {
		defer n.closing.Done()
		l.run(ctx)
	}()
	return l
}

// target is where the peer listens and whether it says that it does not hear this entry.
func (n *Node) target(name string) (netip.AddrPort, bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	deaf := false
	for i, x := range n.asked[name] {
		if x == n.name {
			deaf = true
			n.asked[name] = append(n.asked[name][:i:i], n.asked[name][i+1:]...)
			break
		}
	}
	for _, m := range n.table.Members() {
		if m.Name() == name {
			return m.Address(), deaf
		}
	}
	for _, s := range n.seeds {
		if s.Name == name {
			return s.Address, deaf
		}
	}
	return netip.AddrPort{}, deaf
}

// exchange makes the message to a peer: what is new to it and what this entry lacks.
func (n *Node) exchange(l *link) *schema.Envelope {
	n.lock.Lock()
	defer n.lock.Unlock()
	wide := len(n.table.WorkSharers()) > meshSize && l.relays.Swap(false)
	relay := func(name string) bool {
		if name == l.name {
			return false
		}
		if wide {
			return true
		}
		for _, x := range n.asked[l.name] {
			if x == name {
				return true
			}
		}
		return false
	}
	x := &schema.Exchange{From: n.name, Rows: n.table.Rows(l.sent, relay), Missing: n.table.Unresponsive(), Unknown: n.unknown[l.name]}
	delete(n.unknown, l.name)
	return &schema.Envelope{Body: &schema.Envelope_Exchange{Exchange: x}}
}

// Members lists the entries that are known.
func (n *Node) Members() []member.Member {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.table.Members()
}

// Sharing lists the entries that take part in dividing work.
func (n *Node) Sharing() []member.Member {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.table.WorkSharers()
}

// Watcher says whether the entry should wait on the platform for its data centre.
func (n *Node) Watcher() bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.table.IsWatcher() || !n.table.HasOtherWatcher()
}
