package admission

import (
	"math"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/estimate"
	"github.com/tarragonbank/tarragonbank/fleet/priority"
	"github.com/tarragonbank/tarragonbank/fleet/request"
	"github.com/tarragonbank/tarragonbank/fleet/service"
)

// arrivalRateTimeConstant is the time constant of the exponentially decaying arrival rates.
const arrivalRateTimeConstant = 500 * time.Millisecond

// teamState holds the requests of one team within one priority class of a service.
type teamState struct {
	name   string
	weight float64
	busy   int
	queue  []*Ticket
}

// classState holds the requests of one priority class of a service.
type classState struct {
	teams   map[string]*teamState
	waiting int
	// credit accumulates the class's minimum share while it waits; at 1 the class is served next.
	credit   float64
	arrivals arrivalRate
}

// serviceState holds the requests of one service.
type serviceState struct {
	config       service.Service
	serviceTimes *estimate.ServiceTimes
	classes      [priority.Count]classState
	busy         int
	waiting      int
	offeredLoad  offeredLoad
}

func newServiceState(s service.Service) *serviceState {
	r := &serviceState{config: s, serviceTimes: estimate.New(s.ExpectedTime)}
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

// latestStart returns the deadline less the 99.5th percentile of the service time.
func (s *serviceState) latestStart(r request.Request) time.Time {
	return r.Deadline.Add(-s.serviceTimes.P995())
}

// team returns the state of the request's team in its class, creating it if necessary.
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

// remove takes a request out of its queue and reports whether it was there.
func (s *serviceState) remove(t *Ticket) bool {
	for i, x := range t.team.queue {
		if x == t {
			t.team.queue = append(t.team.queue[:i], t.team.queue[i+1:]...)
			s.decrementWaiting(t)
			s.removeIdleTeam(t)
			return true
		}
	}
	return false
}

func (s *serviceState) decrementWaiting(t *Ticket) {
	s.classes[t.Request.Priority].waiting--
	s.waiting--
}

// removeIdleTeam deletes the state of the ticket's team if it has no queued or running requests.
func (s *serviceState) removeIdleTeam(t *Ticket) {
	m := s.classes[t.Request.Priority].teams
	if len(t.team.queue) == 0 && t.team.busy == 0 && m[t.team.name] == t.team {
		delete(m, t.team.name)
	}
}

// pop dequeues from the next class, there from the team furthest below its quota; it returns nil if none is queued.
func (s *serviceState) pop() *Ticket {
	p, ok := s.nextClass()
	if !ok {
		return nil
	}
	c := &s.classes[p]
	var m *teamState
	for _, x := range c.teams {
		if len(x.queue) > 0 && (m == nil || x.precedes(m)) {
			m = x
		}
	}
	t := m.queue[0]
	m.queue = m.queue[1:]
	s.decrementWaiting(t)
	return t
}

// oldestAdmission returns the admission time of the longest-waiting request.
func (s *serviceState) oldestAdmission() time.Time {
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

// precedes orders teams by running requests relative to quota, then by the age of the first queued request.
func (m *teamState) precedes(o *teamState) bool {
	a := float64(m.busy+1) / m.weight
	b := float64(o.busy+1) / o.weight
	if a != b {
		return a < b
	}
	return m.queue[0].admitted.Before(o.queue[0].admitted)
}

// nextClass returns the most urgent class with queued requests, unless another has accumulated the credit
// of its minimum share.
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

// offeredLoad is an exponentially decaying average of the arriving work, in slots.
type offeredLoad struct {
	value float64
	last  time.Time
}

// offeredLoadTimeConstant is the time constant of the offered load, which decays more slowly than arrival rates.
const offeredLoadTimeConstant = 2 * time.Second

func (l *offeredLoad) add(now time.Time, work time.Duration) {
	l.value = l.at(now) + work.Seconds()/offeredLoadTimeConstant.Seconds()
	l.last = now
}

func (l *offeredLoad) at(now time.Time) float64 {
	if l.last.IsZero() {
		return 0
	}
	return l.value * math.Exp(-float64(max(now.Sub(l.last), 0))/float64(offeredLoadTimeConstant))
}

// arrivalRate is an exponentially decaying average of arrivals per second.
type arrivalRate struct {
	value float64
	last  time.Time
}

func (r *arrivalRate) add(now time.Time) {
	r.value = r.at(now) + 1/arrivalRateTimeConstant.Seconds()
	r.last = now
}

func (r *arrivalRate) at(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	d := now.Sub(r.last)
	if d <= 0 {
		return r.value
	}
	return r.value * math.Exp(-float64(d)/float64(arrivalRateTimeConstant))
}
