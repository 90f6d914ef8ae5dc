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
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
)

// Target is one entry behind the balancer, with its addresses for callers and operators.
type Target struct {
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	// Weight is the entry's share of the requests relative to the other targets.
	Weight float64
}

// Balancer distributes requests at random, by weight, over the entries whose readiness check passes.
type Balancer struct {
	client *http.Client

	lock    sync.Mutex
	targets []Target
	ready   map[netip.AddrPort]bool
}

// NewBalancer returns a balancer that treats all entries as ready until their first readiness check.
func NewBalancer(l []Target) *Balancer {
	b := &Balancer{client: &http.Client{Timeout: pollTimeout}, targets: l, ready: map[netip.AddrPort]bool{}}
	for _, t := range l {
		b.ready[t.CallerAddress] = true
	}
	return b
}

// Run polls the readiness of all entries until the context is cancelled.
func (b *Balancer) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		for _, x := range b.targetList() {
			go b.poll(x)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *Balancer) targetList() []Target {
	b.lock.Lock()
	defer b.lock.Unlock()
	return append([]Target(nil), b.targets...)
}

func (b *Balancer) poll(t Target) {
	p, err := b.client.Get("http://" + t.OperatorAddress.String() + "/ready")
	ok := err == nil && p.StatusCode == http.StatusOK
	if err == nil {
		p.Body.Close()
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.ready[t.CallerAddress] = ok
}

// Pick returns the caller address of a random ready entry, or of any entry if none is ready.
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

// SetWeight sets the weight of the entry with the caller address.
func (b *Balancer) SetWeight(a netip.AddrPort, w float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for i := range b.targets {
		if b.targets[i].CallerAddress == a {
			b.targets[i].Weight = w
		}
	}
}
