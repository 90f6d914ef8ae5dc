package executor_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/channel"
	"github.com/tarragonbank/tarragonbank/entry/executor"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestExecutor(t *testing.T) {
	suite.Run(t, "executor")
}

// fakeServers records the calls that reach backend servers.
type fakeServers struct {
	lock  sync.Mutex
	calls []string
	err   error
	mute  bool
}

func (s *fakeServers) record(ctx context.Context, call string) error {
	s.lock.Lock()
	s.calls = append(s.calls, call)
	err, mute := s.err, s.mute
	s.lock.Unlock()
	if mute {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// setMute sets whether calls go without an answer.
func (s *fakeServers) setMute(on bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.mute = on
}

func (s *fakeServers) taken() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	l := s.calls
	s.calls = nil
	return l
}

func (s *fakeServers) Start(ctx context.Context, o scheduler.StartOrder, token uint64) (scheduler.StartAnswer, time.Duration, error) {
	err := s.record(ctx, fmt.Sprint("start ", o.Server.ID, o.Server.Address, o.Task, o.Number, o.Payload, o.Checkpoint, o.Ticket, o.Until, token))
	return scheduler.InsufficientCapacity, 7 * time.Second, err
}

func (s *fakeServers) Stop(ctx context.Context, o scheduler.StopOrder, token uint64) error {
	return s.record(ctx, fmt.Sprint("stop ", o.Server.ID, o.Server.Address, o.Task, o.Number, token))
}

func (s *fakeServers) Pace(ctx context.Context, o scheduler.PaceOrder, token uint64) error {
	return s.record(ctx, fmt.Sprint("pace ", o.Server.ID, o.Server.Address, o.Task, o.Number, o.Percent, token))
}

func (s *fakeServers) Poll(ctx context.Context, h scheduler.PollRequest, token uint64, wait time.Duration) (server.Listing, error) {
	return listing, s.record(ctx, fmt.Sprint("poll ", h.Server.ID, h.Server.Address, h.LeaseUntil, h.AcknowledgedEnd, token, wait))
}

var (
	task    = job.Task{Job: "00000000000000a1", Occurrence: 1, Step: 2, Index: 3}
	listing = server.Listing{
		StartedAt: time.UnixMilli(5000), Clock: 7 * time.Second, HasMore: true,
		Runs: []server.Run{{Task: task, Number: 4, Checkpoint: "c", Percent: 50, Metric: 9}},
		Ends: []server.EndedRun{{Sequence: 6, Task: task, Number: 3, Reason: job.EndLeaseExpired, Checkpoint: "d"}},
	}
)

func at(i int) server.Server {
	return server.Server{ID: fmt.Sprintf("s%03d", i), Address: netip.MustParseAddrPort("127.0.0.1:9"), DataCentre: fmt.Sprintf("dc-%d", i%2)}
}

// connect joins an executor to the pool and returns the servers as it sees them.
func connect(ctx context.Context, p *executor.Pool, name, dataCentre string) (*fakeServers, *channel.Channel) {
	x, y := net.Pipe()
	s := &fakeServers{}
	c := channel.New(ctx, x, time.Minute, nil)
	channel.New(ctx, y, time.Minute, func(ctx context.Context, m *schema.Call) *schema.Reply { return executor.Serve(ctx, s, m) })
	p.Join(executor.Candidate{Name: name, DataCentre: dataCentre, Cores: 0.8}, c)
	p.Join(executor.Candidate{Name: name, DataCentre: dataCentre, Cores: 0.8}, c)
	return s, c
}

var _ = ginkgo.Describe("the choice of executors", func() {
	many := []executor.Candidate{}
	for i := range 30 {
		cores := 0.2
		if i%5 == 0 {
			cores = 0.8
		}
		many = append(many, executor.Candidate{Name: fmt.Sprintf("e%02d", i), DataCentre: fmt.Sprintf("dc-%d", i/10), Cores: cores})
	}

	ginkgo.It("takes large entries in the server's data centre, and spreads the servers over them", func() {
		n := map[string]int{}
		for i := range 600 {
			c := many[executor.Choose(fmt.Sprint("server-", i), "dc-1", many)]
			gomega.Expect(c.DataCentre).To(gomega.Equal("dc-1"))
			n[c.Name]++
		}
		gomega.Expect(n).To(gomega.And(gomega.HaveLen(2), gomega.HaveKeyWithValue("e10", gomega.BeNumerically("~", 300, 60))))
	})

	ginkgo.It("takes large entries elsewhere if the server's data centre has none", func() {
		gomega.Expect(many[executor.Choose("server", "dc-9", many)].Cores).To(gomega.Equal(0.8))
		gomega.Expect(executor.Choose("server", "dc-9", nil)).To(gomega.Equal(-1))
	})

	ginkgo.It("keeps most servers where they are when an entry leaves", func() {
		moved := 0
		left := append([]executor.Candidate{}, many[:10]...)
		left = append(left, many[11:]...)
		for i := range 600 {
			s, dc := fmt.Sprint("server-", i), fmt.Sprintf("dc-%d", i%3)
			before := many[executor.Choose(s, dc, many)]
			if left[executor.Choose(s, dc, left)] != before {
				moved++
				gomega.Expect(before.Name).To(gomega.Equal("e10"))
			}
		}
		gomega.Expect(moved).To(gomega.BeNumerically("~", 100, 40))
	})
})

var _ = ginkgo.Describe("a pool of executors", func() {
	var (
		ctx    context.Context
		stop   context.CancelFunc
		direct *fakeServers
		p      *executor.Pool
	)
	ginkgo.BeforeEach(func() {
		ctx, stop = context.WithCancel(context.Background())
		ginkgo.DeferCleanup(stop)
		direct = &fakeServers{}
		p = executor.New(direct, 0.01)
	})
	poll := func(i int, limit time.Duration) (server.Listing, error) {
		c, stop := context.WithTimeout(ctx, limit)
		defer stop()
		return p.Poll(c, scheduler.PollRequest{Server: at(i), LeaseUntil: 5 * time.Second, AcknowledgedEnd: 8}, 11, time.Second)
	}
	fill := func() {
		for i := range 2 {
			_, err := poll(i, time.Second)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		direct.taken()
	}

	ginkgo.It("is not used for few servers", func() {
		gomega.Expect(executor.Needed(50, 0.4)).To(gomega.BeFalse())
		gomega.Expect(executor.Needed(540, 0.8)).To(gomega.BeTrue())
		gomega.Expect(executor.Needed(95, 0.12)).To(gomega.BeTrue())
	})

	ginkgo.It("carries every call and its answer unchanged", func() {
		fill()
		s, _ := connect(ctx, p, "e1", "dc-0")
		v := at(0)
		a, clock, err := p.Start(ctx, scheduler.StartOrder{
			Server: v, Task: task, Number: 4, Payload: "text", Checkpoint: "c", Ticket: "t", Until: 9 * time.Second,
		}, 11)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a).To(gomega.Equal(scheduler.InsufficientCapacity))
		gomega.Expect(clock).To(gomega.Equal(7 * time.Second))
		gomega.Expect(p.Stop(ctx, scheduler.StopOrder{Server: v, Task: task, Number: 4}, 11)).To(gomega.Succeed())
		gomega.Expect(p.Pace(ctx, scheduler.PaceOrder{Server: v, Task: task, Number: 4, Percent: 33}, 11)).To(gomega.Succeed())
		l, err := poll(0, time.Second)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(l).To(gomega.Equal(listing))
		gomega.Expect(direct.taken()).To(gomega.BeEmpty())
		through := s.taken()
		_, _, _ = direct.Start(ctx, scheduler.StartOrder{
			Server: v, Task: task, Number: 4, Payload: "text", Checkpoint: "c", Ticket: "t", Until: 9 * time.Second,
		}, 11)
		_ = direct.Stop(ctx, scheduler.StopOrder{Server: v, Task: task, Number: 4}, 11)
		_ = direct.Pace(ctx, scheduler.PaceOrder{Server: v, Task: task, Number: 4, Percent: 33}, 11)
		_, _ = direct.Poll(ctx, scheduler.PollRequest{Server: v, LeaseUntil: 5 * time.Second, AcknowledgedEnd: 8}, 11, time.Second)
		gomega.Expect(through).To(gomega.Equal(direct.taken()))
	})

	ginkgo.It("passes on that a server has a later owner", func() {
		fill()
		s, _ := connect(ctx, p, "e1", "dc-0")
		s.err = &owner.FencedError{Server: "s000"}
		_, err := poll(0, time.Second)
		var fenced *owner.FencedError
		gomega.Expect(errors.As(err, &fenced)).To(gomega.BeTrue())
	})

	// An owner that is behind hears from few executors in time; calling their servers itself put it further behind.
	ginkgo.It("calls a server through another executor after a call had no result", func() {
		fill()
		s, _ := connect(ctx, p, "e1", "dc-0")
		t, _ := connect(ctx, p, "e2", "dc-0")
		s.setMute(true)
		t.setMute(true)
		for i := range 2 {
			_, _ = poll(i, 20*time.Millisecond)
		}
		gomega.Expect(direct.taken()).To(gomega.BeEmpty())
		s.setMute(false)
		t.setMute(false)
		through := len(s.taken())
		for i := range 2 {
			_, err := poll(i, time.Second)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(direct.taken()).To(gomega.BeEmpty())
		gomega.Expect(s.taken()).To(gomega.HaveLen(2-through), "each server through the executor that was not tried")
	})

	ginkgo.It("sends the calls of a large fleet through few of many executors", func() {
		for i := range 300 {
			_, err := poll(i, time.Second)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		l := []*fakeServers{}
		for i := range 60 {
			s, _ := connect(ctx, p, fmt.Sprint("e", i), fmt.Sprintf("dc-%d", i%2))
			l = append(l, s)
		}
		for i := range 300 {
			_, err := poll(i, time.Second)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		used := 0
		for _, s := range l {
			if len(s.taken()) > 0 {
				used++
			}
		}
		gomega.Expect(used).To(gomega.And(gomega.BeNumerically("<=", 16), gomega.BeNumerically(">", 6)))
	})

	// An executor that is frozen, or cut off from a server, must not make the server look silent.
	ginkgo.It("calls a server directly after a call through the only executor had no result", func() {
		fill()
		s, _ := connect(ctx, p, "e1", "dc-0")
		s.mute = true
		_, err := poll(0, 100*time.Millisecond)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(s.taken()).To(gomega.HaveLen(1))
		_, err = poll(0, 100*time.Millisecond)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(direct.taken()).To(gomega.HaveLen(1))
	})

	ginkgo.It("stops using an executor without results, and one that has left", func() {
		fill()
		s, _ := connect(ctx, p, "e1", "dc-0")
		t, c := connect(ctx, p, "e2", "dc-0")
		s.mute, t.mute = true, true
		for i := range 40 {
			_, _ = poll(100+i, 5*time.Millisecond)
		}
		s.taken()
		t.taken()
		t.mute = false
		c.Close()
		gomega.Eventually(p.Members).Should(gomega.Equal(1))
		direct.taken()
		for i := range 10 {
			_, err := poll(200+i, time.Second)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(direct.taken()).To(gomega.HaveLen(10))
	})

	// While all executors were suspended, groups of servers were assigned to none, and stayed so for good.
	ginkgo.It("uses executors again once they are no longer suspended", func() {
		fill()
		s, _ := connect(ctx, p, "e1", "dc-0")
		t, _ := connect(ctx, p, "e2", "dc-0")
		s.setMute(true)
		t.setMute(true)
		for i := range 40 {
			_, _ = poll(100+i, 5*time.Millisecond)
		}
		gomega.Expect(direct.taken()).NotTo(gomega.BeEmpty(), "all executors are suspended")
		s.setMute(false)
		t.setMute(false)
		s.taken()
		t.taken()
		gomega.Eventually(func() int {
			_, _ = poll(200, time.Second)
			return len(s.taken()) + len(t.taken())
		}, 5*time.Second, 100*time.Millisecond).Should(gomega.BeNumerically(">", 0))
	})
})
