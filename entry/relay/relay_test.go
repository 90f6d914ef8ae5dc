package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/boottime"
	"github.com/tarragonbank/tarragonbank/entry/channel"
	"github.com/tarragonbank/tarragonbank/entry/executor"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/entry/relay"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestRelay(t *testing.T) {
	suite.Run(t, "relay")
}

// fakeOwner gives a fixed reply, to submissions after a delay.
type fakeOwner struct {
	reply scheduler.Reply
	delay time.Duration
}

func (o *fakeOwner) Submit(context.Context, *schema.JobRecord) scheduler.Reply {
	time.Sleep(o.delay)
	return o.reply
}
func (o *fakeOwner) Cancel(context.Context, string, string) scheduler.Reply { return o.reply }
func (o *fakeOwner) JobPhase(string, string) scheduler.Reply                { return o.reply }
func (o *fakeOwner) PendingJobs(string) scheduler.Reply                     { return scheduler.Reply{Pending: 7} }

func (o *fakeOwner) List(queue string) scheduler.Reply { return jobNamed(queue) }
func (o *fakeOwner) Explain(id string) scheduler.Reply { return jobNamed(id) }

func (o *fakeOwner) Pools() scheduler.Reply {
	return scheduler.Reply{Pools: []*schema.PoolStatus{{Name: "cups", Servers: 3}}}
}

func (o *fakeOwner) Workspaces() scheduler.Reply {
	return scheduler.Reply{Workspaces: []*schema.WorkspaceStatus{workspaceStatus}}
}

func (o *fakeOwner) Preview(m *schema.JobRecord) scheduler.Reply {
	return scheduler.Reply{Preview: previewOf(m.Id)}
}

func previewOf(id string) *schema.JobPreview {
	return &schema.JobPreview{Accepted: true, Reason: "admitted", RetryAfterMs: 1, Tasks: []*schema.TaskPreview{{
		Task: id, Server: "s-1", Cost: 0.5, Alternatives: []*schema.ServerCost{{Server: "s-2", Cost: 1}},
		Excluded: map[string]int32{"silent": 2}, WaitsFor: "room", ExpectedStartMs: 3,
	}}}
}

// workspaceStatus has a value in each field, so that one that is lost on the way shows.
var workspaceStatus = &schema.WorkspaceStatus{
	Name: "dev", Weight: 1.5, Cap: &schema.ResourceAmount{CpuMilli: 1, MemoryMb: 2, Accelerators: 3},
	Running: &schema.ResourceAmount{CpuMilli: 4}, TasksRunning: 5, TasksWaiting: 6, Jobs: 7,
	Refused: map[string]int64{"cap": 8}, Shares: []*schema.WorkspaceShare{{Pool: "cups", Used: 0.5, Fair: 0.25}},
}

func jobNamed(name string) scheduler.Reply {
	return scheduler.Reply{Jobs: []*schema.JobStatus{{Id: name, Tasks: []*schema.TaskStatus{{Task: "a", WaitsFor: "room"}}}}}
}

// fakeOwnership knows an owner, and the store's answers about jobs.
type fakeOwnership struct {
	owner *fakeOwner
	known owner.Record
	heard string
	// stored is the id of the only job in the store.
	stored          string
	storedWorkspace string
	storeError      error
	predecessor     netip.AddrPort
	// storeSilence is how long ago the store last answered.
	storeSilence time.Duration
	// unconfirmed is how long ago the store last confirmed the ownership.
	unconfirmed time.Duration
	// successors become the owner, one after the other, with each call of fail.
	lock       sync.Mutex
	successors []owner.Record
}

// fail replaces the owner by its successor.
func (o *fakeOwnership) fail() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.known, o.successors = o.successors[0], o.successors[1:]
}

func (o *fakeOwnership) Current() owner.JobService {
	if o.owner == nil {
		return nil
	}
	return o.owner
}

func (o *fakeOwnership) OwnershipAge() (time.Duration, bool) { return o.unconfirmed, o.owner != nil }

func (o *fakeOwnership) Known() owner.Record {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.known
}

func (o *fakeOwnership) Stored(_ context.Context, id string) (bool, string, error) {
	return o.stored == id, o.storedWorkspace, o.storeError
}

func (o *fakeOwnership) Learn(r owner.Record) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if r.Revision > o.known.Revision {
		o.known = r
	}
}

func (o *fakeOwnership) Predecessor() (netip.AddrPort, bool) {
	return o.predecessor, o.predecessor.IsValid()
}

func (o *fakeOwnership) StoreContact() time.Time { return time.Now().Add(-o.storeSilence) }

func (o *fakeOwnership) RecordContact(name string, _ float64, _ time.Time) { o.heard = name }

// serve runs a relay that answers calls of other entries, and returns its address and a function to stop it.
func serve(o *fakeOwnership, l ...relay.Option) (netip.AddrPort, func()) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	go relay.New(o, owner.Identity{}, &fakeExecutors{}, nil, l...).Serve(ctx, n)
	return netip.MustParseAddrPort(n.Addr().String()), func() { stop(); n.Close() }
}

// failingListener fails to accept its first connection, as if no descriptor were free.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// An owner that had no descriptor left for a moment took no connections of other entries from then on.
var _ = ginkgo.It("takes connections again after one could not be accepted", func() {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer n.Close()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	go relay.New(&fakeOwnership{owner: &fakeOwner{reply: scheduler.Reply{Result: scheduler.Done}}}, owner.Identity{}, &fakeExecutors{}, nil).
		Serve(ctx, &failingListener{Listener: n})
	a := netip.MustParseAddrPort(n.Addr().String())
	r := relay.New(&fakeOwnership{known: owner.Record{Address: a, Revision: 1}}, owner.Identity{}, &fakeExecutors{}, nil)
	gomega.Expect(r.Call(ctx, &schema.JobCall{Kind: schema.JobCall_CANCEL, Id: "1"}).Result).To(gomega.Equal(scheduler.Done))
})

// fakeProof has a fixed proof and keeps what is confirmed.
type fakeProof struct {
	revision  store.Revision
	age       time.Duration
	confirmed chan time.Duration

	lock   sync.Mutex
	config []byte
}

func (p *fakeProof) Proof() (store.Revision, time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.revision, p.age
}

func (p *fakeProof) Config() (store.Revision, []byte) {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.revision, p.config
}

func (p *fakeProof) Learn(r store.Revision, config []byte) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.revision, p.config = r, config
}

func (p *fakeProof) Confirm(r store.Revision, t time.Duration) {
	if own, _ := p.Config(); r == own {
		p.confirmed <- t
	}
}

// fakeExecutors records the entries that join.
type fakeExecutors struct {
	lock   sync.Mutex
	joined map[string]*channel.Channel
}

func (x *fakeExecutors) Join(c executor.Candidate, h *channel.Channel) {
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.joined == nil {
		x.joined = map[string]*channel.Channel{}
	}
	x.joined[c.Name+" in "+c.DataCentre] = h
}

func (x *fakeExecutors) channel(name string) *channel.Channel {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.joined[name]
}

var _ = ginkgo.Describe("an entry that pings the owner", func() {
	ginkgo.It("joins the executors and answers the owner's calls on the same connection", func() {
		n, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		x := &fakeExecutors{}
		go relay.New(&fakeOwnership{owner: &fakeOwner{}}, owner.Identity{}, x, nil).Serve(ctx, n)
		o := &fakeOwnership{known: owner.Record{Name: "there", Address: netip.MustParseAddrPort(n.Addr().String()), Revision: 5}}
		r := relay.New(o, owner.Identity{Name: "here", DataCentre: "west"}, &fakeExecutors{}, func(context.Context, *schema.Call) *schema.Reply {
			return &schema.Reply{Body: &schema.Reply_Order{Order: &schema.OrderReply{ClockMs: 7}}}
		})
		go r.Run(ctx)
		gomega.Eventually(func() *channel.Channel { return x.channel("here in west") }).ShouldNot(gomega.BeNil())
		m, _, err := x.channel("here in west").Call(ctx, &schema.Call{Body: &schema.Call_Order{Order: &schema.ServerOrder{}}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(m.GetOrder().ClockMs).To(gomega.BeEquivalentTo(7))
		gomega.Eventually(r.Ready).Should(gomega.BeTrue())
	})

	// A data centre that is cut off together with the owner must send its callers elsewhere: the owner answers its pings but
	// cannot accept jobs, and another owner is elected outside.
	ginkgo.It("is not ready while the store does not confirm the owner's ownership", func() {
		a, stop := serve(&fakeOwnership{owner: &fakeOwner{}, unconfirmed: 3 * time.Second})
		defer stop()
		ctx, end := context.WithCancel(context.Background())
		defer end()
		c := make(chan time.Duration, 100)
		o := &fakeOwnership{known: owner.Record{Name: "there", Address: a, Revision: 5}}
		r := relay.New(o, owner.Identity{Name: "here"}, &fakeExecutors{}, nil, relay.WithConfigProof(&fakeProof{confirmed: c}))
		go r.Run(ctx)
		gomega.Eventually(c).Should(gomega.Receive(), "the owner has answered a ping")
		gomega.Consistently(r.Ready, 200*time.Millisecond).Should(gomega.BeFalse())
	})

	ginkgo.DescribeTable("is ready as the owner only while the store confirms that", func(age time.Duration, ready bool) {
		r := relay.New(&fakeOwnership{owner: &fakeOwner{}, unconfirmed: age}, owner.Identity{}, &fakeExecutors{}, nil)
		gomega.Expect(r.Ready()).To(gomega.Equal(ready))
	}, ginkgo.Entry("within a slow store's answers", 1500*time.Millisecond, true), ginkgo.Entry("not when it is cut off", 2500*time.Millisecond, false))
})

var _ = ginkgo.Describe("a call", func() {
	submit := &schema.JobCall{Kind: schema.JobCall_SUBMIT, Id: "a", Job: &schema.JobRecord{Id: "a"}}
	ask := func(o *fakeOwnership, c *schema.JobCall) scheduler.Reply {
		ctx, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer stop()
		return relay.New(o, owner.Identity{Name: "here"}, &fakeExecutors{}, nil).Call(ctx, c)
	}

	ginkgo.It("is answered here if this entry is the owner", func() {
		gomega.Expect(ask(&fakeOwnership{owner: &fakeOwner{}}, submit).Result).To(gomega.Equal(scheduler.Done))
	})
	ginkgo.It("is forwarded to the owner, whose reply is returned whole", func() {
		want := scheduler.Reply{Result: scheduler.Refused, Phase: 2, Pending: 3, RetryAfter: time.Second, Reason: "would be late"}
		a, stop := serve(&fakeOwnership{owner: &fakeOwner{reply: want}})
		defer stop()
		o := &fakeOwnership{known: owner.Record{Name: "there", Address: a, Revision: 5}}
		gomega.Expect(ask(o, submit)).To(gomega.Equal(want))
		gomega.Expect(ask(o, &schema.JobCall{Kind: schema.JobCall_PENDING}).Pending).To(gomega.Equal(7))
		gomega.Expect(ask(o, &schema.JobCall{Kind: schema.JobCall_POOLS}).Pools[0].Servers).To(gomega.BeEquivalentTo(3))
		w := ask(o, &schema.JobCall{Kind: schema.JobCall_WORKSPACES}).Workspaces
		gomega.Expect(w).To(gomega.HaveLen(1))
		gomega.Expect(proto.Equal(w[0], workspaceStatus)).To(gomega.BeTrue())
		p := ask(o, &schema.JobCall{Kind: schema.JobCall_PREVIEW, Job: &schema.JobRecord{Id: "a"}}).Preview
		gomega.Expect(proto.Equal(p, previewOf("a"))).To(gomega.BeTrue())
		for _, c := range []*schema.JobCall{{Kind: schema.JobCall_LIST, Queue: "plans"}, {Kind: schema.JobCall_EXPLAIN, Id: "plans"}} {
			got := ask(o, c).Jobs
			gomega.Expect(got).To(gomega.HaveLen(1))
			gomega.Expect(proto.Equal(got[0], jobNamed("plans").Jobs[0])).To(gomega.BeTrue())
		}
	})
	ginkgo.It("is refused as not run while nobody owns the fleet", func() {
		gomega.Expect(ask(&fakeOwnership{}, submit).Result).To(gomega.Equal(scheduler.Refused))
	})
	ginkgo.It("is refused as not run if the owner is unreachable", func() {
		n, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		a := netip.MustParseAddrPort(n.Addr().String())
		n.Close()
		r := ask(&fakeOwnership{known: owner.Record{Address: a, Revision: 5}}, submit)
		gomega.Expect(r.Result).To(gomega.Equal(scheduler.Refused))
		gomega.Expect(r.RetryAfter).To(gomega.BeNumerically(">", 0))
	})
	ginkgo.It("is accepted if the store has the job from an earlier attempt", func() {
		o := &fakeOwnership{stored: "a"}
		gomega.Expect(ask(o, submit).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(ask(o, &schema.JobCall{Kind: schema.JobCall_SUBMIT, Id: "b"}).Result).To(gomega.Equal(scheduler.Refused))
		gomega.Expect(ask(o, &schema.JobCall{Kind: schema.JobCall_STATE, Id: "a"}).Result).To(gomega.Equal(scheduler.Refused))
	})
	// Its caller would take the other workspace's job for its own.
	ginkgo.It("is forbidden if the store has the job for another workspace", func() {
		o := &fakeOwnership{stored: "a", storedWorkspace: "cups"}
		for workspace, want := range map[string]scheduler.Result{"cups": scheduler.Done, "": scheduler.Done, "saws": scheduler.Forbidden} {
			c := &schema.JobCall{Kind: schema.JobCall_SUBMIT, Id: "a", Workspace: workspace}
			gomega.Expect(ask(o, c).Result).To(gomega.Equal(want), workspace)
		}
	})
	ginkgo.It("has an unknown outcome if neither an owner nor the store can tell about earlier attempts", func() {
		r := ask(&fakeOwnership{storeError: &store.BusyError{Call: "get"}}, submit)
		gomega.Expect(r.Result).To(gomega.Equal(scheduler.OutcomeUnknown))
		gomega.Expect(r.RetryAfter).To(gomega.BeNumerically(">", 0))
	})
	ginkgo.It("is refused as not run by an entry that no longer owns the fleet", func() {
		a, stop := serve(&fakeOwnership{})
		defer stop()
		gomega.Expect(ask(&fakeOwnership{known: owner.Record{Address: a, Revision: 5}}, submit).Result).To(gomega.Equal(scheduler.Refused))
	})
	// A cut between data centres silences the owner while calls wait for it. Each of them ended with an unknown outcome,
	// after which its caller cannot safely try again.
	ginkgo.DescribeTable("without an answer is repeated at the next owner, whose answer settles it", func(next scheduler.Reply) {
		first, stopFirst := serve(&fakeOwnership{owner: &fakeOwner{delay: time.Minute}})
		second, stopSecond := serve(&fakeOwnership{owner: &fakeOwner{reply: next}})
		defer stopSecond()
		o := &fakeOwnership{
			known:      owner.Record{Name: "first", Address: first, Revision: 5},
			successors: []owner.Record{{}, {Name: "second", Address: second, Revision: 9}},
			storeError: &store.BusyError{Call: "get"},
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			stopFirst()
			o.fail()
			time.Sleep(100 * time.Millisecond)
			o.fail()
		}()
		ctx, stop := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer stop()
		x := relay.New(o, owner.Identity{Name: "here"}, &fakeExecutors{}, nil).Call(ctx, submit)
		gomega.Expect(x).To(gomega.Equal(next))
	},
		ginkgo.Entry("accepted", scheduler.Reply{Result: scheduler.Done}),
		ginkgo.Entry("refused", scheduler.Reply{Result: scheduler.Refused, RetryAfter: time.Second, Reason: "would be late"}))

	ginkgo.It("that may have reached an owner is not refused while nobody owns the fleet", func() {
		first, stopFirst := serve(&fakeOwnership{owner: &fakeOwner{delay: time.Minute}})
		o := &fakeOwnership{known: owner.Record{Name: "first", Address: first, Revision: 5}, successors: []owner.Record{{}}}
		go func() {
			time.Sleep(100 * time.Millisecond)
			stopFirst()
			o.fail()
		}()
		gomega.Expect(ask(o, submit).Result).To(gomega.Equal(scheduler.OutcomeUnknown))
	})

	ginkgo.It("has an unknown outcome if the owner does not reply in time", func() {
		a, stop := serve(&fakeOwnership{owner: &fakeOwner{delay: time.Second}})
		defer stop()
		gomega.Expect(ask(&fakeOwnership{known: owner.Record{Address: a, Revision: 5}}, submit).Result).To(gomega.Equal(scheduler.OutcomeUnknown))
	})
})

// An entry whose data centre is cut off reaches neither the owner nor the store. Its callers waited until their deadlines, each
// for the attempts to connect of all others before it, and had no time left to go elsewhere.
var _ = ginkgo.Describe("an entry that is cut off", func() {
	submit := &schema.JobCall{Kind: schema.JobCall_SUBMIT, Id: "a"}
	// A listener whose queue of connections is full does not answer, like an address behind a partition.
	unanswered := func() (netip.AddrPort, func()) {
		f, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(syscall.Bind(f, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(gomega.Succeed())
		gomega.Expect(syscall.Listen(f, 0)).To(gomega.Succeed())
		a, err := syscall.Getsockname(f)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(a.(*syscall.SockaddrInet4).Port))
		conns := []net.Conn{}
		for {
			c, err := net.DialTimeout("tcp", address.String(), 50*time.Millisecond)
			if err != nil {
				break
			}
			conns = append(conns, c)
		}
		return address, func() {
			for _, c := range conns {
				c.Close()
			}
			syscall.Close(f)
		}
	}

	ginkgo.It("answers within a quarter of the callers' time that it does not know, whatever their number", func() {
		a, stop := unanswered()
		defer stop()
		r := relay.New(&fakeOwnership{known: owner.Record{Address: a, Revision: 5}, storeSilence: time.Minute}, owner.Identity{Name: "here"}, &fakeExecutors{}, nil)
		for range 2 {
			g, began := sync.WaitGroup{}, time.Now()
			for range 20 {
				g.Go(func() {
					defer ginkgo.GinkgoRecover()
					ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
					defer stop()
					x := r.Call(ctx, submit)
					gomega.Expect(x.Result).To(gomega.Equal(scheduler.OutcomeUnknown))
					gomega.Expect(x.RetryAfter).To(gomega.BeNumerically(">", 0))
				})
			}
			g.Wait()
			gomega.Expect(time.Since(began)).To(gomega.BeNumerically("~", 500*time.Millisecond, 200*time.Millisecond), "one attempt to connect serves all")
		}
	})

	ginkgo.It("reaches the owner again once a ping does", func() {
		a, stop := serve(&fakeOwnership{owner: &fakeOwner{reply: scheduler.Reply{Result: scheduler.Done}}})
		stop()
		r := relay.New(&fakeOwnership{known: owner.Record{Address: a, Revision: 5}}, owner.Identity{Name: "here"}, &fakeExecutors{}, nil)
		gomega.Expect(r.Call(context.Background(), submit).Result).To(gomega.Equal(scheduler.Refused))
		n, err := net.Listen("tcp", a.String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer n.Close()
		ctx, end := context.WithCancel(context.Background())
		defer end()
		go relay.New(&fakeOwnership{owner: &fakeOwner{reply: scheduler.Reply{Result: scheduler.Done}}}, owner.Identity{}, &fakeExecutors{}, nil).Serve(ctx, n)
		go r.Run(ctx)
		gomega.Eventually(func() scheduler.Result { return r.Call(ctx, submit).Result }, 3*time.Second).Should(gomega.Equal(scheduler.Done))
	})

	ginkgo.It("serves a call if the owner is reached again within that time", func() {
		a, stop := serve(&fakeOwnership{owner: &fakeOwner{}})
		stop()
		o := &fakeOwnership{known: owner.Record{Address: a, Revision: 5}, storeSilence: time.Minute}
		r := relay.New(o, owner.Identity{Name: "here"}, &fakeExecutors{}, nil)
		ctx, end := context.WithTimeout(context.Background(), 4*time.Second)
		defer end()
		go r.Run(ctx)
		time.AfterFunc(200*time.Millisecond, func() {
			n, err := net.Listen("tcp", a.String())
			if err == nil {
				go relay.New(&fakeOwnership{owner: &fakeOwner{reply: scheduler.Reply{Result: scheduler.Done}}}, owner.Identity{}, &fakeExecutors{}, nil).Serve(ctx, n)
			}
		})
		gomega.Expect(r.Call(ctx, submit).Result).To(gomega.Equal(scheduler.Done))
	})

	ginkgo.It("answers a call under way once its connection is lost", func() {
		first, stopFirst := serve(&fakeOwnership{owner: &fakeOwner{delay: time.Minute}})
		o := &fakeOwnership{known: owner.Record{Address: first, Revision: 5}, storeSilence: time.Minute}
		time.AfterFunc(100*time.Millisecond, stopFirst)
		began := time.Now()
		gomega.Expect(relay.New(o, owner.Identity{Name: "here"}, &fakeExecutors{}, nil).Call(context.Background(), submit).Result).To(gomega.Equal(scheduler.OutcomeUnknown))
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*time.Second), "the connection is closed after 1.5 s of silence")
	})
})

// The store turns some entries away while it serves the others, which elect another owner. Callers of the entries that were
// turned away got no answer for nine seconds, since only the store named the new owner.
var _ = ginkgo.Describe("an entry that the store turns away", func() {
	submit := &schema.JobCall{Kind: schema.JobCall_SUBMIT, Id: "a"}

	ginkgo.It("reaches the new owner through the previous one, which the new owner tells of itself", func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		successor := &fakeOwnership{owner: &fakeOwner{reply: scheduler.Reply{Result: scheduler.Done}}}
		second, stopSecond := serve(successor)
		defer stopSecond()
		previous := &fakeOwnership{known: owner.Record{Name: "first", Revision: 5}, storeSilence: time.Minute}
		first, stopFirst := serve(previous)
		defer stopFirst()
		here := &fakeOwnership{known: owner.Record{Name: "first", Address: first, Revision: 5}, storeSilence: time.Minute}
		r := relay.New(here, owner.Identity{Name: "here"}, &fakeExecutors{}, nil)
		go relay.New(&fakeOwnership{
			owner: &fakeOwner{}, predecessor: first, known: owner.Record{Name: "second", Address: second, Revision: 9},
		}, owner.Identity{Name: "second", Address: second}, &fakeExecutors{}, nil).Run(ctx)
		gomega.Eventually(func() scheduler.Result { return r.Call(ctx, submit).Result }, 3*time.Second).Should(gomega.Equal(scheduler.Done))
		gomega.Expect(here.Known().Name).To(gomega.Equal("second"))
	})

	ginkgo.It("does not return to an earlier owner", func() {
		first, stopFirst := serve(&fakeOwnership{known: owner.Record{Name: "old", Address: netip.MustParseAddrPort("127.0.0.1:1"), Revision: 3}})
		defer stopFirst()
		here := &fakeOwnership{known: owner.Record{Name: "first", Address: first, Revision: 5}, storeError: &store.BusyError{Call: "get"}}
		ctx, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer stop()
		gomega.Expect(relay.New(here, owner.Identity{Name: "here"}, &fakeExecutors{}, nil).Call(ctx, submit).Result).To(gomega.Equal(scheduler.OutcomeUnknown))
		gomega.Expect(here.Known().Revision).To(gomega.Equal(store.Revision(5)))
	})
})

// The owner's proof is as old as it says from when the ping was sent. Counted from the reply, a slow link would make it
// younger than it is, and a withdrawn key could be used for longer.
var _ = ginkgo.Describe("a ping", func() {
	ginkgo.It("brings the proof of the owner's configuration", func() {
		const age = 1400 * time.Millisecond
		a, stopOwner := serve(&fakeOwnership{owner: &fakeOwner{}}, relay.WithConfigProof(&fakeProof{revision: 7, age: age}))
		defer stopOwner()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		p := &fakeProof{revision: 7, confirmed: make(chan time.Duration, 9)}
		began := boottime.Now()
		go relay.New(&fakeOwnership{known: owner.Record{Address: a, Revision: 5}}, owner.Identity{Name: "here"}, &fakeExecutors{}, nil,
			relay.WithConfigProof(p)).Run(ctx)
		var t time.Duration
		gomega.Eventually(p.confirmed, 3*time.Second).Should(gomega.Receive(&t))
		gomega.Expect(t).To(gomega.And(gomega.BeNumerically(">=", began-age), gomega.BeNumerically("<=", boottime.Now()-age)))
	})

	// Guards against an entry that keeps an old configuration while the store turns it away and the owner has a newer one.
	ginkgo.It("leads to the owner's configuration if that is newer", func() {
		owners := &fakeProof{revision: 9, config: []byte("new")}
		a, stopOwner := serve(&fakeOwnership{owner: &fakeOwner{}}, relay.WithConfigProof(owners))
		defer stopOwner()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		p := &fakeProof{revision: 7, config: []byte("old"), confirmed: make(chan time.Duration, 99)}
		go relay.New(&fakeOwnership{known: owner.Record{Address: a, Revision: 5}}, owner.Identity{Name: "here"}, &fakeExecutors{}, nil,
			relay.WithConfigProof(p)).Run(ctx)
		config := func() string {
			v, b := p.Config()
			return fmt.Sprint(v, " ", string(b))
		}
		gomega.Eventually(config, 5*time.Second).Should(gomega.Equal("9 new"))
		gomega.Eventually(p.confirmed, 5*time.Second).Should(gomega.Receive())
		owners.Learn(10, make([]byte, 1<<20))
		gomega.Consistently(config, 1200*time.Millisecond).Should(gomega.Equal("9 new"), "too large to be passed on")
		owners.Learn(8, []byte("older"))
		gomega.Consistently(config, 1200*time.Millisecond).Should(gomega.Equal("9 new"))
	})
})
