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
	var w *world
	ginkgo.BeforeEach(func() {
		w = newWorld()
		w.serve("a", "b")
	})

	ginkgo.It("restarts a task after an unanswered start once the order has expired and the run is not listed", func() {
		w.submit(record(1, 1))
		s := w.orders.Starts[0]
		w.orders.Starts = nil
		w.StartAnswered(s, scheduler.NoAnswer, 0, w.now)
		w.pass(500 * time.Millisecond)
		w.list(s.Server.ID)
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty(), "the start order has not expired")
		w.pass(time.Second)
		w.list("a")
		w.list("b")
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.HaveLen(1))
		gomega.Expect(w.orders.Starts[0].Number).To(gomega.Equal(2))
	})

	ginkgo.It("does not drop a run because of a listing that is older than the answer to its start", func() {
		w.submit(record(1, 1))
		old := server.Listing{Born: start, Clock: w.clock()}
		w.now = w.now.Add(50 * time.Millisecond)
		s := w.started()[0]
		w.ListingReceived(s.Server.ID, old, w.now)
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty())
	})

	ginkgo.It("waits until the lease of an unreachable server has surely expired", func() {
		w.pass(1500 * time.Millisecond)
		w.serve("a", "b")
		w.submit(record(1, 1))
		s := w.started()[0]
		w.list(s.Server.ID, running(s, 10))
		w.ServerUnreachable(s.Server.ID, start, w.now, "timeout")
		for range 4 {
			w.pass(time.Second)
			w.list(otherServer(s.Server.ID))
			w.commit()
		}
		gomega.Expect(w.started()).To(gomega.BeEmpty())
		for range 2 {
			w.pass(time.Second)
			w.list(otherServer(s.Server.ID))
			w.commit()
		}
		next := w.started()
		gomega.Expect(next).To(gomega.HaveLen(1))
		gomega.Expect(next[0].Server.ID).To(gomega.Equal(otherServer(s.Server.ID)))
	})

	ginkgo.It("allows for the lease that a previous owner may have renewed just before the first listing", func() {
		x := newWorld()
		x.Register(sample("a"), x.now)
		x.ListingReceived("a", server.Listing{Born: start, Clock: x.clock()}, x.now)
		x.submit(record(1, 1))
		s := x.started()[0]
		x.ServerUnreachable("a", start, x.now, "timeout")
		x.serve("b")
		x.pass(2 * time.Second)
		x.list("b")
		x.pass(100 * time.Millisecond)
		gomega.Expect(x.started()).To(gomega.BeEmpty(), "run %d may continue for six seconds", s.Number)
	})

	ginkgo.It("keeps the runs of a draining server that is unreachable and unregistered until their lease has expired", func() {
		w.submit(record(1, 1))
		s := w.started()[0]
		w.list(s.Server.ID, running(s, 10))
		v := sample(s.Server.ID)
		v.Draining = true
		w.Register(v, w.now)
		w.ServerUnreachable(v.ID, start, w.now, "timeout")
		w.Unregister(v.ID, w.now)
		w.list(otherServer(v.ID))
		w.commit()
		gomega.Expect(w.started()).To(gomega.BeEmpty())
	})

	ginkgo.It("does not renew the lease of an unreachable server", func() {
		w.ServerUnreachable("a", start, w.now, "timeout")
		h, _ := w.RenewLease("a", w.now)
		gomega.Expect(h.LeaseUntil).To(gomega.BeZero())
	})

	ginkgo.It("restarts the tasks of a restarted server at once", func() {
		w.submit(record(1, 1))
		s := w.started()[0]
		v := sample(s.Server.ID)
		v.Born = start.Add(time.Second)
		w.Register(v, w.now)
		w.list(otherServer(s.Server.ID))
		w.commit()
		gomega.Expect(w.started()).To(gomega.HaveLen(1))
	})

	ginkgo.It("stops a run that is not assigned to the server", func() {
		k := job.Task{Job: "00000000000000aa"}
		w.list("a", server.Run{Task: k, Number: 4})
		w.take()
		gomega.Expect(w.stopped()).To(gomega.ConsistOf(gomega.HaveField("Number", 4)))
	})

	ginkgo.It("stops a run without progress and restarts its task elsewhere", func() {
		w.submit(record(1, 1))
		s := w.started()[0]
		for range 20 {
			w.pass(100 * time.Millisecond)
			w.list(s.Server.ID, running(s, 30))
			w.list(otherServer(s.Server.ID))
		}
		w.take()
		gomega.Expect(w.stopped()).NotTo(gomega.BeEmpty())
		w.end(s.Server.ID, s.Task, 1, job.EndStopped)
		w.commit()
		gomega.Expect(w.started()[0].Server.ID).To(gomega.Equal(otherServer(s.Server.ID)))
	})

	ginkgo.It("does not treat tasks as stragglers because their estimate is too low", func() {
		w.submit(record(1, 4))
		l := w.started()
		for i := range 15 {
			w.pass(100 * time.Millisecond)
			runs := map[string][]server.Run{}
			for _, s := range l {
				runs[s.Server.ID] = append(runs[s.Server.ID], running(s, i+1))
			}
			for _, n := range []string{"a", "b"} {
				w.list(n, runs[n]...)
			}
		}
		w.take()
		gomega.Expect(w.stopped()).To(gomega.BeEmpty())
	})

	ginkgo.It("stops a straggler once and lets the next run finish, since the task itself may be long", func() {
		w.submit(record(1, 5, func(s *schema.StepRecord) { s.AntiAffinity = 4 }))
		open := map[job.Task]scheduler.Start{}
		began := map[job.Task]time.Time{}
		stops := 0
		for range 90 {
			for _, s := range w.started() {
				open[s.Task], began[s.Task] = s, w.now
			}
			runs, ends := map[string][]server.Run{}, map[string][]server.End{}
			finish := func(s scheduler.Start, how job.End) {
				n := s.Server.ID
				w.seqs[n]++
				ends[n] = append(ends[n], server.End{Sequence: w.seqs[n], Task: s.Task, Number: s.Number, How: how})
				delete(open, s.Task)
			}
			for _, x := range w.stopped() {
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
				runs[s.Server.ID] = append(runs[s.Server.ID], running(s, percent))
			}
			for _, n := range []string{"a", "b"} {
				w.listEnds(n, ends[n], runs[n]...)
			}
			w.pass(100 * time.Millisecond)
		}
		gomega.Expect(stops).To(gomega.BeNumerically("<=", 1))
		gomega.Expect(w.JobPhase(record(1, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("stops using a server on which every run fails", func() {
		failed := 0
		for i := range 10 {
			w.submit(record(i+1, 1))
			for l := w.started(); len(l) > 0; l = w.started() {
				how := job.EndDone
				if l[0].Server.ID == "a" {
					how = job.EndFailed
					failed++
				}
				w.end(l[0].Server.ID, l[0].Task, l[0].Number, how)
				w.commit()
			}
		}
		gomega.Expect(failed).To(gomega.Equal(3))
	})

	ginkgo.It("keeps the runs of a new server incarnation when the termination of an earlier one is reported late", func() {
		w.ServerTerminated("", w.now)
		w.submit(record(1, 1))
		gomega.Expect(w.started()).To(gomega.HaveLen(1))
		w.ServerTerminated("life-before", w.now)
		w.commit()
		gomega.Expect(w.started()).To(gomega.BeEmpty(), "the run continues")
	})
})

func otherServer(name string) string {
	if name == "a" {
		return "b"
	}
	return "a"
}

// Guards against restarting a run before its lease has expired, or much later, when the new owner knows the run only
// from the store: its server becomes unreachable for good, then the owner is killed and restarts at once.
var _ = ginkgo.DescribeTable("a previous owner's run on an unreachable server restarts elsewhere once its lease has expired",
	func(after time.Duration, l ...scheduler.Option) {
		w := &world{Scheduler: scheduler.New(bounds, start, l...), now: start, seqs: map[string]uint64{}}
		w.SetTable(table)
		w.Restore(record(1, 1, lasting), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, w.now)
		began := time.Duration(0)
		for ; began < 20*time.Second && len(w.started()) == 0; began += 100 * time.Millisecond {
			w.now = start.Add(began)
			w.serve("b")
			w.Tick(w.now)
			w.commit()
		}
		gomega.Expect(began).To(gomega.BeNumerically("~", after, 250*time.Millisecond))
	},
	ginkgo.Entry("when another entry may still renew it", 11240*time.Millisecond),
	ginkgo.Entry("when the previous owner's process has ended", 6240*time.Millisecond, scheduler.WithPreviousOwnerEnded()))

var _ = ginkgo.Describe("a takeover", func() {
	var (
		w *world
		m = record(1, 1)
		p = &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 3, Server: "a", BornMs: start.UnixMilli()}}}
		k = job.Task{Job: m.Id}
	)
	ginkgo.BeforeEach(func() {
		w = newWorld()
		w.Restore(m, p, w.now)
	})

	ginkgo.It("continues a run that the server lists", func() {
		w.Register(sample("a"), w.now)
		w.list("a", server.Run{Task: k, Number: 3, Percent: 50})
		w.serve("b")
		w.commit()
		gomega.Expect(w.started()).To(gomega.BeEmpty())
		w.end("a", k, 3, job.EndDone)
		w.commit()
		gomega.Expect(w.JobPhase(m.Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("restarts a run that the server does not list, with a higher number", func() {
		w.serve("a", "b")
		w.commit()
		gomega.Expect(w.started()).To(gomega.ConsistOf(gomega.HaveField("Number", 4)))
	})

	ginkgo.It("waits for an unreachable server until no previous owner can have renewed its lease", func() {
		w.serve("b")
		w.pass(10 * time.Second)
		w.list("b")
		w.commit()
		gomega.Expect(w.started()).To(gomega.BeEmpty())
		w.pass(1500 * time.Millisecond)
		w.list("b")
		w.commit()
		gomega.Expect(w.started()).To(gomega.HaveLen(1))
	})

	ginkgo.It("completes a job whose tasks are all stored as done", func() {
		x := newWorld()
		x.Restore(record(2, 1), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Done: true}}}, x.now)
		x.commit()
		gomega.Expect(x.JobPhase(record(2, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("restores the learned estimates", func() {
		x := newWorld()
		x.RestoreLearning([]*schema.QueueLearning{{Queue: "plans", Ratio: 2, Samples: 30, Fast: 5, Slow: 4, Work: 10, Jobs: 50, AtMs: x.now.UnixMilli()}}, x.now)
		gomega.Expect(x.PoolNeeds(x.now)["carving"].Cores).To(gomega.BeNumerically(">", 100))
	})
})

var _ = ginkgo.Describe("an unavailable store", func() {
	ginkgo.It("refuses the jobs that no transaction has included and leaves the others unanswered", func() {
		w := newWorld()
		w.serve("a")
		replies := map[int]scheduler.Reply{}
		w.Submit(record(1, 1), w.now, func(r scheduler.Reply) { replies[1] = r })
		w.NextBatch(most, w.now)
		w.Submit(record(2, 1), w.now, func(r scheduler.Reply) { replies[2] = r })
		w.RefuseUnsent("the store is unavailable", 2*time.Second, w.now)
		gomega.Expect(replies).To(gomega.HaveLen(1))
		gomega.Expect(replies[2].Result).To(gomega.Equal(scheduler.Refused))
		gomega.Expect(w.NextBatch(most, w.now)).To(gomega.BeNil())
	})
})
