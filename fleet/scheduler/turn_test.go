package scheduler_test

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Each queue in turn asks for about five times its mean for some seconds, and a twentieth of its mean in between. VMs take
// one to two seconds to arrive, so what is not noticed at once is late.
var _ = ginkgo.Describe("the need of a pool when a turn begins", func() {
	const cores = 8 // core-seconds of a job: one task of 8 cores and a second

	var w *harness
	var random *rand.Rand
	id := 0
	// offer submits jobs at random times with a mean rate per second and returns the highest need seen meanwhile. The jobs
	// are cancelled at once, so that only the forecast of arrivals counts.
	offer := func(rate float64, d time.Duration) float64 {
		highest := 0.0
		for until := w.now.Add(d); w.now.Before(until); {
			w.now = w.now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			id++
			m := newRecord(id, 1, func(s *schema.StepRecord) { s.CpuMilli = cores * 1000 })
			w.Submit(m, w.now, func(scheduler.Reply) {})
			w.Cancel(m.Id, w.now, func(scheduler.Reply) {})
			highest = max(highest, w.PoolNeeds(w.now)["carving"].Cores)
		}
		return highest
	}
	ginkgo.BeforeEach(func() {
		w = newHarness()
		w.addServers("a")
		random = rand.New(rand.NewPCG(7, 7))
	})

	ginkgo.It("covers half of the turn's work within 200 ms", func() {
		offer(2, 10*time.Second)
		gomega.Expect(offer(150, 200*time.Millisecond)).To(gomega.BeNumerically(">", 150*cores/2))
	})

	ginkgo.It("does not take chance for a turn", func() {
		gomega.Expect(offer(5, 2*time.Minute)).To(gomega.BeNumerically("<", 4.5*5*cores))
	})
})
