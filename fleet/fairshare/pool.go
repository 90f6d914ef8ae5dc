package fairshare

import (
	"math"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// Window is the time in which the weight of past work decays to 1/e. Callers wait some seconds for their jobs and bursts last
// about as long, so older work says little about what a workspace will submit or still uses.
const Window = 4 * time.Second

// Pool accounts for the finite work that workspaces offer to a pool, and for what was accepted of it.
type Pool struct {
	accounts map[string]*account
}

// account holds the decaying sums of a workspace's work, in resource-seconds, as of at.
type account struct {
	weight            float64
	offered, accepted job.Amount
	at                time.Time
}

// New returns a pool without work.
func New() *Pool {
	return &Pool{accounts: map[string]*account{}}
}

// Clone returns a copy that changes independently of p.
func (p *Pool) Clone() *Pool {
	c := New()
	for n, a := range p.accounts {
		x := *a
		c.accounts[n] = &x
	}
	return c
}

// Offer counts work that a workspace with the weight submits. Work that is submitted again must not be counted again.
func (p *Pool) Offer(name string, weight float64, work job.Amount, now time.Time) {
	a := p.decayed(name, now)
	a.weight = weight
	a.offered = a.offered.Add(work)
}

// Accept counts accepted work of a workspace.
func (p *Pool) Accept(name string, work job.Amount, now time.Time) {
	a := p.decayed(name, now)
	a.accepted = a.accepted.Add(work)
}

// decayed returns the account of a workspace as of now.
func (p *Pool) decayed(name string, now time.Time) *account {
	a := p.accounts[name]
	if a == nil {
		a = &account{at: now}
		p.accounts[name] = a
	}
	if d := now.Sub(a.at); d > 0 {
		f := math.Exp(-d.Seconds() / Window.Seconds())
		a.offered, a.accepted, a.at = a.offered.Times(f), a.accepted.Times(f), now
	}
	return a
}

// negligible is the number of windows after which an account without new work is dropped: e^-10 of the work is left.
const negligible = 10

// Allocate divides the capacity of the pool among the workspaces by what they offer.
func (p *Pool) Allocate(capacity job.Amount, now time.Time) Allocation {
	x := Allocation{}
	l := []claim{}
	for n, a := range p.accounts {
		if now.Sub(a.at) > negligible*Window {
			delete(p.accounts, n)
			continue
		}
		f := math.Exp(-now.Sub(a.at).Seconds()/Window.Seconds()) / Window.Seconds()
		offered := a.offered.Times(f)
		c := newClaim(n, a.weight, offered, capacity)
		l = append(l, c)
		x[n] = Share{Used: dominant(a.accepted.Times(f), capacity), Offered: c.demand, OfferedRate: offered}
	}
	for n, fair := range divide(l) {
		s := x[n]
		s.Fair = fair
		x[n] = s
	}
	return x
}

// dominant returns the largest fraction of the capacity that the amount is in any resource. What the pool does not have
// counts as nothing.
func dominant(a, capacity job.Amount) float64 {
	d, c := 0.0, capacity.Resources()
	for i, v := range a.Resources() {
		if c[i] > 0 {
			d = max(d, v/c[i])
		}
	}
	return d
}
