package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/request"
	"github.com/tarragonbank/tarragonbank/fleet/service"
	"github.com/tarragonbank/tarragonbank/fleet/share"
	"github.com/tarragonbank/tarragonbank/fleet/team"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// defaultTeamQuota is the scheduling weight of a team without a configured quota.
	defaultTeamQuota = 0.05
	// borrowDelayDivisor sets the wait before a request borrows slots: the mean service time divided by this.
	borrowDelayDivisor = 8
	// maxBorrowQueueFactor is the longest queue, in multiples of the entry's capacity, at which it still borrows;
	// a longer one is treated as an overload that other entries see as well.
	maxBorrowQueueFactor = 3
)

// Pool holds the requests that are queued for the VMs of one pool or running on them.
type Pool struct {
	name            string
	policy          Policy
	random          *rand.Rand
	vms             map[string]*vmState
	sortedVMs       []*vmState
	candidateBuffer []*vmState
	services        map[string]*serviceState
	teams           map[string]team.Team
	requeued        []*Ticket
	borrowing       bool
	// free counts the free slots granted to this entry, usable all granted slots on usable VMs.
	free   int
	usable int
	// borrowBackoff is the time between attempts to borrow slots; each refusal in a row doubles it.
	borrowBackoff time.Duration
	borrowAfter   time.Time
}

// Option configures a new Pool.
type Option func(*Pool)

// WithPolicy sets the admission policy.
func WithPolicy(x Policy) Option {
	return func(p *Pool) { p.policy = x }
}

// WithRandom sets the random source for VM selection and jitter.
func WithRandom(r *rand.Rand) Option {
	return func(p *Pool) { p.random = r }
}

// New creates a pool without VMs or services; the default policy admits requests that can meet their deadline.
func New(name string, l ...Option) *Pool {
	p := &Pool{
		name:     name,
		policy:   PolicyFunc(Prediction.MeetsDeadline),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		vms:      map[string]*vmState{},
		services: map[string]*serviceState{},
	}
	for _, o := range l {
		o(p)
	}
	return p
}

// SetServices replaces the services and teams; queued and running requests are kept.
func (p *Pool) SetServices(l []service.Service, t map[string]team.Team) {
	p.teams = t
	for _, s := range l {
		if x := p.services[s.Name]; x != nil {
			x.config = s
			continue
		}
		p.services[s.Name] = newServiceState(s)
	}
	configured := func(n string) bool {
		return slices.ContainsFunc(l, func(s service.Service) bool { return s.Name == n })
	}
	for n, x := range p.services {
		if configured(n) {
			continue
		}
		x.config.ReservedShare = 0
		if x.busy == 0 && x.waiting == 0 {
			delete(p.services, n)
		}
	}
}

// SetAllocation replaces the slots that this entry may use; running requests keep theirs.
func (p *Pool) SetAllocation(a share.Allocation, vms map[string]vm.VM, usable func(vm string) bool) {
	p.borrowing = a.MayBorrow
	for n := range vms {
		if p.vms[n] == nil {
			p.vms[n] = &vmState{name: n}
		}
	}
	for n, v := range p.vms {
		v.slots = vms[n].Slots
		v.granted = a.Own[n]
		v.usable = usable(n)
		if v.slots == 0 && v.busy == 0 {
			delete(p.vms, n)
		}
	}
	p.recountSlots()
}

// Offer queues a request that the policy admits; otherwise it returns a nil ticket and the refusal.
func (p *Pool) Offer(now time.Time, r request.Request) (*Ticket, Refusal) {
	s := p.services[r.Service]
	if s == nil {
		return nil, Refusal{Reason: UnknownService}
	}
	s.offeredLoad.add(now, s.serviceTimes.Mean())
	if f := p.check(now, s, r); f.Reason != None {
		return nil, f
	}
	s.classes[r.Priority].arrivals.add(now)
	t := &Ticket{Request: r, Ready: make(chan struct{}), admitted: now, latestStart: s.latestStart(r), service: s}
	s.push(t, p.quota(r.Team))
	return t, Refusal{}
}

// Check returns the refusal that Offer would return, without queueing the request; its Reason is None if admitted.
func (p *Pool) Check(now time.Time, r request.Request) Refusal {
	s := p.services[r.Service]
	if s == nil {
		return Refusal{Reason: UnknownService}
	}
	return p.check(now, s, r)
}

func (p *Pool) check(now time.Time, s *serviceState, r request.Request) Refusal {
	if p.capacity() == 0 {
		return Refusal{Reason: NoCapacity, RetryAfter: p.jitterRetryAfter(time.Second)}
	}
	f := p.predict(now, s, r.Priority, r.Deadline)
	if p.policy.Admit(f) {
		return Refusal{}
	}
	return Refusal{Reason: Overloaded, RetryAfter: p.jitterRetryAfter(f.Wait + f.ServiceTime - f.Remaining)}
}

// Dispatch assigns free slots to queued requests and refuses those that can no longer meet their deadline.
// Requests that have waited for a fraction of their service time may borrow slots granted to other entries.
func (p *Pool) Dispatch(now time.Time) {
	for p.free > 0 {
		t := p.nextTicket(now)
		if t == nil {
			return
		}
		p.start(now, t, p.pickGranted(t.avoid))
	}
	for p.mayBorrow(now) {
		v := p.pickBorrowable("")
		if v == nil {
			return
		}
		t := p.nextTicket(now)
		if t == nil {
			return
		}
		t.borrowed = true
		p.start(now, t, v)
	}
}

// nextTicket dequeues the next request that can still meet its deadline, requeued ones first, or returns nil.
func (p *Pool) nextTicket(now time.Time) *Ticket {
	for len(p.requeued) > 0 {
		t := p.requeued[0]
		p.requeued = p.requeued[1:]
		if t.meetsDeadline(now) {
			return t
		}
		p.refuse(t, DeadlinePassed)
	}
	for {
		s := p.nextService()
		if s == nil {
			return nil
		}
		t := s.pop()
		if t.meetsDeadline(now) {
			return t
		}
		p.refuse(t, DeadlinePassed)
	}
}

// mayBorrow reports whether a request has waited long enough to borrow a slot. A queue above the limit
// means overload, which other entries see as well, so nothing is borrowed then.
func (p *Pool) mayBorrow(now time.Time) bool {
	if !p.borrowing || now.Before(p.borrowAfter) || p.waiting() > maxBorrowQueueFactor*p.capacity() {
		return false
	}
	if len(p.requeued) > 0 {
		return true
	}
	for _, s := range p.services {
		if s.waiting > 0 && now.Sub(s.oldestAdmission()) >= s.serviceTimes.Mean()/borrowDelayDivisor {
			return true
		}
	}
	return false
}

// capacity returns the usable slots granted to this entry, or 1 if it has none but can borrow.
func (p *Pool) capacity() int {
	if p.usable > 0 || !p.borrowing {
		return p.usable
	}
	for _, v := range p.vms {
		if v.usable && v.slots > 0 {
			return 1
		}
	}
	return 0
}

func (p *Pool) waiting() int {
	n := 0
	for _, s := range p.services {
		n += s.waiting
	}
	return n
}

func (p *Pool) start(now time.Time, t *Ticket, v *vmState) {
	before := v.freeGranted()
	v.busy++
	p.free += v.freeGranted() - before
	t.service.busy++
	t.team.busy++
	t.started = now
	t.VM = v.name
	close(t.Ready)
}

func (p *Pool) refuse(t *Ticket, r Reason) {
	t.Refused = r
	t.service.removeIdleTeam(t)
	close(t.Ready)
}

// nextService returns the service with queued requests that is furthest below its share of the slots, or nil.
func (p *Pool) nextService() *serviceState {
	var s *serviceState
	best := 0.0
	for _, x := range p.services {
		if x.waiting == 0 {
			continue
		}
		v := float64(x.busy+1) / p.weight(x)
		if s == nil || v < best || v == best && x.config.Name < s.config.Name {
			s = x
			best = v
		}
	}
	return s
}

// Cancel removes a queued request and reports whether it was still queued.
func (p *Pool) Cancel(t *Ticket) bool {
	if t.VM != "" || t.Refused != None {
		return false
	}
	if i := slices.Index(p.requeued, t); i >= 0 {
		p.requeued = slices.Delete(p.requeued, i, i+1)
		t.service.removeIdleTeam(t)
		return true
	}
	return t.service.remove(t)
}

// Done frees the slot of a running request; if it was served, its duration updates the estimates.
// It panics if the ticket holds no slot.
func (p *Pool) Done(now time.Time, t *Ticket, served bool) {
	v := p.vms[t.VM]
	if v == nil || v.busy == 0 || t.service.busy == 0 {
		panic(fmt.Sprintf("admission: pool %s freed a slot of VM %s that was not taken", p.name, t.VM))
	}
	before := v.freeGranted()
	v.busy--
	p.free += v.freeGranted() - before
	t.service.busy--
	t.team.busy--
	t.service.removeIdleTeam(t)
	if served {
		d := now.Sub(t.started)
		t.service.serviceTimes.Observe(now, d)
		v.observeLatency(d)
		v.backoff = 0
		if t.borrowed {
			p.borrowBackoff = 0
		}
	}
	if v.slots == 0 && v.busy == 0 {
		delete(p.vms, v.name)
		p.recountSlots()
	}
}

// Requeue puts a request whose VM did not serve it at the head of the queue, with another VM preferred,
// and returns its new ticket.
func (p *Pool) Requeue(now time.Time, t *Ticket) *Ticket {
	s := t.service
	n := &Ticket{Request: t.Request, Ready: make(chan struct{}), admitted: now, latestStart: s.latestStart(t.Request), service: s, avoid: t.VM}
	n.team = s.team(t.Request, p.quota(t.Request.Team))
	p.requeued = append(p.requeued, n)
	return n
}

// Demand returns the number of slots that this entry could use now: per service, the offered load or
// the running requests, whichever is more.
func (p *Pool) Demand(now time.Time) int {
	d := 0.0
	for _, s := range p.services {
		d += max(s.offeredLoad.at(now), float64(s.busy))
	}
	return int(d + 0.5)
}

// P95ServiceTime returns the 95th percentile of the named service's time, and whether it is based on samples. It returns 0
// if the service is unknown.
func (p *Pool) P95ServiceTime(name string) (time.Duration, bool) {
	s := p.services[name]
	if s == nil {
		return 0, false
	}
	return s.serviceTimes.P95(), s.serviceTimes.HasSamples()
}

// Load counts the pool's slots and requests.
type Load struct {
	Free    int `json:"free"`
	Usable  int `json:"usable"`
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
}

// Load returns the current counts.
func (p *Pool) Load() Load {
	l := Load{Free: p.free, Usable: p.usable, Waiting: len(p.requeued)}
	for _, s := range p.services {
		l.Busy += s.busy
		l.Waiting += s.waiting
	}
	return l
}

// LatestStart returns the time after which the request can no longer meet its deadline,
// as predicted when it was queued.
func (t *Ticket) LatestStart() time.Time {
	return t.latestStart
}

// meetsDeadline reports whether a request that starts now is likely to meet its deadline.
func (t *Ticket) meetsDeadline(now time.Time) bool {
	return !now.After(t.service.latestStart(t.Request))
}

// ResetLatency clears the smoothed latency of a VM.
func (p *Pool) ResetLatency(vm string) {
	if v := p.vms[vm]; v != nil {
		v.latency = 0
	}
}

// Latencies returns the smoothed latency of each VM that has one.
func (p *Pool) Latencies() map[string]time.Duration {
	r := make(map[string]time.Duration, len(p.vms))
	for n, v := range p.vms {
		if v.latency > 0 {
			r[n] = v.latency
		}
	}
	return r
}

func (p *Pool) quota(name string) float64 {
	if t, ok := p.teams[name]; ok && t.Quota > 0 {
		return t.Quota
	}
	return defaultTeamQuota
}

// jitterRetryAfter clamps the wait and adds up to 100% random jitter, to spread out the retries of refused callers.
func (p *Pool) jitterRetryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(p.random.Int64N(int64(d)))
}
