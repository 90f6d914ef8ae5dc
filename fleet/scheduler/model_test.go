package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// faults are safeguards that a model leaves out, to show that the invariants notice it.
type faults struct {
	// noFence has servers obey earlier owners, noLapse carry out orders that have lapsed.
	noFence, noLapse bool
	// sharedStore has the store take commits of earlier owners.
	sharedStore bool
	// longLease has servers hold runs for longer than their owner asked.
	longLease bool
}

// modelServer runs tasks as a backend server does.
type modelServer struct {
	id      string
	born    time.Time
	fence   uint64
	lease   time.Time
	runs    map[job.Task]*modelRun
	ends    []server.EndedRun
	seq     uint64
	highest map[job.Task]int
	// void is the last end that was still unacknowledged when the lease lapsed; such ends count for nothing, since
	// the owner must be free to run their tasks elsewhere.
	void uint64
	cut  bool
	down bool
	slow float64
}

type modelRun struct {
	number int
	until  time.Time
}

// message is something on its way.
type message struct {
	at      time.Time
	deliver func()
}

// modelOwner is an entry that owns the fleet, or thinks so.
type modelOwner struct {
	*scheduler.Scheduler
	epoch  uint64
	dead   bool
	frozen time.Time
	since  time.Time
	holds  map[string]bool
}

// model is a small fleet under random faults.
type model struct {
	rand     *rand.Rand
	faults   faults
	now      time.Time
	servers  []*modelServer
	owners   []*modelOwner
	epoch    uint64
	jobs     map[string]*schema.JobRecord
	courses  map[string]*schema.JobProgress
	messages []message
	noted    map[job.Task]bool
	broken   []string
	starts   int
	done     int
}

func newModel(seed uint64, f faults) *model {
	m := &model{
		rand: rand.New(rand.NewPCG(seed, seed)), faults: f, now: start,
		jobs: map[string]*schema.JobRecord{}, courses: map[string]*schema.JobProgress{}, noted: map[job.Task]bool{},
	}
	for i := range 4 {
		s := &modelServer{id: fmt.Sprintf("s%d", i), born: start.Add(-time.Minute), slow: 1 - 0.02*m.rand.Float64()}
		s.reset()
		m.servers = append(m.servers, s)
	}
	m.takeOver()
	return m
}

func (s *modelServer) reset() {
	s.runs, s.ends, s.seq, s.fence, s.void = map[job.Task]*modelRun{}, nil, 0, 0, 0
	s.highest = map[job.Task]int{}
	s.lease = time.Time{}
}

// clock is the server's steady clock, which may be slow.
func (s *modelServer) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(s.born)) * s.slow)
}

// at is when the server's clock shows a time.
func (s *modelServer) at(clock time.Duration) time.Time {
	return s.born.Add(time.Duration(float64(clock) / s.slow))
}

func (m *model) takeOver() {
	m.epoch++
	o := &modelOwner{Scheduler: scheduler.New(bounds, m.now), epoch: m.epoch, since: m.now, holds: map[string]bool{}}
	o.SetTable(table)
	for id, r := range m.jobs {
		o.Restore(proto.CloneOf(r), proto.CloneOf(m.courses[id]), m.now)
	}
	m.owners = append(m.owners, o)
}

func (m *model) chance(p float64) bool {
	return m.rand.Float64() < p
}

// send has something happen after a random time, late, or never.
func (m *model) send(s *modelServer, deliver func()) {
	d := time.Duration(1+m.rand.IntN(20)) * time.Millisecond
	switch {
	case m.chance(0.02):
		return
	case m.chance(0.03):
		d = time.Duration(2000+m.rand.IntN(10000)) * time.Millisecond
	}
	m.messages = append(m.messages, message{m.now.Add(d), func() {
		if !s.cut && !s.down {
			deliver()
		}
	}})
}

// step lets 20 milliseconds pass.
func (m *model) step() {
	m.now = m.now.Add(20 * time.Millisecond)
	m.disturb()
	for _, s := range m.servers {
		m.work(s)
	}
	l := m.messages
	m.messages = nil
	for _, x := range l {
		if x.at.After(m.now) {
			m.messages = append(m.messages, x)
			continue
		}
		x.deliver()
	}
	for _, o := range m.owners {
		if !o.dead && !m.now.Before(o.frozen) {
			m.act(o)
		}
	}
}

// disturb brings faults.
func (m *model) disturb() {
	s := m.servers[m.rand.IntN(len(m.servers))]
	switch {
	case m.chance(0.002):
		s.cut = !s.cut
	case s.cut && m.chance(0.01):
		s.cut = false
	case m.chance(0.0005):
		s.reset()
		s.born = m.now
	case m.chance(0.001):
		m.owners[len(m.owners)-1].frozen = m.now.Add(time.Duration(m.rand.IntN(4000)) * time.Millisecond)
	case m.chance(0.0015):
		if m.chance(0.5) {
			m.owners[len(m.owners)-1].dead = true
		}
		m.takeOver()
	case m.chance(0.01):
		m.submit()
	}
}

func (m *model) submit() {
	o := m.owners[len(m.owners)-1]
	r := record(len(m.jobs)+1+int(m.rand.Int32N(1<<20))<<8, 1+m.rand.Int32N(4))
	r.AcceptedMs = m.now.UnixMilli()
	o.Submit(r, m.now, func(scheduler.Reply) {})
}

// work ends the server's runs that are done or whose lease has lapsed.
func (m *model) work(s *modelServer) {
	if m.now.After(s.lease) {
		s.void = s.seq
	}
	for k, r := range s.runs {
		switch {
		case m.now.After(s.lease):
			s.end(k, r.number, job.EndLeaseExpired)
		case m.now.After(r.until):
			how := job.EndDone
			if m.chance(0.05) {
				how = job.EndFailed
			}
			s.end(k, r.number, how)
		}
	}
}

func (s *modelServer) end(k job.Task, number int, how job.EndReason) {
	delete(s.runs, k)
	s.highest[k] = max(s.highest[k], number)
	s.seq++
	s.ends = append(s.ends, server.EndedRun{Sequence: s.seq, Task: k, Number: number, Reason: how})
}

// act has an owner commit, send its orders and hold its servers.
func (m *model) act(o *modelOwner) {
	current := o.epoch == m.epoch
	if !current && m.now.Sub(o.since) > 5*time.Second && !m.faults.sharedStore {
		o.dead = true
		return
	}
	if current {
		o.since = m.now
	}
	if m.chance(0.2) {
		o.Tick(m.now)
	}
	o.Plan(m.now)
	if b := o.Next(most, m.now); b != nil {
		if !current && !m.faults.sharedStore {
			o.dead = true
			return
		}
		m.store(b)
		o.Committed(b, m.now)
	}
	l := o.Take()
	for _, x := range l.Starts {
		m.start(o, x)
	}
	for _, x := range l.Stops {
		m.stop(o, x)
	}
	for _, s := range m.servers {
		m.hold(o, s)
	}
}

func (m *model) store(b *scheduler.Batch) {
	for _, x := range b.Jobs {
		m.jobs[x.ID] = x.Record
	}
	for _, x := range b.Course {
		m.courses[x.ID] = x.Record
	}
}

// obeys says whether the server takes an order of the owner.
func (m *model) obeys(o *modelOwner, s *modelServer, born time.Time) bool {
	if !s.born.Equal(born) || !m.faults.noFence && o.epoch < s.fence {
		return false
	}
	s.fence = max(s.fence, o.epoch)
	return true
}

func (m *model) start(o *modelOwner, x scheduler.Start) {
	s := m.find(x.Server.ID)
	m.send(s, func() {
		if !m.obeys(o, s, x.Server.StartedAt) {
			return
		}
		a := m.begin(s, x)
		clock := s.clock(m.now)
		m.send(s, func() { o.Answered(x, a, clock, m.now) })
	})
}

func (m *model) begin(s *modelServer, x scheduler.Start) scheduler.StartAnswer {
	switch {
	case x.Until < s.clock(m.now) && !m.faults.noLapse:
		return scheduler.Late
	case x.Number <= s.highest[x.Task]:
		return scheduler.Superseded
	case s.runs[x.Task] != nil:
		return scheduler.Started
	}
	m.check(s, x.Task)
	s.runs[x.Task] = &modelRun{number: x.Number, until: m.now.Add(time.Duration(200+m.rand.IntN(1500)) * time.Millisecond)}
	s.extend(s.at(x.Until))
	m.starts++
	return scheduler.Started
}

// check is the invariant: a task runs once at a time, and not again once its end is taken note of.
func (m *model) check(s *modelServer, k job.Task) {
	if m.noted[k] {
		m.broken = append(m.broken, k.String()+" started again after its end was noted")
	}
	for _, o := range m.servers {
		if o != s && o.runs[k] != nil {
			m.broken = append(m.broken, k.String()+" runs twice")
		}
	}
}

func (s *modelServer) extend(t time.Time) {
	if t.After(s.lease) {
		s.lease = t
	}
}

func (m *model) stop(o *modelOwner, x scheduler.Stop) {
	s := m.find(x.Server.ID)
	m.send(s, func() {
		if !m.obeys(o, s, x.Server.StartedAt) {
			return
		}
		if r := s.runs[x.Task]; r != nil && r.number <= x.Number {
			s.end(x.Task, r.number, job.EndStopped)
		}
		s.highest[x.Task] = max(s.highest[x.Task], x.Number)
	})
}

func (m *model) find(id string) *modelServer {
	for _, s := range m.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// hold asks a server for its listing, one question at a time.
func (m *model) hold(o *modelOwner, s *modelServer) {
	if o.holds[s.id] || !m.chance(0.2) {
		return
	}
	v := sample(s.id)
	v.StartedAt = s.born
	o.Register(v, m.now)
	h, ok := o.Hold(s.id, m.now)
	if !ok {
		return
	}
	o.holds[s.id] = true
	answered := false
	m.send(s, func() { m.list(o, s, h, &answered) })
	m.messages = append(m.messages, message{m.now.Add(400 * time.Millisecond), func() {
		o.holds[s.id] = false
		if !answered && !o.dead {
			o.Unreachable(s.id, h.Server.StartedAt, m.now, "no answer")
		}
		answered = true
	}})
}

func (m *model) list(o *modelOwner, s *modelServer, h scheduler.Hold, answered *bool) {
	if !m.obeys(o, s, h.Server.StartedAt) {
		return
	}
	for len(s.ends) > 0 && s.ends[0].Sequence <= h.Acknowledged {
		if s.ends[0].Reason == job.EndDone && s.ends[0].Sequence > s.void {
			m.noted[s.ends[0].Task] = true
			m.done++
		}
		s.ends = s.ends[1:]
	}
	if h.Until > 0 {
		s.extend(s.at(min(h.Until, s.clock(m.now)+bounds.Hold)))
		if m.faults.longLease {
			s.extend(s.at(h.Until + 5*time.Second))
		}
	}
	l := server.Report{StartedAt: s.born, Clock: s.clock(m.now), Ends: append([]server.EndedRun{}, s.ends...)}
	for k, r := range s.runs {
		l.Runs = append(l.Runs, server.Run{Task: k, Number: r.number, Percent: 1 + m.rand.IntN(99)})
	}
	m.send(s, func() {
		if *answered || o.dead || m.now.Before(o.frozen) {
			return
		}
		*answered = true
		o.holds[s.id] = false
		o.Listed(s.id, l, m.now)
	})
}
