package relay_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
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

func (o *fakeOwnership) Known() owner.Record {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.known
}

func (o *fakeOwnership) Stored(_ context.Context, id string) (bool, string, error) {
	return o.stored == id, o.storedWorkspace, o.storeError
}
func (o *fakeOwnership) RecordContact(name string, _ float64, _ time.Time) { o.heard = name }

// serve runs a relay that answers calls of other entries, and returns its address and a function to stop it.
func serve(o *fakeOwnership, l ...relay.Option) (netip.AddrPort, func()) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	go relay.New(o, owner.Identity{}, &fakeExecutors{}, nil, l...).Serve(ctx, n)
	return netip.MustParseAddrPort(n.Addr().String()), func() { stop(); n.Close() }
}

// fakeProof has a fixed proof and keeps what is confirmed.
type fakeProof struct {
	revision  store.Revision
	age       time.Duration
	confirmed chan time.Duration
}

func (p *fakeProof) Proof() (store.Revision, time.Duration) { return p.revision, p.age }

func (p *fakeProof) Confirm(r store.Revision, t time.Duration) {
	if r == p.revision {
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
})
