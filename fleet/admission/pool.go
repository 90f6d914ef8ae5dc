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
	shortestRetry = 50 * time.Millisecond
	longestRetry  = 10 * time.Second
	openQuota     = 0.05
	// patienceParts is how many times a request waits in its service time before it tries others' slots.
	patienceParts = 8
	// floodRounds is how many times over the entry's own slots a queue may fill before it is a flood.
	floodRounds = 3
)

// Pool holds the requests that wait for, or run on, the VMs of one pool.
type Pool struct {
	name     string
	policy   Policy
	random   *rand.Rand
	vms      map[string]*vmState
	order    []*vmState
	scratch  []*vmState
	services map[string]*serviceState
	teams    map[string]team.Team
	returned []*Ticket
	lend     bool
	free     int
	usable   int
	// patience is the pause between tries of others' slots, doubled with each refusal in a row.
	patience    time.Duration
	borrowAfter time.Time
}

// Option changes a Pool at its making.
type Option func(*Pool)

// WithPolicy sets how requests are admitted.
func WithPolicy(x Policy) Option {
	return func(p *Pool) { p.policy = x }
}

// WithRandom sets the source of random choices.
func WithRandom(r *rand.Rand) Option {
	return func(p *Pool) { p.random = r }
}

// New makes a pool without VMs that admits by deadline.
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

// SetServices replaces the services and teams; what waits or runs is kept.
func (p *Pool) SetServices(l []service.Service, t map[string]team.Team) {
	p.teams = t
	for _, s := range l {
		if x := p.services[s.Name]; x != nil {
			x.rules = s
			continue
		}
		p.services[s.Name] = newServiceState(s)
	}
	named := func(n string) bool {
		return slices.ContainsFunc(l, func(s service.Service) bool { return s.Name == n })
	}
	for n, x := range p.services {
		if named(n) {
			continue
		}
		x.rules.ReservedShare = 0
		if x.busy == 0 && x.waiting == 0 {
			delete(p.services, n)
		}
	}
}

// SetAllocation replaces the slots that the entry may use; requests that run keep theirs.
func (p *Pool) SetAllocation(d share.Allocation, vms map[string]vm.VM, usable func(vm string) bool) {
	p.lend = d.MayBorrow
	for n := range vms {
		if p.vms[n] == nil {
			p.vms[n] = &vmState{name: n}
		}
	}
	for n, v := range p.vms {
		v.slots = vms[n].Slots
		v.granted = d.Own[n]
		v.usable = usable(n)
		if v.slots == 0 && v.busy == 0 {
			delete(p.vms, n)
		}
	}
	p.recount()
}

// Offer admits a request and queues it, or refuses it.
func (p *Pool) Offer(now time.Time, r request.Request) (*Ticket, Refusal) {
	s := p.services[r.Service]
	if s == nil {
		return nil, Refusal{Reason: UnknownService}
	}
	s.offered.add(now, s.times.Mean())
	if f := p.check(now, s, r); f.Reason != None {
		return nil, f
	}
	s.classes[r.Priority].arrivals.add(now)
	t := &Ticket{Request: r, Ready: make(chan struct{}), admitted: now, latest: s.latestStart(r), service: s}
	s.push(t, p.quota(r.Team))
	return t, Refusal{}
}

// Check says whether a request would be admitted, without queueing it.
func (p *Pool) Check(now time.Time, r request.Request) Refusal {
	s := p.services[r.Service]
	if s == nil {
		return Refusal{Reason: UnknownService}
	}
	return p.check(now, s, r)
}

func (p *Pool) check(now time.Time, s *serviceState, r request.Request) Refusal {
	if p.capacity() == 0 {
		return Refusal{Reason: NoCapacity, RetryAfter: p.spread(time.Second)}
	}
	f := p.forecast(now, s, r.Priority, r.Deadline)
	if p.policy.Admit(f) {
		return Refusal{}
	}
	return Refusal{Reason: Overloaded, RetryAfter: p.spread(f.Wait + f.ServiceTime - f.Remaining)}
}

// Dispatch gives free slots to waiting requests and gives up those that cannot be in time.
// Requests that have waited for a part of their service time may try others' slots.
func (p *Pool) Dispatch(now time.Time) {
	for p.free > 0 {
		t := p.next(now)
		if t == nil {
			return
		}
		p.start(now, t, p.pick(t.avoid))
	}
	for p.mayBorrow(now) {
		v := p.borrow("")
		if v == nil {
			return
		}
		t := p.next(now)
		if t == nil {
			return
		}
		t.borrowed = true
		p.start(now, t, v)
	}
}

// next takes the next request that can still be in time, those that were given back first.
func (p *Pool) next(now time.Time) *Ticket {
	for len(p.returned) > 0 {
		t := p.returned[0]
		p.returned = p.returned[1:]
		if t.inTime(now) {
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
		if t.inTime(now) {
			return t
		}
		p.refuse(t, DeadlinePassed)
	}
}

// mayBorrow says whether some request has waited long enough to try others' slots,
// and the queue is not so long that it must be a flood, which others see too.
func (p *Pool) mayBorrow(now time.Time) bool {
	if !p.lend || now.Before(p.borrowAfter) || p.waiting() > floodRounds*p.capacity() {
		return false
	}
	if len(p.returned) > 0 {
		return true
	}
	for _, s := range p.services {
		if s.waiting > 0 && now.Sub(s.longest()) >= s.times.Mean()/patienceParts {
			return true
		}
	}
	return false
}

// capacity is the slots that the entry can count on: its own, or one to borrow where it has none.
func (p *Pool) capacity() int {
	if p.usable > 0 || !p.lend {
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
	before := v.free()
	v.busy++
	p.free += v.free() - before
	t.service.busy++
	t.team.busy++
	t.started = now
	t.VM = v.name
	close(t.Ready)
}

func (p *Pool) refuse(t *Ticket, r Reason) {
	t.Refused = r
	t.service.tidy(t)
	close(t.Ready)
}

// nextService is the one furthest under its share of the slots among those that wait.
func (p *Pool) nextService() *serviceState {
	var s *serviceState
	best := 0.0
	for _, x := range p.services {
		if x.waiting == 0 {
			continue
		}
		v := float64(x.busy+1) / p.weight(x)
		if s == nil || v < best || v == best && x.rules.Name < s.rules.Name {
			s = x
			best = v
		}
	}
	return s
}

// Cancel takes a waiting request out and says whether it was still waiting.
func (p *Pool) Cancel(t *Ticket) bool {
	if t.VM != "" || t.Refused != None {
		return false
	}
	if i := slices.Index(p.returned, t); i >= 0 {
		p.returned = slices.Delete(p.returned, i, i+1)
		t.service.tidy(t)
		return true
	}
	return t.service.remove(t)
}

// Done frees the slot of a request that ran; a served request teaches its time.
func (p *Pool) Done(now time.Time, t *Ticket, served bool) {
	v := p.vms[t.VM]
	if v == nil || v.busy == 0 || t.service.busy == 0 {
		panic(fmt.Sprintf("admission: pool %s freed a slot of %s that was not taken", p.name, t.VM))
	}
	before := v.free()
	v.busy--
	p.free += v.free() - before
	t.service.busy--
	t.team.busy--
	t.service.tidy(t)
	if served {
		d := now.Sub(t.started)
		t.service.times.Observe(now, d)
		v.observe(d)
		v.pause = 0
		if t.borrowed {
			p.patience = 0
		}
	}
	if v.slots == 0 && v.busy == 0 {
		delete(p.vms, v.name)
		p.recount()
	}
}

// Requeue has a request that was given a slot in vain wait before all others, for a VM other than the one it was on.
func (p *Pool) Requeue(now time.Time, t *Ticket) *Ticket {
	s := t.service
	n := &Ticket{Request: t.Request, Ready: make(chan struct{}), admitted: now, latest: s.latestStart(t.Request), service: s, avoid: t.VM}
	n.team = s.team(t.Request, p.quota(t.Request.Team))
	p.returned = append(p.returned, n)
	return n
}

// Demand is how many slots the entry could use for the pool now.
func (p *Pool) Demand(now time.Time) int {
	d := 0.0
	for _, s := range p.services {
		d += max(s.offered.at(now), float64(s.busy))
	}
	return int(d + 0.5)
}

// P95ServiceTime is the learned time of the service that 95 of 100 requests stay under.
func (p *Pool) P95ServiceTime(name string) (time.Duration, bool) {
	s := p.services[name]
	if s == nil {
		return 0, false
	}
	return s.times.P95(), s.times.HasSamples()
}

// Load is the pool's state in numbers.
type Load struct {
	Free    int `json:"free"`
	Usable  int `json:"usable"`
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
}

// Load counts slots and requests.
func (p *Pool) Load() Load {
	l := Load{Free: p.free, Usable: p.usable, Waiting: len(p.returned)}
	for _, s := range p.services {
		l.Busy += s.busy
		l.Waiting += s.waiting
	}
	return l
}

// LatestStart is the time after which a waiting request could no longer be answered by its deadline,
// as it was forecast when the request was queued.
func (t *Ticket) LatestStart() time.Time {
	return t.latest
}

// inTime says whether a request that starts now is likely to be answered by its deadline.
func (t *Ticket) inTime(now time.Time) bool {
	return !now.After(t.service.latestStart(t.Request))
}

// ResetLatency drops the learned latency of a VM.
func (p *Pool) ResetLatency(vm string) {
	if v := p.vms[vm]; v != nil {
		v.latency = 0
	}
}

// Latencies is the smoothed latency of each VM that has answered.
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
	return openQuota
}

// spread draws a time to come back from one to two times the wait.
func (p *Pool) spread(d time.Duration) time.Duration {
	d = min(max(d, shortestRetry), longestRetry)
	return d + time.Duration(p.random.Int64N(int64(d)))
}
