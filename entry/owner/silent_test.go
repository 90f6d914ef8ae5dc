package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// fleetServers are backend servers whose runs do not end. Those in silent do not answer.
type fleetServers struct {
	*fakeServer
	lock   sync.Mutex
	runs   map[string][]server.Run
	polls  map[string][]time.Time
	silent func(id string) bool
	// leases are when the leases expire, lapsed is the number of renewals that came later.
	leases map[string]time.Duration
	lapsed int
}

func newFleetServers(s *cluster) *fleetServers {
	return &fleetServers{
		fakeServer: s.server, runs: map[string][]server.Run{}, polls: map[string][]time.Time{}, leases: map[string]time.Duration{},
		silent: func(string) bool { return false },
	}
}

func (s *fleetServers) Start(_ context.Context, o scheduler.StartOrder, _ uint64) (scheduler.StartAnswer, time.Duration, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.runs[o.Server.ID] = append(s.runs[o.Server.ID], server.Run{Task: o.Task, Number: o.Number, Percent: 100})
	return scheduler.Started, time.Duration(time.Now().UnixNano()), nil
}

func (s *fleetServers) Poll(ctx context.Context, h scheduler.PollRequest, _ uint64, wait time.Duration) (server.Listing, error) {
	s.lock.Lock()
	s.polls[h.Server.ID] = append(s.polls[h.Server.ID], time.Now())
	silent := s.silent(h.Server.ID)
	s.lock.Unlock()
	if silent {
		<-ctx.Done()
		return server.Listing{}, ctx.Err()
	}
	s.renew(h)
	pause(ctx, max(wait, 10*time.Millisecond))
	s.lock.Lock()
	defer s.lock.Unlock()
	return server.Listing{
		StartedAt: h.Server.StartedAt, Clock: time.Duration(time.Now().UnixNano()), Runs: append([]server.Run{}, s.runs[h.Server.ID]...),
	}, nil
}

// renew renews the lease of a server.
func (s *fleetServers) renew(h scheduler.PollRequest) {
	s.lock.Lock()
	defer s.lock.Unlock()
	old := s.leases[h.Server.ID]
	if h.LeaseUntil == 0 {
		return
	}
	if old > 0 && time.Duration(time.Now().UnixNano()) > old && len(s.runs[h.Server.ID]) > 0 {
		s.lapsed++
	}
	s.leases[h.Server.ID] = max(old, h.LeaseUntil)
}

func (s *fleetServers) setSilent(f func(id string) bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.silent = f
}

// pollsSince returns when a server was polled after t.
func (s *fleetServers) pollsSince(id string, t time.Time) []time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	l := []time.Time{}
	for _, at := range s.polls[id] {
		if at.After(t) {
			l = append(l, at)
		}
	}
	return l
}

// register registers a number of servers.
func register(g *gomega.WithT, s *cluster, prefix string, n int) {
	for i := range n {
		id := fmt.Sprintf("%s%04d", prefix, i)
		_, err := s.store.Transact(s.ctx, store.Transaction{Writes: []store.Write{{Key: "servers/" + id, Value: []byte(id)}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// A server that missed one answer waited for its turn behind all silent ones, while the scheduler still placed tasks on it.
func TestReachableServerIsPolledAtOnceAfterALostAnswer(t *testing.T) {
	runTest(t, func(g *gomega.WithT, s *cluster) {
		register(g, s, "x", 400)
		c := newFleetServers(s)
		c.setSilent(func(id string) bool { return id != "s" })
		s.servers, s.cores = c, 0.1
		s.startEntry("e1")
		time.Sleep(10 * time.Second)
		var lostAt time.Time
		c.setSilent(func(id string) bool {
			if id == "s" && lostAt.IsZero() {
				lostAt = time.Now()
				return true
			}
			return id != "s"
		})
		time.Sleep(5 * time.Second)
		c.lock.Lock()
		at := lostAt
		c.lock.Unlock()
		l := c.pollsSince("s", at)
		g.Expect(l).NotTo(gomega.BeEmpty())
		g.Expect(l[0].Sub(at)).To(gomega.BeNumerically("<", 1500*time.Millisecond), "once the lost answer is overdue")
	})
}

// The polls of silent servers with runs put off those of all others for as long as they went on.
func TestSilentServersWithRunsDoNotPutOffNewOnes(t *testing.T) {
	runTest(t, func(g *gomega.WithT, s *cluster) {
		register(g, s, "x", 600)
		c := newFleetServers(s)
		s.servers, s.cores = c, 0.1
		o, _ := s.startEntry("e1")
		time.Sleep(10 * time.Second)
		for i := range 6 {
			m := jobRecord(fmt.Sprintf("00000000000000c%d", i))
			m.Steps = []*schema.StepRecord{{Count: 100, CpuMilli: 64000, EstimateMs: 1000, Lasting: true}}
			g.Expect(o.Current().Submit(s.ctx, m).Result).To(gomega.Equal(scheduler.Done))
		}
		time.Sleep(3 * time.Second)
		c.setSilent(func(id string) bool { return id[0] == 'x' })
		time.Sleep(4500 * time.Millisecond)
		began := time.Now()
		register(g, s, "new", 1)
		time.Sleep(30 * time.Second)
		l := c.pollsSince("new0000", began)
		g.Expect(l).NotTo(gomega.BeEmpty())
		g.Expect(l[0]).To(gomega.BeTemporally("<", began.Add(2*time.Second)))
	})
}

// takeOver gives each of n servers a task that lasts, stops the owner and returns when the next one first polled each server. cores
// are those of the entries.
func takeOver(t *testing.T, n int, cores float64) (first map[string]time.Time, lapsed int) {
	t.Helper()
	first = map[string]time.Time{}
	runTest(t, func(g *gomega.WithT, s *cluster) {
		register(g, s, "x", n)
		c := newFleetServers(s)
		s.servers, s.cores, s.killed = c, cores, true
		o, stop := s.startEntry("e1")
		time.Sleep(10 * time.Second)
		for i := range n / 100 {
			m := jobRecord(fmt.Sprintf("00000000000000%02x", i))
			m.Steps = []*schema.StepRecord{{Count: 100, CpuMilli: 64000, EstimateMs: 1000, Lasting: true}}
			g.Expect(o.Current().Submit(s.ctx, m).Result).To(gomega.Equal(scheduler.Done))
		}
		time.Sleep(5 * time.Second)
		stop()
		began := time.Now()
		s.startEntry("e2")
		time.Sleep(15 * time.Second)
		for id, l := range c.runs {
			g.Expect(l).To(gomega.HaveLen(1))
			first[id] = c.pollsSince(id, began)[0]
		}
		lapsed = c.lapsed
	})
	return first, lapsed
}

// An owner that polled all servers with tasks at once read their answers after the time limit and took them for silent.
func TestNewOwnerSpreadsItsFirstPollsOfServersWithRuns(t *testing.T) {
	first, lapsed := takeOver(t, 1000, 0.25)
	g := gomega.NewWithT(t)
	g.Expect(lapsed).To(gomega.BeZero(), "leases outlast the takeover")
	spread := time.Duration(0)
	for _, at := range first {
		n := 0
		for _, x := range first {
			d := x.Sub(at)
			spread = max(spread, d)
			if d >= 0 && d < 100*time.Millisecond {
				n++
			}
		}
		g.Expect(n).To(gomega.BeNumerically("<", 400), "first polls in a tenth of a second")
	}
	g.Expect(spread).To(gomega.BeNumerically("<", 500*time.Millisecond), "no server gets into the lease record before its first poll")
}

// refusingServers fail stop orders after a millisecond.
type refusingServers struct {
	*fleetServers
	stops int
}

func (s *refusingServers) Stop(ctx context.Context, _ scheduler.StopOrder, _ uint64) error {
	s.lock.Lock()
	s.stops++
	s.lock.Unlock()
	pause(ctx, time.Millisecond)
	return &owner.UnknownAddressError{Server: "s"}
}

// An order to a server that refused connections was repeated without a pause, hundreds of times.
func TestOrderThatFailsAtOnceIsRepeatedWithPauses(t *testing.T) {
	runTest(t, func(g *gomega.WithT, s *cluster) {
		c := &refusingServers{fleetServers: newFleetServers(s)}
		s.servers = c
		o, _ := s.startEntry("e1")
		time.Sleep(time.Second)
		m := jobRecord(firstID)
		m.Steps = []*schema.StepRecord{{Count: 1, CpuMilli: 1000, EstimateMs: 1000, Lasting: true}}
		g.Expect(o.Current().Submit(s.ctx, m).Result).To(gomega.Equal(scheduler.Done))
		time.Sleep(time.Second)
		g.Expect(o.Current().Cancel(s.ctx, firstID, "").Result).To(gomega.Equal(scheduler.Done))
		time.Sleep(900 * time.Millisecond)
		c.lock.Lock()
		defer c.lock.Unlock()
		g.Expect(c.stops).To(gomega.And(gomega.BeNumerically(">", 2), gomega.BeNumerically("<", 80)))
	})
}
