package scheduler_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// allowedServers is a stand-in of the advice service: the IDs of the servers that it allows.
type allowedServers map[string]bool

// ticketValidity is how long the service's tickets are valid.
const ticketValidity = 3 * time.Second

// ticketFor returns the service's ticket for an incarnation of a server.
func ticketFor(v server.Server) string {
	return fmt.Sprintf("%s-%d", v.ID, v.StartedAt.UnixMilli())
}

// answer answers the requests since the last call and returns them.
func (p allowedServers) answer(w *harness) []scheduler.AdviceRequest {
	l := w.orders.AdviceRequests
	w.orders.AdviceRequests = nil
	for _, r := range l {
		tickets := map[string]string{}
		for _, v := range r.Servers {
			if p[v.ID] {
				tickets[v.ID] = ticketFor(v)
			}
		}
		w.AdviceReceived(r, tickets, w.now.Add(ticketValidity), w.now)
	}
	w.commit()
	return l
}

// answerAll answers requests until there are none, and returns them.
func (p allowedServers) answerAll(w *harness) []scheduler.AdviceRequest {
	all := []scheduler.AdviceRequest{}
	for l := p.answer(w); len(l) > 0; l = p.answer(w) {
		all = append(all, l...)
	}
	return all
}

// newAdvisedHarness returns a harness whose queue needs advice, with n servers named in the order of their IDs.
func newAdvisedHarness(n int) *harness {
	return newHarnessWithAdvice(n, &job.Advice{})
}

func newHarnessWithAdvice(n int, a *job.Advice) *harness {
	w := newHarness()
	w.SetTable(queue.New(2, []queue.Queue{{Name: "plans", Pool: "carving", Advice: a, MaxAttempts: 3, SlackFactor: 2, LatencyAllowance: time.Second}},
		map[string]queue.Pool{"carving": {Name: "carving"}}, queue.Limits{}))
	for i := range n {
		w.addServers(serverName(i))
	}
	return w
}

func serverName(i int) string {
	return fmt.Sprintf("s-%04d", i)
}

func wholeServer(s *schema.StepRecord) {
	s.CpuMilli = 64000
}

var _ = ginkgo.Describe("a step of a queue with advice", func() {
	// A job never started if the servers that its policy allowed were not among the first hundred of the pool.
	ginkgo.DescribeTable("runs on the servers that the policy allows, wherever they are in a large pool", func(servers int, allowed ...int) {
		w, p := newAdvisedHarness(servers), allowedServers{}
		for _, i := range allowed {
			p[serverName(i)] = true
		}
		w.submit(newRecord(1, int32(len(allowed)), wholeServer))
		asked := map[string]int{}
		for _, r := range p.answerAll(w) {
			gomega.Expect(len(r.Servers)).To(gomega.BeNumerically("<=", 100))
			for _, v := range r.Servers {
				asked[v.ID]++
				gomega.Expect(asked[v.ID]).To(gomega.Equal(1), "asked about %s twice", v.ID)
			}
		}
		l := w.acceptStarts()
		gomega.Expect(l).To(gomega.HaveLen(len(allowed)))
		for _, s := range l {
			gomega.Expect(p[s.Server.ID]).To(gomega.BeTrue())
			gomega.Expect(s.Ticket).To(gomega.Equal(ticketFor(s.Server)))
		}
	},
		ginkgo.Entry("the last ones", 106, 104, 105),
		ginkgo.Entry("far apart", 1300, 3, 640, 1299),
		ginkgo.Entry("the first one", 400, 0))

	// While it asked about further servers, a step was not placed on those that it had tickets for.
	ginkgo.It("is placed on the servers known to be allowed before the service has answered about others", func() {
		w, p := newAdvisedHarness(200), allowedServers{}
		for i := range 200 {
			p[serverName(i)] = i%20 == 0
		}
		w.submit(newRecord(1, 10, wholeServer))
		p.answer(w)
		gomega.Expect(w.acceptStarts()).NotTo(gomega.BeEmpty())
		gomega.Expect(w.orders.AdviceRequests).NotTo(gomega.BeEmpty(), "more servers are needed")
		p.answerAll(w)
		gomega.Expect(w.acceptStarts()).NotTo(gomega.BeEmpty())
	})

	// A gang needs servers from several answers at once.
	ginkgo.It("assembles a gang from several answers", func() {
		w, p := newAdvisedHarness(250), allowedServers{serverName(1): true, serverName(120): true, serverName(249): true}
		w.submit(newRecord(1, 3, wholeServer, func(s *schema.StepRecord) { s.Gang = true }))
		p.answerAll(w)
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(3))
	})

	// The tickets of a server's earlier incarnation are rejected by the next one.
	ginkgo.It("asks again about a server that has restarted under its ID", func() {
		w, p := newAdvisedHarness(1), allowedServers{serverName(0): true}
		w.submit(newRecord(1, 2, wholeServer))
		p.answerAll(w)
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
		w.advance(100 * time.Millisecond)
		v := newServer(serverName(0))
		v.StartedAt = w.now
		w.Register(v, w.now)
		w.ListingReceived(v.ID, server.Listing{StartedAt: v.StartedAt, Clock: time.Millisecond}, w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		p.answerAll(w)
		l := w.acceptStarts()
		gomega.Expect(l).To(gomega.HaveLen(1))
		gomega.Expect(l[0].Ticket).To(gomega.Equal(ticketFor(v)))
	})

	// Once a ticket had expired, the same first hundred servers were asked about again.
	ginkgo.It("renews the tickets of allowed servers without asking about denied ones", func() {
		w, p := newAdvisedHarness(150), allowedServers{serverName(149): true}
		w.submit(newRecord(1, 2, wholeServer))
		p.answerAll(w)
		s := w.acceptStarts()[0]
		for range 40 {
			w.advance(100 * time.Millisecond)
			for i := range 150 {
				if i != 149 {
					w.reportRuns(serverName(i))
				}
			}
			w.reportRuns(s.Server.ID, listedRun(s, 50))
			w.commit()
		}
		gomega.Expect(p.answer(w)).To(gomega.BeEmpty(), "no allowed server has capacity")
		w.reportEnd(s.Server.ID, s.Task, s.Number, job.EndDone)
		w.commit()
		l := p.answerAll(w)
		gomega.Expect(l).To(gomega.HaveLen(1))
		gomega.Expect(l[0].Servers).To(gomega.HaveLen(1))
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	// In an idle pool nothing else leads to the next request.
	ginkgo.It("repeats a request that failed", func() {
		w, p := newAdvisedHarness(1), allowedServers{serverName(0): true}
		w.submit(newRecord(1, 1))
		gomega.Expect(w.orders.AdviceRequests).To(gomega.HaveLen(1))
		w.AdviceFailed(w.orders.AdviceRequests[0], w.now)
		w.orders.AdviceRequests = nil
		w.commit()
		gomega.Expect(w.orders.AdviceRequests).To(gomega.BeEmpty(), "it waits first")
		w.advance(600 * time.Millisecond)
		p.answerAll(w)
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	// A server that rejects a ticket must not be sent starts in a tight loop, and the tickets of others are still good.
	ginkgo.It("asks again only about a server that rejected its ticket, after a pause", func() {
		w, p := newAdvisedHarness(1), allowedServers{serverName(0): true}
		w.submit(newRecord(1, 1))
		p.answerAll(w)
		w.StartAnswered(w.orders.Starts[0], scheduler.NotPermitted, w.clock(), w.now)
		w.orders.Starts = nil
		w.commit()
		gomega.Expect(w.orders.AdviceRequests).To(gomega.BeEmpty())
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.advance(600 * time.Millisecond)
		p.answerAll(w)
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	// A request about a hundred servers took a slow service longer than the owner waited, or than its tickets were valid.
	ginkgo.DescribeTable("asks a slow service about so few servers that their tickets are valid when they arrive", func(a job.Advice) {
		w, p := newHarnessWithAdvice(300, &a), allowedServers{serverName(299): true}
		w.submit(newRecord(1, 1))
		busy := time.Duration(0)
		for len(w.orders.AdviceRequests) > 0 {
			total := time.Duration(0)
			for _, r := range w.orders.AdviceRequests {
				total += a.RequestTime(len(r.Servers))
				gomega.Expect(r.Timeout).To(gomega.BeNumerically(">", total))
			}
			gomega.Expect(total).To(gomega.BeNumerically("<", a.Validity/2))
			busy += total
			p.answer(w)
		}
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
		gomega.Expect(busy).To(gomega.BeNumerically("<=", 2*3*a.RequestTime(100)), "small requests take longer than needed")
	},
		ginkgo.Entry("fast", job.Advice{Base: 5 * time.Millisecond, PerServer: 100 * time.Microsecond, Validity: 3 * time.Second}),
		ginkgo.Entry("slow for each server", job.Advice{Base: 50 * time.Millisecond, PerServer: 30 * time.Millisecond, Validity: 3 * time.Second}),
		ginkgo.Entry("short validity", job.Advice{Base: 20 * time.Millisecond, PerServer: 4 * time.Millisecond, Validity: 400 * time.Millisecond}),
		ginkgo.Entry("slow for each request", job.Advice{Base: 300 * time.Millisecond, PerServer: 2 * time.Millisecond, Validity: 2 * time.Second}))

	// A task was stopped for a server that is to be maintained, though its policy allowed none of the others with capacity.
	ginkgo.It("leaves a server that is to be maintained only for one that the policy allows", func() {
		w, p := newAdvisedHarness(3), allowedServers{serverName(0): true}
		w.submit(newRecord(1, 1, longRunning))
		p.answerAll(w)
		s := w.acceptStarts()[0]
		w.reportRuns(s.Server.ID, listedRun(s, 100))
		w.advance(time.Second)
		w.reportRuns(serverName(1))
		w.reportRuns(serverName(2))
		w.reportRuns(s.Server.ID, listedRun(s, 100))
		w.Cordon("vm-"+s.Server.ID, true)
		w.Evacuate("vm-"+s.Server.ID, w.now)
		w.collectOrders()
		gomega.Expect(w.takeStops()).To(gomega.BeEmpty())
		p["s-0003"] = true
		w.addServers("s-0003")
		w.Evacuate("vm-"+s.Server.ID, w.now)
		w.collectOrders()
		p.answer(w)
		w.Evacuate("vm-"+s.Server.ID, w.now)
		w.collectOrders()
		gomega.Expect(w.takeStops()).To(gomega.HaveLen(1))
	})

	// With answers that took longer than tickets are valid, counted from the request, a step asked again and again.
	ginkgo.It("tries the tickets of a late answer, which may still be valid", func() {
		w := newAdvisedHarness(1)
		w.submit(newRecord(1, 1))
		r := w.orders.AdviceRequests[0]
		w.AdviceReceived(r, map[string]string{r.Servers[0].ID: ticketFor(r.Servers[0])}, w.now.Add(-time.Second), w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	// Once its queue was removed, a job's starts were ordered without a ticket, rejected and ordered again, or failed later than
	// its queue allows.
	ginkgo.DescribeTable("keeps the terms of its queue when that is removed", func(takeover bool) {
		x, p := newStored(), allowedServers{serverName(0): true}
		w := newAdvisedHarness(2)
		w.Submit(newRecord(1, 1), w.now, func(scheduler.Reply) {})
		w.commitTo(x)
		if takeover {
			w = x.successor(w.now)
			w.addServers(serverName(0), serverName(1))
		}
		w.SetTable(queue.New(9, nil, map[string]queue.Pool{"carving": {Name: "carving"}}, queue.Limits{}))
		for range 3 {
			w.commit()
			p.answerAll(w)
			l := w.acceptStarts()
			gomega.Expect(l).To(gomega.HaveLen(1))
			gomega.Expect(l[0].Ticket).To(gomega.Equal(ticketFor(l[0].Server)))
			w.reportEnd(l[0].Server.ID, l[0].Task, l[0].Number, job.EndFailed)
		}
		w.commit()
		gomega.Expect(w.JobPhase(newRecord(1, 1).Id).Phase).To(gomega.Equal(job.Failed))
	},
		ginkgo.Entry("under the same owner", false), ginkgo.Entry("before a takeover", true))

	// Jobs that start in a burst must not fill the service's queue.
	ginkgo.It("waits while the service has several requests to answer, and gives up none", func() {
		w, p := newAdvisedHarness(50), allowedServers{}
		for i := range 50 {
			p[serverName(i)] = true
		}
		for i := range 40 {
			w.submit(newRecord(i+1, 1))
		}
		for n := 40; n > 0; {
			gomega.Expect(len(w.orders.AdviceRequests)).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 4)))
			n -= len(p.answer(w))
		}
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(40))
	})
})
