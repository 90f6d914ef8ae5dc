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

var _ = ginkgo.Describe("what servers say", func() {
	var w *harness
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a", "b")
	})

	ginkgo.It("settles a start without an answer: gone once its order has lapsed and it is not listed", func() {
		w.submit(newRecord(1, 1))
		s := w.orders.Starts[0]
		w.orders.Starts = nil
		w.Answered(s, scheduler.NoAnswer, 0, w.now)
		w.advance(500 * time.Millisecond)
		w.reportRuns(s.Server.ID)
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty(), "the order may still be carried out")
		w.advance(time.Second)
		w.reportRuns("a")
		w.reportRuns("b")
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.HaveLen(1))
		gomega.Expect(w.orders.Starts[0].Number).To(gomega.Equal(2))
	})

	ginkgo.It("ignores a listing that is older than the answer to a start", func() {
		w.submit(newRecord(1, 1))
		old := server.Listing{Born: start, Clock: w.clock()}
		w.now = w.now.Add(50 * time.Millisecond)
		s := w.acceptStarts()[0]
		w.Listed(s.Server.ID, old, w.now)
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty())
	})

	ginkgo.It("waits until the lease of a silent server has surely lapsed", func() {
		w.advance(1500 * time.Millisecond)
		w.addServers("a", "b")
		w.submit(newRecord(1, 1))
		s := w.acceptStarts()[0]
		w.reportRuns(s.Server.ID, listedRun(s, 10))
		w.Unreachable(s.Server.ID, start, w.now, "cut")
		for range 4 {
			w.advance(time.Second)
			w.reportRuns(other(s.Server.ID))
			w.commit()
		}
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		for range 2 {
			w.advance(time.Second)
			w.reportRuns(other(s.Server.ID))
			w.commit()
		}
		next := w.acceptStarts()
		gomega.Expect(next).To(gomega.HaveLen(1))
		gomega.Expect(next[0].Server.ID).To(gomega.Equal(other(s.Server.ID)))
	})

	ginkgo.It("counts with the lease that an earlier owner may have given before the first look", func() {
		x := newHarness()
		x.Register(newServer("a"), x.now)
		x.Listed("a", server.Listing{Born: start, Clock: x.clock()}, x.now)
		x.submit(newRecord(1, 1))
		s := x.acceptStarts()[0]
		x.Unreachable("a", start, x.now, "cut")
		x.addServers("b")
		x.advance(2 * time.Second)
		x.reportRuns("b")
		x.advance(100 * time.Millisecond)
		gomega.Expect(x.acceptStarts()).To(gomega.BeEmpty(), "run %d may go on for six seconds", s.Number)
	})

	ginkgo.It("keeps the runs of a draining server that is silent and no longer registered, until their lease has lapsed", func() {
		w.submit(newRecord(1, 1))
		s := w.acceptStarts()[0]
		w.reportRuns(s.Server.ID, listedRun(s, 10))
		v := newServer(s.Server.ID)
		v.Draining = true
		w.Register(v, w.now)
		w.Unreachable(v.ID, start, w.now, "cut")
		w.Unregister(v.ID, w.now)
		w.reportRuns(other(v.ID))
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
	})

	ginkgo.It("does not hold a silent server's runs any longer", func() {
		w.Unreachable("a", start, w.now, "cut")
		h, _ := w.Hold("a", w.now)
		gomega.Expect(h.Until).To(gomega.BeZero())
	})

	ginkgo.It("runs the tasks of a server that was born again elsewhere at once", func() {
		w.submit(newRecord(1, 1))
		s := w.acceptStarts()[0]
		v := newServer(s.Server.ID)
		v.Born = start.Add(time.Second)
		w.Register(v, w.now)
		w.reportRuns(other(s.Server.ID))
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("stops a run that is not assigned to the server", func() {
		k := job.Task{Job: "00000000000000aa"}
		w.reportRuns("a", server.Run{Task: k, Number: 4})
		w.collectOrders()
		gomega.Expect(w.takeStops()).To(gomega.ConsistOf(gomega.HaveField("Number", 4)))
	})

	ginkgo.It("runs a task elsewhere that stands still, while others of its step go on", func() {
		w.submit(newRecord(1, 1))
		s := w.acceptStarts()[0]
		for range 20 {
			w.advance(100 * time.Millisecond)
			w.reportRuns(s.Server.ID, listedRun(s, 30))
			w.reportRuns(other(s.Server.ID))
		}
		w.collectOrders()
		gomega.Expect(w.takeStops()).NotTo(gomega.BeEmpty())
		w.reportEnd(s.Server.ID, s.Task, 1, job.EndStopped)
		w.commit()
		gomega.Expect(w.acceptStarts()[0].Server.ID).To(gomega.Equal(other(s.Server.ID)))
	})

	ginkgo.It("does not take a task for a straggler because its estimate is too low", func() {
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

	ginkgo.It("gives up a straggler once and lets its next run finish, since the task itself may be long", func() {
		w.submit(newRecord(1, 5, func(s *schema.StepRecord) { s.AntiAffinity = 4 }))
		open := map[job.Task]scheduler.StartOrder{}
		began := map[job.Task]time.Time{}
		given := 0
		for range 90 {
			for _, s := range w.acceptStarts() {
				open[s.Task], began[s.Task] = s, w.now
			}
			runs, ends := map[string][]server.Run{}, map[string][]server.End{}
			over := func(s scheduler.StartOrder, how job.End) {
				n := s.Server.ID
				w.endSequences[n]++
				ends[n] = append(ends[n], server.End{Sequence: w.endSequences[n], Task: s.Task, Number: s.Number, How: how})
				delete(open, s.Task)
			}
			for _, x := range w.takeStops() {
				given++
				over(open[x.Task], job.EndStopped)
			}
			for k, s := range open {
				percent := int(w.now.Sub(began[k]).Milliseconds() / 10)
				if k.Index == 0 {
					percent /= 6
				}
				if percent >= 100 {
					over(s, job.EndDone)
					continue
				}
				runs[s.Server.ID] = append(runs[s.Server.ID], listedRun(s, percent))
			}
			for _, n := range []string{"a", "b"} {
				w.reportListing(n, ends[n], runs[n]...)
			}
			w.advance(100 * time.Millisecond)
		}
		gomega.Expect(given).To(gomega.BeNumerically("<=", 1))
		gomega.Expect(w.State(newRecord(1, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("leaves a server alone that fails all it starts", func() {
		failed := 0
		for i := range 10 {
			w.submit(newRecord(i+1, 1))
			for l := w.acceptStarts(); len(l) > 0; l = w.acceptStarts() {
				how := job.EndDone
				if l[0].Server.ID == "a" {
					how = job.EndFailed
					failed++
				}
				w.reportEnd(l[0].Server.ID, l[0].Task, l[0].Number, how)
				w.commit()
			}
		}
		gomega.Expect(failed).To(gomega.Equal(3))
	})

	ginkgo.It("does not end a VM's next life when the order to move it is answered late", func() {
		w.TakenDown("", w.now)
		w.submit(newRecord(1, 1))
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
		w.TakenDown("life-before", w.now)
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty(), "the run goes on")
	})
})

func other(name string) string {
	if name == "a" {
		return "b"
	}
	return "a"
}

// A server falls silent for good, then the owner is killed and starts again at once.
var _ = ginkgo.DescribeTable("what an earlier owner left on a silent server runs elsewhere once its lease has lapsed",
	func(after time.Duration, l ...scheduler.Option) {
		w := &harness{Scheduler: scheduler.New(bounds, start, l...), now: start, endSequences: map[string]uint64{}}
		w.SetTable(table)
		w.Restore(newRecord(1, 1, longRunning), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Server: "a", BornMs: start.UnixMilli()}}}, w.now)
		began := time.Duration(0)
		for ; began < 20*time.Second && len(w.acceptStarts()) == 0; began += 100 * time.Millisecond {
			w.now = start.Add(began)
			w.addServers("b")
			w.Tick(w.now)
			w.commit()
		}
		gomega.Expect(began).To(gomega.BeNumerically("~", after, 250*time.Millisecond))
	},
	ginkgo.Entry("that another entry may still hold", 11240*time.Millisecond),
	ginkgo.Entry("that only an ended process has held", 6240*time.Millisecond, scheduler.WithEndedPredecessor()))

var _ = ginkgo.Describe("an owner that takes over", func() {
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

	ginkgo.It("goes on with a run that the server lists", func() {
		w.Register(newServer("a"), w.now)
		w.reportRuns("a", server.Run{Task: k, Number: 3, Percent: 50})
		w.addServers("b")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.reportEnd("a", k, 3, job.EndDone)
		w.commit()
		gomega.Expect(w.State(m.Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("starts a run anew that the server does not list, with a higher number", func() {
		w.addServers("a", "b")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.ConsistOf(gomega.HaveField("Number", 4)))
	})

	ginkgo.It("waits for a server that it does not reach until no earlier owner can hold it", func() {
		w.addServers("b")
		w.advance(10 * time.Second)
		w.reportRuns("b")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.BeEmpty())
		w.advance(1500 * time.Millisecond)
		w.reportRuns("b")
		w.commit()
		gomega.Expect(w.acceptStarts()).To(gomega.HaveLen(1))
	})

	ginkgo.It("completes a job of which all tasks are stored as done", func() {
		x := newHarness()
		x.Restore(newRecord(2, 1), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Done: true}}}, x.now)
		x.commit()
		gomega.Expect(x.State(newRecord(2, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("keeps what was learned", func() {
		x := newHarness()
		x.RestoreLearning([]*schema.QueueLearning{{Queue: "plans", Ratio: 2, Samples: 30, Fast: 5, Slow: 4, Work: 10, Jobs: 50, AtMs: x.now.UnixMilli()}}, x.now)
		gomega.Expect(x.Needs(x.now)["carving"].Cores).To(gomega.BeNumerically(">", 100))
	})
})

var _ = ginkgo.Describe("the store away", func() {
	ginkgo.It("refuses the jobs that no transaction has carried and leaves the others unsettled", func() {
		w := newHarness()
		w.addServers("a")
		replies := map[int]scheduler.Reply{}
		w.Submit(newRecord(1, 1), w.now, func(r scheduler.Reply) { replies[1] = r })
		w.Next(batchLimit, w.now)
		w.Submit(newRecord(2, 1), w.now, func(r scheduler.Reply) { replies[2] = r })
		w.Withdraw("the store is away", 2*time.Second, w.now)
		gomega.Expect(replies).To(gomega.HaveLen(1))
		gomega.Expect(replies[2].Result).To(gomega.Equal(scheduler.Refused))
		gomega.Expect(w.Next(batchLimit, w.now)).To(gomega.BeNil())
	})
})
