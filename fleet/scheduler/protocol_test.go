package scheduler_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// runModel runs a model for a while and returns what broke.
func runModel(seed uint64, f faults) *model {
	m := newModel(seed, f)
	for range 2500 {
		m.step()
		if len(m.broken) > 0 {
			break
		}
	}
	return m
}

var _ = ginkgo.Describe("the protocol of owners and servers", func() {
	const seeds = 40

	ginkgo.It("runs no task twice through cuts, late and lost messages, rebirths, freezes and takeovers", func() {
		starts, done := 0, 0
		for seed := range uint64(seeds) {
			m := runModel(seed, faults{})
			gomega.Expect(m.broken).To(gomega.BeEmpty(), "seed %d at %s", seed, m.now.Sub(start))
			starts += m.starts
			done += m.done
		}
		gomega.Expect(done).To(gomega.BeNumerically(">", starts/2), "the model does its work")
	})

	ginkgo.DescribeTable("notices a safeguard that is missing", func(f faults) {
		for seed := range uint64(4 * seeds) {
			if len(runModel(seed, f).broken) > 0 {
				return
			}
		}
		ginkgo.Fail("no seed shows the fault")
	},
		ginkgo.Entry("fences", faults{noFence: true, sharedStore: true}),
		ginkgo.Entry("orders that lapse", faults{noLapse: true}),
		ginkgo.Entry("one owner for the store", faults{sharedStore: true, noFence: true}),
		ginkgo.Entry("leases that end when they should", faults{longLease: true}))
})
