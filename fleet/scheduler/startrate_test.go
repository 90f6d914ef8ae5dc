package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
)

// Turns of a queue ask for three times the runs a second that the owner can start, while its servers have room for all of them.
var _ = ginkgo.Describe("an owner that is nearly out of processor", func() {
	// A turn asks for neededRate runs a second. learnedRate is what the owner has learned that it can start, with a reserve.
	const startsPerSecond, learnedRate, neededRate = 650, 500.0, 1500.0
	onTime := func(rate float64) float64 {
		r := newReplay(replayLoad{servers: 120, cores: 0.5, maxCores: 1, steps: 1.6, share: 0.1, misestimate: 0.3, duration: 30 * time.Second}, 1, bounds)
		r.startsPerStep = startsPerSecond * int(replayStep/time.Millisecond) / 1000
		r.SetStartRate(rate)
		r.run()
		m := &replayResult{}
		r.addTo(m)
		return (m.onTime[0] + m.onTime[1]) / (m.jobs[0] + m.jobs[1])
	}

	// It accepted all jobs and finished nearly all of them late.
	ginkgo.It("finishes on time what it can start", func() {
		gomega.Expect(onTime(0)).To(gomega.BeNumerically("<", 0.5*learnedRate/neededRate), "without a bound")
		gomega.Expect(onTime(learnedRate)).To(gomega.BeNumerically(">=", 0.9*learnedRate/neededRate))
	})

	ginkgo.It("refuses what would be late at once, with the time until it may be accepted", func() {
		w := newHarness()
		w.checked = false
		w.addServers("a", "b", "c", "d")
		w.SetStartRate(10)
		accepted, last := 0, scheduler.Reply{}
		for i := range 40 {
			w.Submit(newRecord(i+1, 4), w.now, func(x scheduler.Reply) { last = x })
			if last.Result == scheduler.Refused {
				break
			}
			accepted++
		}
		gomega.Expect(accepted).To(gomega.BeNumerically("~", 2, 1), "four runs each, 10 a second, due to start in 1.2 s")
		gomega.Expect([]any{last.Result, last.Cause}).To(gomega.Equal([]any{scheduler.Refused, scheduler.CauseOverload}))
		gomega.Expect(last.RetryAfter).To(gomega.BeNumerically("~", 700*time.Millisecond, 500*time.Millisecond))
		w.SetStartRate(0)
		gomega.Expect(w.submit(newRecord(100, 4)).Result).To(gomega.Equal(scheduler.Done))
	})

	ginkgo.It("starts what is most urgent first, and the rest in the passes that follow", func() {
		w := newHarness()
		w.checked = false
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		w.Restore(newRecord(1, 60), nil, w.now)
		w.now = w.now.Add(10 * time.Second)
		w.addServers(names...)
		w.Submit(newRecord(2, 4), w.now, func(scheduler.Reply) {})
		w.SetStartRate(100)
		first := 0
		for passes := 1; passes <= 5; passes++ {
			w.commit()
			l := w.acceptStarts()
			gomega.Expect(len(l)).To(gomega.BeNumerically("<=", 16), "one pass")
			for _, s := range l {
				if passes == 1 && s.Task.Job == newRecord(2, 1).Id {
					first++
				}
			}
		}
		gomega.Expect(first).To(gomega.Equal(4), "starts of the job that can be on time in the first pass")
		gomega.Expect(w.Operations().Starts).To(gomega.Equal(int64(64)))
	})
})
