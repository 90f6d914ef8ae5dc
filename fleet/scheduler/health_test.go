package scheduler_test

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// startedRun is a run in a workplace.
type startedRun struct {
	scheduler.StartOrder
	at time.Time
}

// workplace is a harness whose servers carry out the start orders: finite runs end after duration, and all that fails says.
type workplace struct {
	*harness
	servers  []string
	duration time.Duration
	// fails reports whether a run of a task on a server fails at an age.
	fails  func(id string, k job.Task, age time.Duration) bool
	runs   []startedRun
	starts []startedRun
}

func newWorkplace(fails func(id string, k job.Task, age time.Duration) bool, servers ...string) *workplace {
	w := &workplace{harness: newHarness(), servers: servers, duration: 300 * time.Millisecond, fails: fails}
	w.addServers(servers...)
	return w
}

// work lets the time pass.
func (w *workplace) work(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); {
		for _, s := range w.acceptStarts() {
			w.runs = append(w.runs, startedRun{s, w.now})
			w.starts = append(w.starts, startedRun{s, w.now})
		}
		w.advance(100 * time.Millisecond)
		for _, n := range w.servers {
			w.list(n)
		}
		w.commit()
	}
}

// list reports the runs and the ends of a server.
func (w *workplace) list(name string) {
	running, ends := []server.Run{}, []server.EndedRun{}
	w.runs = slices.DeleteFunc(w.runs, func(r startedRun) bool {
		if r.Server.ID != name {
			return false
		}
		age, reason := w.now.Sub(r.at), job.EndDone
		isLong := r.Task.Job >= longRunningID
		if w.fails(name, r.Task, age) {
			reason = job.EndFailed
		} else if isLong || age < w.duration {
			running = append(running, listedRun(r.StartOrder, map[bool]int{true: 100, false: int(99 * age / w.duration)}[isLong]))
			return false
		}
		w.endSequences[name]++
		ends = append(ends, server.EndedRun{Sequence: w.endSequences[name], Task: r.Task, Number: r.Number, Reason: reason})
		return true
	})
	w.reportListing(name, ends, running...)
}

// startsOf returns the starts of a job, startsOn those on a server.
func (w *workplace) startsOf(id string) []startedRun {
	return slices.DeleteFunc(slices.Clone(w.starts), func(r startedRun) bool { return r.Task.Job != id })
}

func (w *workplace) startsOn(name string) []startedRun {
	return slices.DeleteFunc(slices.Clone(w.starts), func(r startedRun) bool { return r.Server.ID != name })
}

// longestGap returns the longest time in which a job of one long-running task did not run.
func (w *workplace) longestGap(id string, from time.Time, age time.Duration) time.Duration {
	var gap time.Duration
	for _, r := range w.startsOf(id) {
		gap = max(gap, r.at.Sub(from))
		from = r.at.Add(age)
	}
	return max(gap, w.now.Sub(from))
}

// longRunningID is the lowest ID of a long-running job in a workplace.
var longRunningID = newRecord(1000, 1).Id

func apart(s *schema.StepRecord) {
	s.AntiAffinity = 1
}

const (
	// maxIdle is the longest time that a task may wait beside idle servers.
	maxIdle = 3 * time.Second
	second  = time.Second
)

var _ = ginkgo.Describe("failed runs", func() {
	hopeless := func(ids ...int) func(string, job.Task, time.Duration) bool {
		return func(_ string, k job.Task, age time.Duration) bool {
			return age >= 300*time.Millisecond && slices.ContainsFunc(ids, func(id int) bool { return k.Job == newRecord(id, 1).Id })
		}
	}
	faulty := func(names ...string) func(string, job.Task, time.Duration) bool {
		return func(n string, _ job.Task, age time.Duration) bool {
			return age >= 300*time.Millisecond && slices.Contains(names, n)
		}
	}

	// One job that failed everywhere kept a long-running task from all servers of its pool for 16 s.
	ginkgo.DescribeTable("of jobs that fail on every server do not keep other tasks from the servers", func(servers []string, tasks int32, ids ...int) {
		w := newWorkplace(hopeless(ids...), servers...)
		for _, id := range ids {
			w.submit(newRecord(id, tasks))
		}
		w.work(3 * second)
		from := w.now
		w.submit(newRecord(1000, 1, longRunning))
		w.work(second)
		gomega.Expect(w.longestGap(newRecord(1000, 1).Id, from, time.Hour)).To(gomega.BeNumerically("<", second))
		for _, id := range ids {
			gomega.Expect(w.JobPhase(newRecord(id, 1).Id).Phase).To(gomega.Equal(job.Failed))
		}
	},
		ginkgo.Entry("one wide job", []string{"a", "b", "c"}, int32(24), 1),
		ginkgo.Entry("several jobs", []string{"a", "b", "c"}, int32(20), 1, 2, 3),
		ginkgo.Entry("one narrow job", []string{"a", "b", "c"}, int32(4), 1),
		ginkgo.Entry("a pool of one server", []string{"a"}, int32(10), 1),
		ginkgo.Entry("a larger pool", []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}, int32(100), 1))

	// A server that fails all that it starts must be avoided within a few runs, also when only one job shows it.
	ginkgo.DescribeTable("on a server that fails everything make the scheduler avoid it", func(bad []string, jobs int, tasks int32) {
		w := newWorkplace(faulty(bad...), "a", "b", "c", "d", "e")
		for i := range jobs {
			w.submit(newRecord(i+1, tasks))
		}
		w.work(4 * second)
		for i := range jobs {
			gomega.Expect(w.JobPhase(newRecord(i+1, 1).Id).Phase).To(gomega.Equal(job.Completed))
		}
		began := len(w.starts)
		w.submit(newRecord(90, 3))
		w.work(2 * second)
		for _, r := range w.starts[began:] {
			gomega.Expect(bad).NotTo(gomega.ContainElement(r.Server.ID))
		}
	},
		ginkgo.Entry("one job", []string{"a"}, 1, int32(10)),
		ginkgo.Entry("several jobs", []string{"a"}, 5, int32(2)),
		ginkgo.Entry("two faulty servers and one job that begins on both", []string{"a", "b"}, 1, int32(30)),
		ginkgo.Entry("two faulty servers and several jobs", []string{"a", "b"}, 6, int32(6)))

	// Jobs that had failed on several faulty servers and succeeded nowhere were blamed one after the other.
	ginkgo.It("of several jobs on the same faulty servers make the scheduler avoid these, though no job succeeds elsewhere first", func() {
		bad := []string{"b", "c", "d"}
		w := newWorkplace(faulty(bad...), "a", "b", "c", "d", "e", "f", "g")
		// A task that needs most of a server keeps the first one from being chosen for being the fullest.
		w.submit(newRecord(1000, 1, longRunning, cores(62)))
		w.work(second)
		failed := 0
		for i := range 20 {
			w.submit(newRecord(i+1, 2))
			w.work(1500 * time.Millisecond)
			if w.JobPhase(newRecord(i+1, 1).Id).Phase != job.Completed {
				failed++
			}
		}
		gomega.Expect(failed).To(gomega.BeNumerically("<=", 1))
	})

	// A pool in which every server is suspected must neither idle nor burn through its work.
	ginkgo.It("on all servers of a pool leave one start a second on each, and all as soon as one succeeds", func() {
		isFaulty := true
		w := newWorkplace(func(_ string, _ job.Task, age time.Duration) bool { return isFaulty && age >= 300*time.Millisecond }, "a", "b")
		for i := range 6 {
			w.submit(newRecord(i+1, 2))
		}
		w.work(2 * second)
		w.submit(newRecord(1000, 1, longRunning))
		from, began := w.now, len(w.starts)
		w.work(8 * second)
		gomega.Expect(len(w.starts) - began).To(gomega.BeNumerically("<=", 2*(8+1)))
		gomega.Expect(w.longestGap(newRecord(1000, 1).Id, from, 300*time.Millisecond)).To(gomega.BeNumerically("<", maxIdle))
		isFaulty = false
		for i := range 4 {
			w.submit(newRecord(50+i, 6))
		}
		w.work(4 * second)
		for i := range 4 {
			gomega.Expect(w.JobPhase(newRecord(50+i, 1).Id).Phase).To(gomega.Equal(job.Completed))
		}
	})

	// The failures of a long-running task on the only server that its constraints leave counted against that server for good.
	ginkgo.DescribeTable("of a long-running task, now and then, do not keep it from its server", func(age time.Duration) {
		flaky := newRecord(1000, 1).Id
		w := newWorkplace(func(_ string, k job.Task, x time.Duration) bool { return k.Job == flaky && k.Index == 0 && x >= age }, "a", "b", "c")
		from := w.now
		w.submit(newRecord(1000, 3, longRunning, apart))
		w.work(60 * second)
		l := slices.DeleteFunc(w.startsOf(flaky), func(r startedRun) bool { return r.Task.Index != 0 })
		gomega.Expect(len(l)).To(gomega.BeNumerically(">", 5))
		for _, r := range l {
			gomega.Expect(r.at.Sub(from)).To(gomega.BeNumerically("<", maxIdle))
			from = r.at.Add(age)
		}
	},
		ginkgo.Entry("after 6 s of work", 6*second), ginkgo.Entry("after 2 s", 2*second), ginkgo.Entry("at once", 100*time.Millisecond))

	// A long-running task that can never run must not be restarted in a tight loop, since each start costs a commit.
	ginkgo.It("of a hopeless long-running job are repeated with a growing delay", func() {
		w := newWorkplace(hopeless(1000), "a", "b", "c")
		w.submit(newRecord(1000, 2, longRunning))
		w.work(20 * second)
		gomega.Expect(len(w.starts)).To(gomega.BeNumerically("<=", 2*16))
		gomega.Expect(len(w.starts)).To(gomega.BeNumerically(">=", 2*8))
	})

	// On the only server of a pool, the restarts of hopeless tasks took every start that a suspected server gets.
	ginkgo.It("of hopeless long-running jobs leave others the only server of a pool", func() {
		w := newWorkplace(hopeless(1000, 1001, 1002), "a")
		for i := range 3 {
			w.submit(newRecord(1000+i, 1, longRunning))
		}
		w.work(10 * second)
		from := w.now
		for i := range 3 {
			w.submit(newRecord(1010+i, 1, longRunning))
			w.submit(newRecord(i+1, 2))
		}
		w.work(6 * second)
		for i := range 3 {
			gomega.Expect(w.longestGap(newRecord(1010+i, 1).Id, from, time.Hour)).To(gomega.BeNumerically("<", maxIdle))
			gomega.Expect(w.JobPhase(newRecord(i+1, 1).Id).Phase).To(gomega.Equal(job.Completed))
		}
	})

	// The first member's failure sent a gang to the same faulty server again until it had no attempts left.
	ginkgo.It("of a gang lead it to other servers", func() {
		w := newWorkplace(faulty("a"), "a", "b", "c")
		w.submit(newRecord(1, 2, wholeServer, func(s *schema.StepRecord) { s.Gang = true }))
		w.work(3 * second)
		gomega.Expect(w.JobPhase(newRecord(1, 1).Id).Phase).To(gomega.Equal(job.Completed))
		gomega.Expect(w.startsOn("a")).To(gomega.HaveLen(1))
	})
})
