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
	var w *world
	ginkgo.BeforeEach(func() {
		w = newWorld()
		w.serve("a", "b")
	})

	ginkgo.It("settles a start without an answer: gone once its order has lapsed and it is not listed", func() {
		w.submit(record(1, 1))
		s := w.orders.Starts[0]
		w.orders.Starts = nil
		w.Answered(s, scheduler.NoAnswer, 0, w.now)
		w.pass(500 * time.Millisecond)
		w.list(s.Server.ID)
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty(), "the order may still be carried out")
		w.pass(time.Second)
		w.list("a")
		w.list("b")
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.HaveLen(1))
		gomega.Expect(w.orders.Starts[0].Number).To(gomega.Equal(2))
	})

	ginkgo.It("ignores a listing that is older than the answer to a start", func() {
		w.submit(record(1, 1))
		old := server.Report{StartedAt: start, Clock: w.clock()}
		w.now = w.now.Add(50 * time.Millisecond)
		s := w.started()[0]
		w.Listed(s.Server.ID, old, w.now)
		w.commit()
		gomega.Expect(w.orders.Starts).To(gomega.BeEmpty())
	})

	ginkgo.It("waits until the lease of a silent server has surely lapsed", func() {
		w.pass(1500 * time.Millisecond)
		w.serve("a", "b")
		w.submit(record(1, 1))
		s := w.started()[0]
		w.list(s.Server.ID, running(s, 10))
		w.Unreachable(s.Server.ID, start, w.now, "cut")
		for range 4 {
			w.pass(time.Second)
			w.list(other(s.Server.ID))
			w.commit()
		}
		gomega.Expect(w.started()).To(gomega.BeEmpty())
		for range 2 {
			w.pass(time.Second)
			w.list(other(s.Server.ID))
			w.commit()
		}
		next := w.started()
		gomega.Expect(next).To(gomega.HaveLen(1))
		gomega.Expect(next[0].Server.ID).To(gomega.Equal(other(s.Server.ID)))
	})

	ginkgo.It("counts with the lease that an earlier owner may have given before the first look", func() {
		x := newWorld()
		x.Register(sample("a"), x.now)
		x.Listed("a", server.Report{StartedAt: start, Clock: x.clock()}, x.now)
		x.submit(record(1, 1))
		s := x.started()[0]
		x.Unreachable("a", start, x.now, "cut")
		x.serve("b")
		x.pass(2 * time.Second)
		x.list("b")
		x.pass(100 * time.Millisecond)
		gomega.Expect(x.started()).To(gomega.BeEmpty(), "run %d may go on for six seconds", s.Number)
	})

	ginkgo.It("keeps the runs of a draining server that is silent and no longer registered, until their lease has lapsed", func() {
		w.submit(record(1, 1))
		s := w.started()[0]
		w.list(s.Server.ID, running(s, 10))
		v := sample(s.Server.ID)
		v.Draining = true
		w.Register(v, w.now)
		w.Unreachable(v.ID, start, w.now, "cut")
		w.Unregister(v.ID, w.now)
		w.list(other(v.ID))
		w.commit()
		gomega.Expect(w.started()).To(gomega.BeEmpty())
	})

	ginkgo.It("does not hold a silent server's runs any longer", func() {
		w.Unreachable("a", start, w.now, "cut")
		h, _ := w.Hold("a", w.now)
		gomega.Expect(h.Until).To(gomega.BeZero())
	})

	ginkgo.It("runs the tasks of a server that was born again elsewhere at once", func() {
		w.submit(record(1, 1))
		s := w.started()[0]
		v := sample(s.Server.ID)
		v.StartedAt = start.Add(time.Second)
		w.Register(v, w.now)
		w.list(other(s.Server.ID))
		w.commit()
		gomega.Expect(w.started()).To(gomega.HaveLen(1))
	})

	ginkgo.It("stops a run that is not assigned to the server", func() {
		k := job.Task{Job: "00000000000000aa"}
		w.list("a", server.Run{Task: k, Number: 4})
		w.take()
		gomega.Expect(w.stopped()).To(gomega.ConsistOf(gomega.HaveField("Number", 4)))
	})

	ginkgo.It("runs a task elsewhere that stands still, while others of its step go on", func() {
		w.submit(record(1, 1))
		s := w.started()[0]
		for range 20 {
			w.pass(100 * time.Millisecond)
			w.list(s.Server.ID, running(s, 30))
			w.list(other(s.Server.ID))
		}
		w.take()
		gomega.Expect(w.stopped()).NotTo(gomega.BeEmpty())
		w.end(s.Server.ID, s.Task, 1, job.EndStopped)
		w.commit()
		gomega.Expect(w.started()[0].Server.ID).To(gomega.Equal(other(s.Server.ID)))
	})

	ginkgo.It("does not take a task for a straggler because its estimate is too low", func() {
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

	ginkgo.It("gives up a straggler once and lets its next run finish, since the task itself may be long", func() {
		w.submit(record(1, 5, func(s *schema.StepRecord) { s.AntiAffinity = 4 }))
		open := map[job.Task]scheduler.Start{}
		began := map[job.Task]time.Time{}
		given := 0
		for range 90 {
			for _, s := range w.started() {
				open[s.Task], began[s.Task] = s, w.now
			}
			runs, ends := map[string][]server.Run{}, map[string][]server.EndedRun{}
			over := func(s scheduler.Start, how job.EndReason) {
				n := s.Server.ID
				w.seqs[n]++
				ends[n] = append(ends[n], server.EndedRun{Sequence: w.seqs[n], Task: s.Task, Number: s.Number, Reason: how})
				delete(open, s.Task)
			}
			for _, x := range w.stopped() {
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
				runs[s.Server.ID] = append(runs[s.Server.ID], running(s, percent))
			}
			for _, n := range []string{"a", "b"} {
				w.listEnds(n, ends[n], runs[n]...)
			}
			w.pass(100 * time.Millisecond)
		}
		gomega.Expect(given).To(gomega.BeNumerically("<=", 1))
		gomega.Expect(w.State(record(1, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("leaves a server alone that fails all it starts", func() {
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

	ginkgo.It("does not end a VM's next life when the order to move it is answered late", func() {
		w.TakenDown("", w.now)
		w.submit(record(1, 1))
		gomega.Expect(w.started()).To(gomega.HaveLen(1))
		w.TakenDown("life-before", w.now)
		w.commit()
		gomega.Expect(w.started()).To(gomega.BeEmpty(), "the run goes on")
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
	ginkgo.Entry("that another entry may still hold", 11240*time.Millisecond),
	ginkgo.Entry("that only an ended process has held", 6240*time.Millisecond, scheduler.WithEndedPredecessor()))

var _ = ginkgo.Describe("an owner that takes over", func() {
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

	ginkgo.It("goes on with a run that the server lists", func() {
		w.Register(sample("a"), w.now)
		w.list("a", server.Run{Task: k, Number: 3, Percent: 50})
		w.serve("b")
		w.commit()
		gomega.Expect(w.started()).To(gomega.BeEmpty())
		w.end("a", k, 3, job.EndDone)
		w.commit()
		gomega.Expect(w.State(m.Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("starts a run anew that the server does not list, with a higher number", func() {
		w.serve("a", "b")
		w.commit()
		gomega.Expect(w.started()).To(gomega.ConsistOf(gomega.HaveField("Number", 4)))
	})

	ginkgo.It("waits for a server that it does not reach until no earlier owner can hold it", func() {
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

	ginkgo.It("completes a job of which all tasks are stored as done", func() {
		x := newWorld()
		x.Restore(record(2, 1), &schema.JobProgress{Tasks: []*schema.TaskProgress{{LastRun: 1, Done: true}}}, x.now)
		x.commit()
		gomega.Expect(x.State(record(2, 1).Id).Phase).To(gomega.Equal(job.Completed))
	})

	ginkgo.It("keeps what was learned", func() {
		x := newWorld()
		x.RestoreLearning([]*schema.QueueLearning{{Queue: "plans", Ratio: 2, Samples: 30, Fast: 5, Slow: 4, Work: 10, Jobs: 50, AtMs: x.now.UnixMilli()}}, x.now)
		gomega.Expect(x.Needs(x.now)["carving"].Cores).To(gomega.BeNumerically(">", 100))
	})
})

var _ = ginkgo.Describe("the store away", func() {
	ginkgo.It("refuses the jobs that no transaction has carried and leaves the others unsettled", func() {
		w := newWorld()
		w.serve("a")
		replies := map[int]scheduler.Reply{}
		w.Submit(record(1, 1), w.now, func(r scheduler.Reply) { replies[1] = r })
		w.Next(most, w.now)
		w.Submit(record(2, 1), w.now, func(r scheduler.Reply) { replies[2] = r })
		w.Withdraw("the store is away", 2*time.Second, w.now)
		gomega.Expect(replies).To(gomega.HaveLen(1))
		gomega.Expect(replies[2].Result).To(gomega.Equal(scheduler.Refused))
		gomega.Expect(w.Next(most, w.now)).To(gomega.BeNil())
	})
})
