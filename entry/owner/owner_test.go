package owner_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// one is a registry with a single server.
type one struct{}

func (one) Prefix() string       { return "servers/" }
func (one) ID(key string) string { return key[len("servers/"):] }

func (one) Decode(i store.Item) (server.Server, error) {
	return server.Server{
		ID: string(i.Value), Born: time.Unix(1, 0), VM: "vm", Pool: "carving", Capacity: job.Size{CPU: 64000, MemoryMB: 1000},
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}, nil
}

// obedient is a backend server that does what it is told; its tasks take half a second.
type obedient struct {
	lock   sync.Mutex
	fence  uint64
	starts []scheduler.StartOrder
	runs   []openRun
	ends   []server.End
	seq    uint64
	// mute has starts carried out without an answer, and repeated ones refused with an answer.
	mute    bool
	refusal scheduler.StartAnswer
}

// openRun is a run that is at work until a time.
type openRun struct {
	order scheduler.StartOrder
	until time.Time
}

// workTime is how long a task takes.
const workTime = 500 * time.Millisecond

// work ends the runs whose time has come; the caller holds the lock.
func (s *obedient) work() []server.Run {
	l := []server.Run{}
	left := s.runs[:0]
	for _, r := range s.runs {
		if time.Now().Before(r.until) {
			left = append(left, r)
			l = append(l, server.Run{Task: r.order.Task, Number: r.order.Number, Percent: 50})
			continue
		}
		s.seq++
		s.ends = append(s.ends, server.End{Sequence: s.seq, Task: r.order.Task, Number: r.order.Number, How: job.EndDone})
	}
	s.runs = left
	return l
}

func (s *obedient) obey(fence uint64) error {
	if fence < s.fence {
		return &owner.FencedError{Server: "s"}
	}
	s.fence = fence
	return nil
}

func (s *obedient) Start(ctx context.Context, o scheduler.StartOrder, fence uint64) (scheduler.StartAnswer, time.Duration, error) {
	a, clock, err := s.begin(o, fence)
	if s.mute && a == scheduler.Started {
		<-ctx.Done()
		return scheduler.NoAnswer, 0, ctx.Err()
	}
	return a, clock, err
}

func (s *obedient) begin(o scheduler.StartOrder, fence uint64) (scheduler.StartAnswer, time.Duration, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.obey(fence); err != nil {
		return scheduler.NoAnswer, 0, err
	}
	for _, x := range s.starts {
		if s.mute && x.Task == o.Task && x.Number == o.Number {
			return s.refusal, time.Duration(time.Now().UnixNano()), nil
		}
	}
	s.starts = append(s.starts, o)
	s.runs = append(s.runs, openRun{o, time.Now().Add(workTime)})
	return scheduler.Started, time.Duration(time.Now().UnixNano()), nil
}

func (s *obedient) Stop(context.Context, scheduler.StopOrder, uint64) error { return nil }
func (s *obedient) Pace(context.Context, scheduler.PaceOrder, uint64) error { return nil }

func (s *obedient) Poll(ctx context.Context, h scheduler.LeaseRequest, fence uint64, wait time.Duration) (server.Listing, error) {
	if wait > 0 {
		pause(ctx, 50*time.Millisecond)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.obey(fence); err != nil {
		return server.Listing{}, err
	}
	for len(s.ends) > 0 && s.ends[0].Sequence <= h.AcknowledgedEnd {
		s.ends = s.ends[1:]
	}
	runs := s.work()
	return server.Listing{
		Born: h.Server.Born, Clock: time.Duration(time.Now().UnixNano()), Runs: runs, Ends: append([]server.End{}, s.ends...),
	}, nil
}

// highest is the fence of the latest owner, ordered how many starts there were.
func (s *obedient) highest() uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fence
}

func (s *obedient) ordered() []scheduler.StartOrder {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]scheduler.StartOrder{}, s.starts...)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

type silent struct{}

func (silent) Add(decision.Record)                {}
func (silent) Event(string, string)               {}
func (silent) Time(string, string, time.Duration) {}
func (silent) Gauge(string, float64)              {}

var table = queue.New(1, []queue.Queue{{Name: "plans", Pool: "carving", Attempts: 3, Slack: 2, Latency: time.Second}},
	map[string]queue.Pool{"carving": {Name: "carving"}}, queue.Limits{})

// site is a store, a server and some entries.
type site struct {
	store  *memory
	server *obedient
	ctx    context.Context
}

func (s *site) entry(name string) (*owner.Owner, context.CancelFunc) {
	ctx, stop := context.WithCancel(s.ctx)
	o := owner.New(owner.Identity{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:2"), Cores: 1},
		scheduler.Limits{MaxLease: 6 * time.Second, JobRetention: time.Minute}, owner.Dependencies{
			Store: s.store, Servers: s.server, Registry: one{}, Log: silent{}, Metrics: silent{},
		})
	o.SetTable(table)
	go o.Run(ctx)
	return o, stop
}

// play runs a test in a bubble with a clock of its own.
func play(t *testing.T, f func(g *gomega.WithT, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, stop := context.WithCancel(context.Background())
		s := &site{store: newMemory(), server: &obedient{}, ctx: ctx}
		_, err := s.store.Transact(ctx, store.Transaction{Writes: []store.Write{{Key: "servers/s", Value: []byte("s")}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		f(g, s)
		stop()
		time.Sleep(time.Minute)
	})
}

func record(id string) *schema.JobRecord {
	return &schema.JobRecord{
		Id: id, Queue: "plans", AcceptedMs: time.Now().UnixMilli(),
		Steps: []*schema.StepRecord{{Count: 2, CpuMilli: 1000, EstimateMs: 1000}},
	}
}

const (
	first  = "00000000000000a1"
	second = "00000000000000a2"
)

func submit(o *owner.Owner, id string) scheduler.Reply {
	d := o.Current()
	if d == nil {
		return scheduler.Reply{Result: scheduler.Refused, Reason: "not the owner"}
	}
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	return d.Submit(ctx, record(id))
}

func TestOwnerRunsJobs(t *testing.T) {
	play(t, func(g *gomega.WithT, s *site) {
		o, _ := s.entry("e1")
		time.Sleep(time.Second)
		g.Expect(submit(o, first).Result).To(gomega.Equal(scheduler.Done))
		time.Sleep(time.Second)
		g.Expect(o.Current().JobPhase(first).Phase).To(gomega.Equal(job.Completed))
	})
}

func TestRefusalOfARepeatedStartSaysNothingOfTheFirst(t *testing.T) {
	for _, a := range []scheduler.StartAnswer{scheduler.Late, scheduler.InsufficientCapacity, scheduler.Unhealthy, scheduler.Superseded} {
		t.Run(a.String(), func(t *testing.T) {
			play(t, func(g *gomega.WithT, s *site) {
				s.server.mute, s.server.refusal = true, a
				o, _ := s.entry("e1")
				time.Sleep(time.Second)
				g.Expect(submit(o, first).Result).To(gomega.Equal(scheduler.Done))
				time.Sleep(4 * time.Second)
				g.Expect(s.server.ordered()).To(gomega.HaveLen(2), "each task starts once")
				g.Expect(o.Current().JobPhase(first).Phase).To(gomega.Equal(job.Completed))
			})
		})
	}
}

func TestOneOwnerAtATime(t *testing.T) {
	play(t, func(g *gomega.WithT, s *site) {
		entries := []*owner.Owner{}
		for _, n := range []string{"e1", "e2", "e3"} {
			o, _ := s.entry(n)
			entries = append(entries, o)
		}
		time.Sleep(2 * time.Second)
		g.Expect(owners(entries)).To(gomega.Equal(1))
	})
}

func owners(l []*owner.Owner) int {
	n := 0
	for _, o := range l {
		if o.Current() != nil {
			n++
		}
	}
	return n
}

func TestSuccessorKnowsAllJobs(t *testing.T) {
	play(t, func(g *gomega.WithT, s *site) {
		o, stop := s.entry("e1")
		time.Sleep(time.Second)
		g.Expect(submit(o, first).Result).To(gomega.Equal(scheduler.Done))
		g.Expect(submit(o, second).Result).To(gomega.Equal(scheduler.Done))
		next, _ := s.entry("e2")
		stop()
		time.Sleep(2500 * time.Millisecond)
		g.Expect(next.Current()).NotTo(gomega.BeNil())
		for _, id := range []string{first, second} {
			g.Expect(next.Current().JobPhase(id).Phase).To(gomega.Equal(job.Completed))
		}
		g.Expect(s.server.ordered()).To(gomega.HaveLen(4), "no task ran twice")
	})
}

func TestLeavingOwnerHandsOverAtOnce(t *testing.T) {
	play(t, func(g *gomega.WithT, s *site) {
		o, _ := s.entry("e1")
		time.Sleep(time.Second)
		next, _ := s.entry("e2")
		time.Sleep(time.Second)
		o.Leave()
		time.Sleep(500 * time.Millisecond)
		g.Expect(o.Current()).To(gomega.BeNil())
		g.Expect(next.Current()).NotTo(gomega.BeNil())
	})
}

func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	play(t, func(g *gomega.WithT, s *site) {
		o, _ := s.entry("e1")
		time.Sleep(time.Second)
		s.store.set(func() { s.store.lost = 1 })
		g.Expect(submit(o, first).Result).To(gomega.Equal(scheduler.Done))
		g.Expect(o.Current()).NotTo(gomega.BeNil(), "a lost answer costs no ownership")
	})
}

func TestLateCommitDoesNotUndoALaterOne(t *testing.T) {
	play(t, func(g *gomega.WithT, s *site) {
		o, _ := s.entry("e1")
		time.Sleep(time.Second)
		release := make(chan struct{})
		s.store.set(func() { s.store.held = release })
		g.Expect(submit(o, first).Result).To(gomega.Equal(scheduler.Done))
		time.Sleep(time.Second)
		commits := s.store.count()
		close(release)
		time.Sleep(time.Second)
		g.Expect(s.store.count()).To(gomega.Equal(commits), "the late commit is rejected")
		g.Expect(o.Current().JobPhase(first).Phase).To(gomega.Equal(job.Completed))
	})
}

func TestRefusesAtOnceWhileTheStoreIsAway(t *testing.T) {
	play(t, func(g *gomega.WithT, s *site) {
		o, _ := s.entry("e1")
		time.Sleep(time.Second)
		s.store.set(func() { s.store.down = true })
		g.Expect(submit(o, first).Result).To(gomega.Equal(scheduler.OutcomeUnknown), "it may be on its way")
		began := time.Now()
		r := submit(o, second)
		g.Expect(r.Result).To(gomega.Equal(scheduler.Refused))
		g.Expect(r.RetryAfter).To(gomega.BeNumerically(">", 0))
		g.Expect(time.Since(began)).To(gomega.BeZero())
		s.store.set(func() { s.store.down = false })
		time.Sleep(5 * time.Second)
		g.Expect(o.Current().JobPhase(second).Result).To(gomega.Equal(scheduler.NotFound), "refused means never run")
	})
}

func TestSlowStoreIsGivenItsTime(t *testing.T) {
	play(t, func(g *gomega.WithT, s *site) {
		o, _ := s.entry("e1")
		time.Sleep(time.Second)
		g.Expect(submit(o, first).Result).To(gomega.Equal(scheduler.Done))
		s.store.set(func() { s.store.delay = 240 * time.Millisecond })
		for i := range 8 {
			submit(o, fmt.Sprintf("00000000000000b%d", i))
		}
		tries, commits, began := s.store.tried(), s.store.count(), time.Now()
		g.Expect(submit(o, second).Result).To(gomega.Equal(scheduler.Done))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 600*time.Millisecond), "one commit under way and its own")
		g.Expect(s.store.tried()-tries).To(gomega.Equal(s.store.count()-commits), "nothing is sent twice")
	})
}

func TestOwnerStepsDownWhenItsKeyIsTaken(t *testing.T) {
	play(t, func(g *gomega.WithT, s *site) {
		o, _ := s.entry("e1")
		time.Sleep(time.Second)
		fence := s.server.highest()
		s.store.set(func() { s.store.remove("tarragonbank/owner") })
		time.Sleep(2 * time.Second)
		g.Expect(o.Current()).NotTo(gomega.BeNil(), "it takes the ownership anew")
		g.Expect(s.server.highest()).To(gomega.BeNumerically(">", fence))
	})
}
