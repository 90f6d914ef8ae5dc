package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

var _ = ginkgo.Describe("listings and answers of servers", func() {
	var w *harness
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a", "b")
	})

	ginkgo.It("restarts a task after an unanswered start once the order has expired and the run is not listed", func() {
		w.submit(newRecord(1, 1))
		s := w.orders.Starts[0]
		w.orders.Starts = nil
		w.StartAnswered(s, scheduler.NoAnswer, 0, w.now)
		w.advance(500 * time.Millisecond)
		w.reportRuns(s.Server.ID)
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty(), "the start order has not expired")
		w.advance(time.Second)
		w.reportRuns("a")
		w.reportRuns("b")
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.HaveLen(1))
		gomega.Expect(w.orders.Starts[0].Number).To(gomega.Equal(2))
	})

	// The run waited for the lease of the server, which had crashed before the order.
	ginkgo.It("places a task elsewhere at once if its start order reached no server", func() {
		w.submit(newRecord(1, 1))
		s := w.orders.Starts[0]
		w.orders.Starts = nil
		w.StartAnswered(s, scheduler.Undelivered, 0, w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.ConsistOf(gomega.HaveField("Server.ID", otherServer(s.Server.ID))))
	})

	// The end of a pause caused no placement, so the task waited until something else did.
	ginkgo.DescribeTable("places a task again once the only server's pause is over", func(a scheduler.StartAnswer) {
		w = newHarness()
		w.addServers("a")
		w.submit(newRecord(1, 1))
		s := w.orders.Starts[0]
		w.orders.Starts = nil
		w.StartAnswered(s, a, 0, w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.reportRuns("a")
		w.advance(1200 * time.Millisecond)
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	},
		ginkgo.Entry("that accepted no connection", scheduler.Undelivered),
		ginkgo.Entry("that was unhealthy", scheduler.Unhealthy),
		ginkgo.Entry("that had no room", scheduler.InsufficientCapacity))

	ginkgo.It("does not drop a run because of a listing that is older than the answer to its start", func() {
		w.submit(newRecord(1, 1))
		old := server.Listing{StartedAt: start, Clock: w.clock()}
		w.now = w.now.Add(50 * time.Millisecond)
		s := w.acceptStarts()[0]
		w.ListingReceived(s.Server.ID, old, w.now)
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty())
	})

	ginkgo.It("waits until the lease of an unreachable server has surely expired", func() {
		w.advance(1500 * time.Millisecond)
		w.addServers("a", "b")
		w.submit(newRecord(1, 1))
		s := w.acceptStarts()[0]
		w.reportRuns(s.Server.ID, listedRun(s, 10))
		w.ServerUnreachable(s.Server.ID, start, w.now, "timeout")
		for range 4 {
			w.advance(time.Second)
			w.reportRuns(otherServer(s.Server.ID))
			w.commit()
		}
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		for range 2 {
			w.advance(time.Second)
			w.reportRuns(otherServer(s.Server.ID))
			w.commit()
		}
		next := w.acceptStarts()
		gomega.Expect(next).To(gomega.HaveLen(1))
		gomega.Expect(next[0].Server.ID).To(gomega.Equal(otherServer(s.Server.ID)))
	})

	ginkgo.It("allows for the lease that a previous owner may have renewed just before the first listing", func() {
		x := newHarness()
		x.Register(newServer("a"), x.now)
		x.ListingReceived("a", server.Listing{StartedAt: start, Clock: x.clock()}, x.now)
		x.submit(newRecord(1, 1))
		s := x.acceptStarts()[0]
		x.ServerUnreachable("a", start, x.now, "timeout")
		x.addServers("b")
		x.advance(2 * time.Second)
		x.reportRuns("b")
		x.advance(100 * time.Millisecond)
		gomega.Expect(x.acceptStarts()).To(gomega.BeEmpty(), "run %d may continue for six seconds", s.Number)
	})

	ginkgo.It("keeps the runs of a draining server that is unreachable and unregistered until their lease has expired", func() {
		w.submit(newRecord(1, 1))
		s := w.acceptStarts()[0]
		w.reportRuns(s.Server.ID, listedRun(s, 10))
		v := newServer(s.Server.ID)
		v.Draining = true
		w.Register(v, w.now)
		w.ServerUnreachable(v.ID, start, w.now, "timeout")
		w.Unregister(v.ID, w.now)
		w.reportRuns(otherServer(v.ID))
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
	})

	ginkgo.It("does not renew the lease of an unreachable server", func() {
		w.ServerUnreachable("a", start, w.now, "timeout")
		h, _ := w.PreparePoll("a", w.now)
		gomega.Expect(h.LeaseUntil).To(gomega.BeZero())
	})

	ginkgo.It("restarts the tasks of a restarted server as soon as that has listed that it does not have them", func() {
		w.submit(newRecord(1, 1))
		s := w.acceptStarts()[0]
		v := newServer(s.Server.ID)
		v.StartedAt = start.Add(time.Second)
		w.Register(v, w.now)
		w.reportRuns(otherServer(s.Server.ID))
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.ListingReceived(v.ID, server.Listing{StartedAt: v.StartedAt, Clock: time.Millisecond}, w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("stops a run that is not assigned to the server", func() {
		k := job.Task{Job: "00000000000000aa"}
		w.reportRuns("a", server.Run{Task: k, Number: 4})
		w.collectOrders()
		gomega.Expect(w.takeStops()).To(gomega.ConsistOf(gomega.HaveField("Number", 4)))
	})

	ginkgo.It("stops a run without progress and restarts its task elsewhere", func() {
		w.submit(newRecord(1, 1))
		s := w.acceptStarts()[0]
		for range 20 {
			w.advance(100 * time.Millisecond)
			w.reportRuns(s.Server.ID, listedRun(s, 30))
			w.reportRuns(otherServer(s.Server.ID))
		}
		w.collectOrders()
		gomega.Expect(w.takeStops()).NotTo(gomega.BeEmpty())
		w.reportEnd(s.Server.ID, s.Task, 1, job.EndStopped)
		w.commit()
		gomega.Expect(w.acceptStarts()[0].Server.ID).To(gomega.Equal(otherServer(s.Server.ID)))
	})

	ginkgo.It("does not treat tasks as stragglers because their estimate is too low", func() {
		w.submit(newRecord(1, 4))
		l := w.acceptStarts()
		for i := range 15 {
			w.advance(100 * time.Millisecond)
			runs := map[string][]server.Run{}
			for _, s := range l {
				runs[s.Server.ID] = append(runs[s.Server.ID], listedRun(s, i+1))
			}
			for _, n := range []string{"a", "b"} {
				w.reportRuns(n, runs[n]...)
			}
		}
		w.collectOrders()
		gomega.Expect(w.takeStops()).To(gomega.BeEmpty())
	})

	ginkgo.It("stops a straggler once and lets the next run finish, since the task itself may be long", func() {
		w.submit(newRecord(1, 5, func(s *schema.StepRecord) { s.AntiAffinity = 4 }))
		open := map[job.Task]scheduler.StartOrder{}
		began := map[job.Task]time.Time{}
		stops := 0
		for range 90 {
			for _, s := range w.acceptStarts() {
				open[s.Task], began[s.Task] = s, w.now
			}
			runs, ends := map[string][]server.Run{}, map[string][]server.EndedRun{}
			finish := func(s scheduler.StartOrder, reason job.EndReason) {
				n := s.Server.ID
				w.endSequences[n]++
				ends[n] = append(ends[n], server.EndedRun{Sequence: w.endSequences[n], Task: s.Task, Number: s.Number, Reason: reason})
				delete(open, s.Task)
			}
			for _, x := range w.takeStops() {
				stops++
				finish(open[x.Task], job.EndStopped)
			}
			for k, s := range open {
				percent := int(w.now.Sub(began[k]).Milliseconds() / 10)
				if k.Index == 0 {
					percent /= 6
				}
				if percent >= 100 {
					finish(s, job.EndDone)
					continue
				}
				runs[s.Server.ID] = append(runs[s.Server.ID], listedRun(s, percent))
			}
			for _, n := range []string{"a", "b"} {
				w.reportListing(n, ends[n], runs[n]...)
			}
			w.advance(100 * time.Millisecond)
		}
		gomega.Expect(stops).To(gomega.BeNumerically("<=", 1))
		gomega.Expect(w.JobPhase(newRecord(1, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("counts a failed run of a speculative task that was restarted elsewhere meanwhile", func() {
		w.submit(newRecord(1, 1, func(s *schema.StepRecord) { s.Speculative = true }))
		for range 3 {
			s := w.acceptStarts()[0]
			w.reportRuns(s.Server.ID, listedRun(s, 10))
			w.ServerUnreachable(s.Server.ID, start, w.now, "timeout")
			for range 6 {
				w.advance(200 * time.Millisecond)
				w.reportRuns(otherServer(s.Server.ID))
			}
			w.commit()
			w.reportEnd(s.Server.ID, s.Task, s.Number, job.EndFailed)
			w.commit()
		}
		gomega.Expect(w.JobPhase(newRecord(1, 1).Id).Phase).To(gomega.Equal(job.Failed))
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1), "the run that began before the last failure was known")
		gomega.Expect(w.takeStops()).NotTo(gomega.BeEmpty())
	})

	ginkgo.It("stops using a server on which every run fails", func() {
		failed := 0
		for i := range 10 {
			w.submit(newRecord(i+1, 1))
			for l := w.acceptStarts(); len(l) > 0; l = w.acceptStarts() {
				reason := job.EndDone
				if l[0].Server.ID == "a" {
					reason = job.EndFailed
					failed++
				}
				w.reportEnd(l[0].Server.ID, l[0].Task, l[0].Number, reason)
				w.commit()
			}
		}
		gomega.Expect(failed).To(gomega.Equal(1))
	})

	ginkgo.It("keeps the runs of a new server incarnation when the termination of an earlier one is reported late", func() {
		w.ServerTerminated("", start, w.now)
		w.submit(newRecord(1, 1))
		l := w.acceptStarts()
		gomega.Expect(l).To(gomega.HaveLen(1))
		w.ServerTerminated("life-before", start, w.now)
		w.ServerTerminated(l[0].Server.ID, start.Add(-time.Second), w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty(), "the run continues")
	})
})

func otherServer(name string) string {
	if name == "a" {
		return "b"
	}
	return "a"
}

const (
	// requestedLease is the lease that an owner requests within the bounds, slowLease the time until it has expired on a
	// server whose clock runs 2% slow.
	requestedLease = 4980 * time.Millisecond
	slowLease      = requestedLease * 100 / 98
)

// Guards against restarting a run before its lease has expired, or much later, when the new owner knows the run only
// from the store: its server becomes unreachable for good, then the owner is lost.
var _ = ginkgo.DescribeTable("a previous owner's run on an unreachable server restarts elsewhere once its lease has expired",
	func(after time.Duration, prepare func(w *harness)) {
		w := newHarness()
		prepare(w)
		w.Restore(newRecord(1, 1, longRunning), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, w.now)
		began := time.Duration(0)
		for ; began < 20*time.Second && len(w.acceptStarts()) == 0; began += 100 * time.Millisecond {
			w.now = start.Add(began)
			w.addServers("b")
			w.Tick(w.now)
			w.commit()
		}
		gomega.Expect(w.now.Sub(start)).To(gomega.BeNumerically(">=", after))
		gomega.Expect(w.now.Sub(start)).To(gomega.BeNumerically("<=", after+250*time.Millisecond))
	},
	ginkgo.Entry("when another entry may still renew it", scheduler.MaxUnconfirmedRenewal+slowLease, func(*harness) {}),
	ginkgo.Entry("when the previous owner has ended", slowLease, func(w *harness) {
		w.SetPredecessor(scheduler.Predecessor{Lease: requestedLease})
	}),
	ginkgo.Entry("when another entry may still renew it, but lost the ownership long before", scheduler.MaxUnconfirmedRenewal+slowLease-2*time.Second,
		func(w *harness) {
			w.SetPredecessor(scheduler.Predecessor{
				Lease: requestedLease, Renewal: scheduler.MaxUnconfirmedRenewal, LostAt: start.Add(-2 * time.Second),
			})
		}),
	ginkgo.Entry("when an earlier owner may renew it for longer than the last one", 9*time.Second, func(w *harness) {
		w.SetPredecessor(scheduler.Predecessor{Lease: requestedLease, Remaining: 9 * time.Second})
	}),
	ginkgo.Entry("when the last owner recorded its expiry", 1200*time.Millisecond, func(w *harness) {
		w.RestoreLeases(&schema.LeaseRecord{Servers: []*schema.ServerLease{{Server: "a", BornMs: start.UnixMilli(), RemainingMs: 1200}}})
	}))

// Each owner of a chain that was replaced before the wait for a server's lease was over began that wait anew: a task of a
// server that was lost before the first of two takeovers ran again 21 s after its loss.
var _ = ginkgo.Describe("a server lost before the first of two takeovers", func() {
	progress := &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}
	// takeOver returns an owner that takes over at the time now and knows the previous lease record.
	takeOver := func(m *schema.LeaseRecord, now time.Time) *harness {
		w := &harness{Scheduler: scheduler.New(bounds, now), now: now, endSequences: map[string]uint64{}}
		w.SetTable(table)
		w.RestoreLeases(m)
		w.Restore(newRecord(1, 1, longRunning), progress, now)
		return w
	}

	ginkgo.It("does not start the wait for its lease anew with the second", func() {
		w := takeOver(nil, start)
		var m *schema.LeaseRecord
		for range 30 {
			w.now = w.now.Add(100 * time.Millisecond)
			w.addServers("b")
			w.Tick(w.now)
			if b := w.NextBatch(batchLimit, w.now); b != nil {
				w.BatchCommitted(b, w.now)
				if b.Leases != nil {
					m = b.Leases
				}
			}
		}
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w = takeOver(m, w.now.Add(1500*time.Millisecond))
		for len(w.acceptStarts()) == 0 && w.now.Before(start.Add(20*time.Second)) {
			w.now = w.now.Add(100 * time.Millisecond)
			w.addServers("b")
			w.Tick(w.now)
			w.commit()
		}
		last := scheduler.MaxUnconfirmedRenewal + slowLease
		gomega.Expect(w.now.Sub(start)).To(gomega.BeNumerically(">=", last))
		gomega.Expect(w.now.Sub(start)).To(gomega.BeNumerically("<=", last+2250*time.Millisecond),
			"the record is up to half a second old, and the second owner does not know that it was stored 1.5 s before the takeover")
	})
})

// The next owner restarts the runs of a recorded server when its lease has expired. An owner that renews the lease once the
// server answers again, without having stored that, would make it run a task twice.
var _ = ginkgo.Describe("the lease record", func() {
	var w *harness
	var l []scheduler.StartOrder
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a")
		w.submit(newRecord(1, 1, longRunning))
		l = w.acceptStarts()
		w.reportRuns("a", listedRun(l[0], 100))
		w.reportRuns("a", listedRun(l[0], 100))
	})

	silence := func(d time.Duration) *schema.LeaseRecord {
		var m *schema.LeaseRecord
		w.ServerUnreachable("a", start, w.now, "cut")
		for until := w.now.Add(d); w.now.Before(until); {
			w.now = w.now.Add(100 * time.Millisecond)
			w.Tick(w.now)
			for b := w.NextBatch(batchLimit, w.now); b != nil; b = w.NextBatch(batchLimit, w.now) {
				if b.Leases != nil {
					m = b.Leases
				}
				w.BatchCommitted(b, w.now)
			}
		}
		return m
	}

	ginkgo.It("lists an unreachable server with runs until it answers", func() {
		m := silence(time.Second)
		gomega.Expect(m.GetServers()).To(gomega.HaveLen(1))
		left := time.Duration(m.Servers[0].RemainingMs) * time.Millisecond
		gomega.Expect(left).To(gomega.BeNumerically("~", 4300*time.Millisecond, 400*time.Millisecond), "renewed for 4.98 s, 0.6 to 1 s ago")
		w.reportRuns("a", listedRun(l[0], 100))
		b := w.NextBatch(batchLimit, w.now)
		gomega.Expect(b.Leases.GetServers()).To(gomega.BeEmpty())
	})

	ginkgo.It("lists a server at once that has answered before", func() {
		gomega.Expect(silence(100 * time.Millisecond).GetServers()).To(gomega.HaveLen(1))
	})

	ginkgo.It("leaves out a server that has not answered this owner yet for less than the delay", func() {
		x := newHarness()
		x.Restore(newRecord(1, 1, longRunning), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, x.now)
		x.now = x.now.Add(300 * time.Millisecond)
		x.Tick(x.now)
		gomega.Expect(x.NextBatch(batchLimit, x.now)).To(gomega.BeNil())
		x.now = x.now.Add(300 * time.Millisecond)
		x.Tick(x.now)
		gomega.Expect(x.NextBatch(batchLimit, x.now).Leases.GetServers()).To(gomega.HaveLen(1))
	})

	ginkgo.It("is stored without a server before the server's lease is renewed or it gets new runs", func() {
		silence(time.Second)
		w.ListingReceived("a", server.Listing{StartedAt: start, Clock: w.clock(), Runs: []server.Run{listedRun(l[0], 100)}}, w.now)
		h, _ := w.PreparePoll("a", w.now)
		gomega.Expect(h.LeaseUntil).To(gomega.BeZero())
		b := w.NextBatch(batchLimit, w.now)
		h, _ = w.PreparePoll("a", w.now)
		gomega.Expect(h.LeaseUntil).To(gomega.BeZero(), "the batch is not known to be stored")
		w.Submit(newRecord(2, 1), w.now, func(scheduler.Reply) {})
		w.Plan(w.now)
		w.collectOrders()
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty())
		w.BatchCommitted(b, w.now)
		h, _ = w.PreparePoll("a", w.now)
		gomega.Expect(h.LeaseUntil).To(gomega.BeNumerically(">", w.clock()))
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("of the previous owner keeps its servers' leases from being renewed", func() {
		x := newHarness()
		x.RestoreLeases(silence(time.Second))
		x.Register(newServer("a"), x.now)
		x.ListingReceived("a", server.Listing{StartedAt: start, Clock: x.clock()}, x.now)
		h, _ := x.PreparePoll("a", x.now)
		gomega.Expect(h.LeaseUntil).To(gomega.BeZero())
		x.commit()
		h, _ = x.PreparePoll("a", x.now)
		gomega.Expect(h.LeaseUntil).To(gomega.BeNumerically(">", 0))
	})
})

var _ = ginkgo.Describe("a takeover", func() {
	var (
		w *harness
		m = newRecord(1, 1)
		p = &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 3, Server: "a", BornMs: start.UnixMilli()}}}
		k = job.Task{Job: m.Id}
	)
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.Restore(m, p, w.now)
	})

	ginkgo.It("continues a run that the server lists", func() {
		w.Register(newServer("a"), w.now)
		w.reportRuns("a", server.Run{Task: k, Number: 3, Percent: 50})
		w.addServers("b")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.reportEnd("a", k, 3, job.EndDone)
		w.commit()
		gomega.Expect(w.JobPhase(m.Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("restarts a run that the server does not list, with a higher number", func() {
		w.addServers("a", "b")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.ConsistOf(gomega.HaveField("Number", 4)))
	})

	ginkgo.It("waits for an unreachable server until no previous owner can have renewed its lease", func() {
		w.addServers("b")
		w.advance(scheduler.MaxUnconfirmedRenewal + requestedLease)
		w.reportRuns("b")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.advance(500 * time.Millisecond)
		w.reportRuns("b")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	// The run was attached to the earlier incarnation and started a second time once the later one registered.
	ginkgo.It("continues a run on a server whose earlier incarnation is in the lease record", func() {
		x := newHarness()
		x.RestoreLeases(&schema.LeaseRecord{Servers: []*schema.ServerLease{
			{Server: "a", BornMs: start.Add(-time.Minute).UnixMilli(), RemainingMs: 100},
		}})
		x.Restore(m, p, x.now)
		x.addServers("b")
		x.advance(time.Second)
		x.reportRuns("b")
		x.commit()
		x.Register(newServer("a"), x.now)
		x.reportRuns("b")
		x.commit()
		gomega.Expect(x.acceptStarts()).To(gomega.BeEmpty())
	})

	ginkgo.It("completes a job whose tasks are all stored as done", func() {
		x := newHarness()
		x.Restore(newRecord(2, 1), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Done: true}}}, x.now)
		x.commit()
		gomega.Expect(x.JobPhase(newRecord(2, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("restores the learned estimates", func() {
		x := newHarness()
		x.RestoreLearning([]*schema.QueueLearning{{Queue: "plans", Ratio: 2, Samples: 30, Fast: 5, Slow: 4, Work: 10, Jobs: 50, AtMs: x.now.UnixMilli()}}, x.now)
		gomega.Expect(x.PoolNeeds(x.now)["carving"].Cores).To(gomega.BeNumerically(">", 100))
	})
})

var _ = ginkgo.Describe("an unavailable store", func() {
	ginkgo.It("refuses the jobs that no transaction has included and leaves the others unanswered", func() {
		w := newHarness()
		w.addServers("a")
		replies := map[int]scheduler.Reply{}
		w.Submit(newRecord(1, 1), w.now, func(r scheduler.Reply) { replies[1] = r })
		w.NextBatch(batchLimit, w.now)
		w.Submit(newRecord(2, 1), w.now, func(r scheduler.Reply) { replies[2] = r })
		w.RefuseUnsent("the store is unavailable", 2*time.Second, w.now)
		gomega.Expect(replies).To(gomega.HaveLen(1))
		gomega.Expect(replies[2].Result).To(gomega.Equal(scheduler.Refused))
		gomega.Expect(w.NextBatch(batchLimit, w.now)).To(gomega.BeNil())
	})
	// The step of the refused job was placed as well as that of the job that was sent again.
	ginkgo.It("runs a task once if its job is refused and sent again before the next pass", func() {
		w := newHarness()
		w.addServers("a", "b")
		w.commit()
		discard := func(scheduler.Reply) {}
		w.Submit(newRecord(1, 1), w.now, discard)
		w.RefuseUnsent("the store is unavailable", 2*time.Second, w.now)
		w.submit(newRecord(1, 1))
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
		gomega.Expect(w.ServerLoad("a", w.now).Runs + w.ServerLoad("b", w.now).Runs).To(gomega.Equal(1))
	})
})
