package executor

import (
	"cmp"
	"context"
	"errors"
	"math/bits"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonbank/tarragonbank/entry/channel"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

const (
	// avoidancePeriod is how long an executor is not used for a server after a call to it had no result.
	avoidancePeriod = 3 * time.Second
	// maxFailures is the number of calls in a row without a result after which an executor is not used for suspension.
	maxFailures = 8
	suspension  = 2 * time.Second
	// routeRetention is how long a server counts after its last call. sweepInterval is the time between checks.
	routeRetention = 5 * time.Second
	sweepInterval  = time.Second
)

// Pool sends the owner's orders to backend servers, through other entries if there are many servers. It implements
// owner.Servers. A call that had no result through an executor goes through another one when it is repeated, or directly if
// there is none; orders are idempotent.
type Pool struct {
	direct owner.Servers
	cores  float64

	// lock guards the fields below and is not held during calls.
	lock sync.Mutex
	// members are sorted by name. version counts their changes.
	members []*member
	version int
	routes  map[string]*route
	groups  map[groupKey]group
	sweptAt time.Time
}

// groupKey names a group of servers that share an executor, so that their calls share frames and an executor is chosen once
// for all of them.
type groupKey struct {
	dataCentre string
	bucket     uint64
}

// group is the executor of a group as chosen for a version of the members.
type group struct {
	member  *member
	version int
	// until is when the first suspension ends of those in force at the choice, zero if there was none.
	until time.Time
}

// current reports whether the choice still holds.
func (g group) current(version int, now time.Time) bool {
	return g.version == version && (g.until.IsZero() || now.Before(g.until))
}

// serversPerGroup is the mean number of servers in a group if all are in one data centre.
const serversPerGroup = 64

// groupOf returns the group of a server among the given number of servers. The number of groups doubles with that of the
// servers, so that few changes of it move servers.
func groupOf(v server.Server, servers int) groupKey {
	n := uint64(1) << bits.Len(uint(servers/serversPerGroup))
	return groupKey{v.DataCentre, xxhash.Sum64String(v.ID) % n}
}

// member is an entry with a channel.
type member struct {
	Candidate
	channel        *channel.Channel
	failures       int
	suspendedUntil time.Time
}

// route is how a server is called.
type route struct {
	// failed is the member through which a call had no result. It is not used for the server until avoidUntil.
	failed     *member
	avoidUntil time.Time
	usedAt     time.Time
}

// New returns a pool without members, for an owner with the cores. Calls go through direct until members join.
func New(direct owner.Servers, cores float64) *Pool {
	return &Pool{direct: direct, cores: cores, routes: map[string]*route{}, groups: map[groupKey]group{}}
}

// Join adds an entry that has a channel to this one, until the channel closes.
func (p *Pool) Join(c Candidate, x *channel.Channel) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, m := range p.members {
		if m.channel == x {
			return
		}
	}
	p.members = append(p.members, &member{Candidate: c, channel: x})
	slices.SortFunc(p.members, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	p.version++
	go func() {
		<-x.Done()
		p.leave(x)
	}()
}

func (p *Pool) leave(x *channel.Channel) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.members = slices.DeleteFunc(p.members, func(m *member) bool { return m.channel == x })
	p.version++
}

// Members returns the number of entries that have joined.
func (p *Pool) Members() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return len(p.members)
}

// executor returns the member that calls a server, or nil if the owner calls it itself.
func (p *Pool) executor(v server.Server, now time.Time) *member {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.sweep(now)
	r := p.routes[v.ID]
	if r == nil {
		r = &route{}
		p.routes[v.ID] = r
	}
	r.usedAt = now
	switch {
	case !Needed(len(p.routes), p.cores):
		return nil
	case now.Before(r.avoidUntil):
		return p.choose(v.ID, v.DataCentre, r.failed, now)
	default:
		return p.groupMember(groupOf(v, len(p.routes)), now)
	}
}

// groupMember returns the member that calls the servers of a group, or nil if there is none.
func (p *Pool) groupMember(k groupKey, now time.Time) *member {
	g, ok := p.groups[k]
	if !ok || !g.current(p.version, now) {
		g = group{p.choose(strconv.FormatUint(k.bucket, 10), k.dataCentre, nil, now), p.version, p.nextResumption(now)}
		p.groups[k] = g
	}
	return g.member
}

// nextResumption returns when the next suspension of a member ends, zero if none is suspended.
func (p *Pool) nextResumption(now time.Time) time.Time {
	var next time.Time
	for _, m := range p.members {
		if t := m.suspendedUntil; now.Before(t) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}

// choose returns the best member for a server or a group of them among those that are not suspended, except the one that
// failed, or nil.
func (p *Pool) choose(key, dataCentre string, failed *member, now time.Time) *member {
	l, c := []*member{}, []Candidate{}
	for _, m := range p.members {
		if m != failed && !now.Before(m.suspendedUntil) {
			l, c = append(l, m), append(c, m.Candidate)
		}
	}
	if i := Choose(key, dataCentre, c); i >= 0 {
		return l[i]
	}
	return nil
}

// sweep forgets the servers that are no longer called.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for id, r := range p.routes {
		if now.Sub(r.usedAt) > routeRetention {
			delete(p.routes, id)
		}
	}
}

// recordResult records whether a call through a member had a result.
func (p *Pool) recordResult(v server.Server, m *member, ok bool, now time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if ok {
		m.failures = 0
		return
	}
	if r := p.routes[v.ID]; r != nil {
		r.failed, r.avoidUntil = m, now.Add(avoidancePeriod)
	}
	if m.failures++; m.failures >= maxFailures {
		m.failures = 0
		m.suspendedUntil = now.Add(suspension)
		p.version++
	}
}

// call sends a call through a member. The result is nil if there was none.
func (p *Pool) call(ctx context.Context, v server.Server, m *member, c *schema.Call) (*schema.Reply, error) {
	r, _, err := m.channel.Call(ctx, c)
	failure := r.GetOrder().GetFailure()
	if failure == nil {
		failure = r.GetPoll().GetFailure()
	}
	switch {
	case err != nil:
	case failure.GetFenced():
		err = &owner.FencedError{Server: v.ID}
	case failure != nil:
		err = &NoResultError{Executor: m.Name, Detail: failure.Detail}
	}
	var fenced *owner.FencedError
	p.recordResult(v, m, err == nil || errors.As(err, &fenced), time.Now())
	return r, err
}

// NoResultError reports a call through an executor that the server did not answer.
type NoResultError struct {
	Executor string
	Detail   string
}

// Error names the executor.
func (e *NoResultError) Error() string {
	return "no result through " + e.Executor + ": " + e.Detail
}

// Start implements owner.Servers.
func (p *Pool) Start(ctx context.Context, o scheduler.StartOrder, token uint64) (scheduler.StartAnswer, time.Duration, error) {
	m := p.executor(o.Server, time.Now())
	if m == nil {
		return p.direct.Start(ctx, o, token)
	}
	r, err := p.call(ctx, o.Server, m, &schema.Call{Body: &schema.Call_Order{Order: encodeStart(o, token)}})
	if err != nil {
		return scheduler.NoAnswer, 0, err
	}
	return scheduler.StartAnswer(r.GetOrder().GetAnswer()), time.Duration(r.GetOrder().GetClockMs()) * time.Millisecond, nil
}

// Stop implements owner.Servers.
func (p *Pool) Stop(ctx context.Context, o scheduler.StopOrder, token uint64) error {
	m := p.executor(o.Server, time.Now())
	if m == nil {
		return p.direct.Stop(ctx, o, token)
	}
	_, err := p.call(ctx, o.Server, m, &schema.Call{Body: &schema.Call_Order{Order: encodeStop(o, token)}})
	return err
}

// Pace implements owner.Servers.
func (p *Pool) Pace(ctx context.Context, o scheduler.PaceOrder, token uint64) error {
	m := p.executor(o.Server, time.Now())
	if m == nil {
		return p.direct.Pace(ctx, o, token)
	}
	_, err := p.call(ctx, o.Server, m, &schema.Call{Body: &schema.Call_Order{Order: encodePace(o, token)}})
	return err
}

// Poll implements owner.Servers.
func (p *Pool) Poll(ctx context.Context, h scheduler.PollRequest, token uint64, wait time.Duration) (server.Listing, error) {
	m := p.executor(h.Server, time.Now())
	if m == nil {
		return p.direct.Poll(ctx, h, token, wait)
	}
	r, err := p.call(ctx, h.Server, m, &schema.Call{Body: &schema.Call_Poll{Poll: encodePoll(h, token, wait)}})
	if err != nil {
		return server.Listing{}, err
	}
	return decodeListing(r.GetPoll())
}
