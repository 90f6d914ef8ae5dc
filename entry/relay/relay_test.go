package relay_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

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

// desk answers as it is told, after a wait.
type desk struct {
	reply scheduler.Reply
	wait  time.Duration
}

func (d *desk) Submit(context.Context, *schema.JobRecord) scheduler.Reply {
	time.Sleep(d.wait)
	return d.reply
}
func (d *desk) Cancel(context.Context, string) scheduler.Reply { return d.reply }
func (d *desk) JobPhase(string) scheduler.Reply                { return d.reply }
func (d *desk) PendingJobs(string) scheduler.Reply             { return scheduler.Reply{Pending: 7} }
func (d *desk) List(queue string) scheduler.Reply              { return listed(queue) }
func (d *desk) Explain(id string) scheduler.Reply              { return listed(id) }

func (d *desk) Pools() scheduler.Reply {
	return scheduler.Reply{Pools: []*schema.PoolStatus{{Name: "cups", Servers: 3}}}
}

func listed(name string) scheduler.Reply {
	return scheduler.Reply{Jobs: []*schema.JobStatus{{Id: name, Tasks: []*schema.TaskStatus{{Task: "a", WaitsFor: "room"}}}}}
}

// local is what an entry knows of the ownership.
type local struct {
	desk  *desk
	known owner.Record
	heard string
	// stored is the job that the store has.
	stored string
	away   error
}

func (l *local) Current() owner.JobService {
	if l.desk == nil {
		return nil
	}
	return l.desk
}
func (l *local) Known() owner.Record { return l.known }
func (l *local) Stored(_ context.Context, id string) (bool, error) {
	return l.stored == id, l.away
}
func (l *local) Heard(name string, _ float64, _ time.Time) { l.heard = name }

// serve runs the owner's side and returns where it is reached.
func serve(l *local) (netip.AddrPort, func()) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	go relay.New(l, owner.Identity{}).Serve(ctx, n)
	return netip.MustParseAddrPort(n.Addr().String()), func() { stop(); n.Close() }
}

var _ = ginkgo.Describe("a call", func() {
	submit := &schema.JobCall{Kind: schema.JobCall_SUBMIT, Id: "a", Job: &schema.JobRecord{Id: "a"}}
	ask := func(l *local, c *schema.JobCall) scheduler.Reply {
		ctx, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer stop()
		return relay.New(l, owner.Identity{Name: "here"}).Call(ctx, c)
	}

	ginkgo.It("is answered here by the owner itself", func() {
		gomega.Expect(ask(&local{desk: &desk{}}, submit).Result).To(gomega.Equal(scheduler.Done))
	})
	ginkgo.It("is passed to the owner with its reply", func() {
		want := scheduler.Reply{Result: scheduler.Refused, Phase: 2, Pending: 3, RetryAfter: time.Second, Reason: "would be late"}
		a, stop := serve(&local{desk: &desk{reply: want}})
		defer stop()
		l := &local{known: owner.Record{Name: "there", Address: a, Revision: 5}}
		gomega.Expect(ask(l, submit)).To(gomega.Equal(want))
		gomega.Expect(ask(l, &schema.JobCall{Kind: schema.JobCall_PENDING}).Pending).To(gomega.Equal(7))
		gomega.Expect(ask(l, &schema.JobCall{Kind: schema.JobCall_POOLS}).Pools[0].Servers).To(gomega.BeEquivalentTo(3))
		for _, c := range []*schema.JobCall{{Kind: schema.JobCall_LIST, Queue: "plans"}, {Kind: schema.JobCall_EXPLAIN, Id: "plans"}} {
			got := ask(l, c).Jobs
			gomega.Expect(got).To(gomega.HaveLen(1))
			gomega.Expect(proto.Equal(got[0], listed("plans").Jobs[0])).To(gomega.BeTrue())
		}
	})
	ginkgo.It("is refused as not run while nobody owns the fleet", func() {
		gomega.Expect(ask(&local{}, submit).Result).To(gomega.Equal(scheduler.Refused))
	})
	ginkgo.It("is refused as not run where the owner is not reached", func() {
		n, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		a := netip.MustParseAddrPort(n.Addr().String())
		n.Close()
		r := ask(&local{known: owner.Record{Address: a, Revision: 5}}, submit)
		gomega.Expect(r.Result).To(gomega.Equal(scheduler.Refused))
		gomega.Expect(r.RetryAfter).To(gomega.BeNumerically(">", 0))
	})
	ginkgo.It("is not refused where the store has the job from an earlier attempt", func() {
		l := &local{stored: "a"}
		gomega.Expect(ask(l, submit).Result).To(gomega.Equal(scheduler.Done))
		gomega.Expect(ask(l, &schema.JobCall{Kind: schema.JobCall_SUBMIT, Id: "b"}).Result).To(gomega.Equal(scheduler.Refused))
		gomega.Expect(ask(l, &schema.JobCall{Kind: schema.JobCall_STATE, Id: "a"}).Result).To(gomega.Equal(scheduler.Refused))
	})
	ginkgo.It("is not called refused where neither an owner nor the store tells of earlier attempts", func() {
		r := ask(&local{away: &store.BusyError{Call: "get"}}, submit)
		gomega.Expect(r.Result).To(gomega.Equal(scheduler.OutcomeUnknown))
		gomega.Expect(r.RetryAfter).To(gomega.BeNumerically(">", 0))
	})
	ginkgo.It("is refused as not run by an entry that owns the fleet no more", func() {
		a, stop := serve(&local{})
		defer stop()
		gomega.Expect(ask(&local{known: owner.Record{Address: a, Revision: 5}}, submit).Result).To(gomega.Equal(scheduler.Refused))
	})
	ginkgo.It("is not known to have run where the owner falls silent", func() {
		a, stop := serve(&local{desk: &desk{wait: time.Second}})
		defer stop()
		gomega.Expect(ask(&local{known: owner.Record{Address: a, Revision: 5}}, submit).Result).To(gomega.Equal(scheduler.OutcomeUnknown))
	})
})
