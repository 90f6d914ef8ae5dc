package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	pollPeriod  = 200 * time.Millisecond
	pollTimeout = 500 * time.Millisecond
)

// Target is one entry behind the balancer.
type Target struct {
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	// Weight is the entry's part of the requests relative to the others.
	Weight float64
}

// Balancer spreads requests over the entries that say they are ready.
type Balancer struct {
	client *http.Client

	lock    sync.Mutex
	targets []Target
	ready   map[netip.AddrPort]bool
}

// NewBalancer makes a balancer that takes all entries as ready until it has asked them.
func NewBalancer(l []Target) *Balancer {
	b := &Balancer{client: &http.Client{Timeout: pollTimeout}, targets: l, ready: map[netip.AddrPort]bool{}}
	for _, t := range l {
		b.ready[t.CallerAddress] = true
	}
	return b
}

// Run asks the entries until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	t := time.NewTicker(pollPeriod)
	defer t.Stop()
	for {
		for _, x := range b.list() {
			go b.ask(x)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *Balancer) list() []Target {
	b.lock.Lock()
	defer b.lock.Unlock()
	return append([]Target(nil), b.targets...)
}

func (b *Balancer) ask(t Target) {
	p, err := b.client.Get("http://" + t.OperatorAddress.String() + "/ready")
	ok := err == nil && p.StatusCode == http.StatusOK
	if err == nil {
		p.Body.Close()
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.ready[t.CallerAddress] = ok
}

// Pick draws an entry that is ready.
func (b *Balancer) Pick() netip.AddrPort {
	b.lock.Lock()
	defer b.lock.Unlock()
	total := 0.0
	for _, t := range b.targets {
		if b.ready[t.CallerAddress] {
			total += t.Weight
		}
	}
	x := rand.Float64() * total
	for _, t := range b.targets {
		if !b.ready[t.CallerAddress] {
			continue
		}
		x -= t.Weight
		if x <= 0 {
			return t.CallerAddress
		}
	}
	return b.targets[rand.IntN(len(b.targets))].CallerAddress
}

// SetWeight changes an entry's part of the requests.
func (b *Balancer) SetWeight(a netip.AddrPort, w float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for i := range b.targets {
		if b.targets[i].CallerAddress == a {
			b.targets[i].Weight = w
		}
	}
}
