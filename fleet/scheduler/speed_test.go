package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// Load: a step of eight tasks on two servers, one of which takes six times as long as the others. All restarts on the replayed
// loads without slow servers were of tasks that are long by nature.
var _ = ginkgo.DescribeTable("a slow run, if placement looks ahead,", func(othersSlow bool, stopped int) {
	limits := bounds
	limits.LookAhead = true
	w := newHarnessWith(limits)
	w.addServers("a", "b")
	w.submit(newRecord(1, 8, func(s *schema.StepRecord) { s.AntiAffinity = 4 }))
	l := w.acceptStarts()
	slowServer := ""
	for _, o := range l {
		if o.Task.Index == 0 {
			slowServer = o.Server.ID
		}
	}
	ended := map[job.Task]bool{}
	for ms := 100; ms <= 5000; ms += 100 {
		w.advance(100 * time.Millisecond)
		for _, name := range []string{"a", "b"} {
			runs, ends := []server.Run{}, []server.EndedRun{}
			for _, o := range l {
				percent := ms / 10
				if o.Task.Index == 0 || othersSlow && o.Server.ID == slowServer {
					percent /= 6
				}
				switch {
				case o.Server.ID != name || ended[o.Task]:
				case percent < 100:
					runs = append(runs, listedRun(o, percent))
				default:
					w.endSequences[name]++
					ended[o.Task] = true
					ends = append(ends, server.EndedRun{Sequence: w.endSequences[name], Task: o.Task, Number: o.Number, Reason: job.EndDone})
				}
			}
			w.reportListing(name, ends, runs...)
		}
	}
	w.Tick(w.now)
	w.collectOrders()
	tasks := map[job.Task]bool{}
	for _, o := range w.takeStops() {
		tasks[o.Task] = true
	}
	gomega.Expect(tasks).To(gomega.HaveLen(stopped))
},
	ginkgo.Entry("is left alone on a server that has completed others at their speed, also when it runs nothing else", false, 0),
	ginkgo.Entry("is restarted, like the others, on a server on which all are slow", true, 4))
