package admission

import (
	"math"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/estimate"
	"github.com/tarragonbank/tarragonbank/fleet/priority"
	"github.com/tarragonbank/tarragonbank/fleet/request"
	"github.com/tarragonbank/tarragonbank/fleet/service"
)

// rateMemory is the time over which arrival rates are averaged.
const rateMemory = 500 * time.Millisecond

// teamState is the requests of one team in one class of a service.
type teamState struct {
	name   string
	weight float64
	busy   int
	queue  []*Ticket
}

// classState is the requests of one priority of a service.
type classState struct {
	teams    map[string]*teamState
	waiting  int
	credit   float64
	arrivals rate
}

// serviceState is the requests of one service.
type serviceState struct {
	rules   service.Service
	times   *estimate.ServiceTimes
	classes [priority.Count]classState
	busy    int
	waiting int
	offered load
}

func newServiceState(s service.Service) *serviceState {
	r := &serviceState{rules: s, times: estimate.New(s.ExpectedTime)}
	for i := range r.classes {
		r.classes[i].teams = map[string]*teamState{}
	}
	return r
}

func (s *serviceState) push(t *Ticket, weight float64) {
	t.team = s.team(t.Request, weight)
	t.team.queue = append(t.team.queue, t)
	s.classes[t.Request.Priority].waiting++
	s.waiting++
}

// latestStart is the time after which the request is likely to outlast its deadline.
func (s *serviceState) latestStart(r request.Request) time.Time {
	return r.Deadline.Add(-s.times.P995())
}

// team is the state of the request's team in its class.
func (s *serviceState) team(r request.Request, weight float64) *teamState {
	c := &s.classes[r.Priority]
	m := c.teams[r.Team]
	if m == nil {
		m = &teamState{name: r.Team}
		c.teams[r.Team] = m
	}
	m.weight = weight
	return m
}

func (s *serviceState) remove(t *Ticket) bool {
	for i, x := range t.team.queue {
		if x == t {
			t.team.queue = append(t.team.queue[:i], t.team.queue[i+1:]...)
			s.left(t)
			s.tidy(t)
			return true
		}
	}
	return false
}

func (s *serviceState) left(t *Ticket) {
	s.classes[t.Request.Priority].waiting--
	s.waiting--
}

// tidy forgets the request's team when nothing of it waits or runs.
func (s *serviceState) tidy(t *Ticket) {
	m := s.classes[t.Request.Priority].teams
	if len(t.team.queue) == 0 && t.team.busy == 0 && m[t.team.name] == t.team {
		delete(m, t.team.name)
	}
}

// pop takes the next request by priority with floors, then by the team furthest under its quota.
func (s *serviceState) pop() *Ticket {
	p, ok := s.nextClass()
	if !ok {
		return nil
	}
	c := &s.classes[p]
	var m *teamState
	for _, x := range c.teams {
		if len(x.queue) > 0 && (m == nil || x.before(m)) {
			m = x
		}
	}
	t := m.queue[0]
	m.queue = m.queue[1:]
	s.left(t)
	return t
}

// longest is when the request that has waited longest was admitted.
func (s *serviceState) longest() time.Time {
	var f time.Time
	for i := range s.classes {
		for _, m := range s.classes[i].teams {
			if len(m.queue) > 0 && (f.IsZero() || m.queue[0].admitted.Before(f)) {
				f = m.queue[0].admitted
			}
		}
	}
	return f
}

func (m *teamState) before(o *teamState) bool {
	a := float64(m.busy+1) / m.weight
	b := float64(o.busy+1) / o.weight
	if a != b {
		return a < b
	}
	return m.queue[0].admitted.Before(o.queue[0].admitted)
}

// nextClass is the most urgent class with waiting requests, unless another is owed its floor.
func (s *serviceState) nextClass() (priority.Priority, bool) {
	first := priority.Priority(-1)
	owed := priority.Priority(-1)
	for i := range s.classes {
		c := &s.classes[i]
		p := priority.Priority(i)
		if c.waiting == 0 {
			c.credit = 0
			continue
		}
		c.credit = min(c.credit+p.MinShare(), 2)
		if first < 0 {
			first = p
		}
		if c.credit >= 1 && owed < 0 {
			owed = p
		}
	}
	if first < 0 {
		return 0, false
	}
	p := first
	if owed >= 0 {
		p = owed
	}
	s.classes[p].credit = max(s.classes[p].credit-1, 0)
	return p, true
}

// load is an average of the work that arrives, in slots, that forgets more slowly than a rate.
type load struct {
	value float64
	last  time.Time
}

// loadMemory is the time over which the work that arrives is averaged.
const loadMemory = 2 * time.Second

func (l *load) add(now time.Time, work time.Duration) {
	l.value = l.at(now) + work.Seconds()/loadMemory.Seconds()
	l.last = now
}

func (l *load) at(now time.Time) float64 {
	if l.last.IsZero() {
		return 0
	}
	return l.value * math.Exp(-float64(max(now.Sub(l.last), 0))/float64(loadMemory))
}

// rate is an average of events a second that forgets with time.
type rate struct {
	value float64
	last  time.Time
}

func (r *rate) add(now time.Time) {
	r.value = r.at(now) + 1/rateMemory.Seconds()
	r.last = now
}

func (r *rate) at(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	d := now.Sub(r.last)
	if d <= 0 {
		return r.value
	}
	return r.value * math.Exp(-float64(d)/float64(rateMemory))
}
