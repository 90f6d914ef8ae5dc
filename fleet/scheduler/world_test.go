package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestScheduler(t *testing.T) {
	suite.Run(t, "scheduler")
}

var (
	start  = time.Unix(1_800_000_000, 0)
	bounds = scheduler.Bounds{
		Hold: 6 * time.Second, Stop: 400 * time.Millisecond, Early: 250 * time.Millisecond,
		Keep: 2 * time.Minute, Gang: 3 * time.Second,
	}
	table = queue.New(1, []queue.Queue{{
		Name: "plans", Host: "workshop", Prefix: "/plans/", Pool: "carving", Attempts: 3, SlackFactor: 1.6, TargetLatency: 600 * time.Millisecond,
	}}, map[string]queue.Pool{"carving": {Name: "carving"}}, queue.Limits{})
)

// most is the number of records in a test's commits.
const most = 30

// world drives a scheduler by hand.
type world struct {
	*scheduler.Scheduler
	now    time.Time
	orders scheduler.Orders
	seqs   map[string]uint64
}

func newWorld() *world {
	w := &world{Scheduler: scheduler.New(bounds, start), now: start, seqs: map[string]uint64{}}
	w.SetTable(table)
	return w
}

// serve registers servers of 64 cores and lists nothing on them.
func (w *world) serve(names ...string) {
	for _, n := range names {
		w.Register(sample(n), w.now)
		w.list(n)
	}
}

func sample(name string) server.Server {
	return server.Server{
		ID: name, Born: start, VM: "vm-" + name, Pool: "carving", DataCentre: "a", Labels: []string{"plain", "rack-1"},
		Capacity: job.Size{CPU: 64000, MemoryMB: 128000},
	}
}

// clock is what every server's clock shows.
func (w *world) clock() time.Duration {
	return w.now.Sub(start) + time.Minute
}

func (w *world) list(name string, runs ...server.Run) {
	w.listEnds(name, nil, runs...)
}

func (w *world) listEnds(name string, ends []server.End, runs ...server.Run) {
	w.Hold(name, w.now)
	w.Listed(name, server.Listing{Born: start, Clock: w.clock(), Runs: runs, Ends: ends}, w.now)
}

// end lists the end of a run.
func (w *world) end(name string, k job.Task, number int, how job.End) {
	w.seqs[name]++
	w.listEnds(name, []server.End{{Sequence: w.seqs[name], Task: k, Number: number, How: how}})
}

func (w *world) submit(m *schema.JobRecord) scheduler.Reply {
	var r scheduler.Reply
	w.Submit(m, w.now, func(x scheduler.Reply) { r = x })
	w.commit()
	return r
}

// commit stores all changes and takes the orders that follow.
func (w *world) commit() {
	w.Plan(w.now)
	for {
		b := w.Next(most, w.now)
		if b == nil {
			break
		}
		w.Committed(b, w.now)
	}
	w.take()
}

func (w *world) take() {
	o := w.Take()
	w.orders.Starts = append(w.orders.Starts, o.Starts...)
	w.orders.Stops = append(w.orders.Stops, o.Stops...)
	w.orders.Paces = append(w.orders.Paces, o.Paces...)
	w.orders.Notes = append(w.orders.Notes, o.Notes...)
}

// started returns the start orders since the last call and answers them all with success.
func (w *world) started() []scheduler.Start {
	l := w.orders.Starts
	w.orders.Starts = nil
	for _, s := range l {
		w.Answered(s, scheduler.Started, w.clock(), w.now)
	}
	return l
}

func (w *world) stopped() []scheduler.Stop {
	l := w.orders.Stops
	w.orders.Stops = nil
	return l
}

// pass lets time pass in steps of a tick.
func (w *world) pass(d time.Duration) {
	const tick = 100 * time.Millisecond
	for until := w.now.Add(d); w.now.Before(until); {
		w.now = w.now.Add(tick)
		w.Tick(w.now)
		w.commit()
	}
}

// record is a job with one step of equal tasks.
func record(id int, count int32, f ...func(*schema.StepRecord)) *schema.JobRecord {
	s := &schema.StepRecord{Count: count, CpuMilli: 4000, MemoryMb: 100, EstimateMs: 1000}
	for _, x := range f {
		x(s)
	}
	return &schema.JobRecord{
		Id: fmt.Sprintf("%016x", id), Queue: "plans", Payload: "text", Steps: []*schema.StepRecord{s},
		AcceptedMs: start.UnixMilli(),
	}
}

func lasting(s *schema.StepRecord) {
	s.Lasting = true
}

func running(s scheduler.Start, percent int) server.Run {
	return server.Run{Task: s.Task, Number: s.Number, Percent: percent}
}

func must[T any](x T, err error) T {
	gomega.ExpectWithOffset(1, err).NotTo(gomega.HaveOccurred())
	return x
}

var _ = ginkgo.Describe("task names", func() {
	ginkgo.It("are read back as they are written", func() {
		k := job.Task{Job: "00000000000000ab", Occurrence: 2, Step: 1, Index: 17}
		gomega.Expect(must(job.ParseTask(k.String()))).To(gomega.Equal(k))
	})
	ginkgo.DescribeTable("are refused", func(name string) {
		_, err := job.ParseTask(name)
		gomega.Expect(err).To(gomega.BeAssignableToTypeOf(&job.MalformedTaskError{}))
	},
		ginkgo.Entry("too short", "ab.1.2"), ginkgo.Entry("too long", "ab.1.2.3.4"),
		ginkgo.Entry("no number", "ab.1.x.3"), ginkgo.Entry("negative", "ab.1.-2.3"), ginkgo.Entry("empty", ""))
})
