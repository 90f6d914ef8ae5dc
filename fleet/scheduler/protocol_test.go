package scheduler_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// play runs a model for a while and returns what broke.
func play(seed uint64, f disabledSafeguards) *model {
	m := newModel(seed, f)
	for range 2500 {
		m.step()
		if len(m.violations) > 0 {
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
			m := play(seed, disabledSafeguards{})
			gomega.Expect(m.violations).To(gomega.BeEmpty(), "seed %d at %s", seed, m.now.Sub(start))
			starts += m.starts
			done += m.done
		}
		gomega.Expect(done).To(gomega.BeNumerically(">", starts/2), "the model does its work")
	})

	ginkgo.DescribeTable("notices a safeguard that is missing", func(f disabledSafeguards) {
		for seed := range uint64(4 * seeds) {
			if len(play(seed, f).violations) > 0 {
				return
			}
		}
		ginkgo.Fail("no seed shows the fault")
	},
		ginkgo.Entry("fences", disabledSafeguards{noFencing: true, noCommitFencing: true}),
		ginkgo.Entry("orders that lapse", disabledSafeguards{noOrderExpiry: true}),
		ginkgo.Entry("one owner for the store", disabledSafeguards{noCommitFencing: true, noFencing: true}),
		ginkgo.Entry("leases that end when they should", disabledSafeguards{leaseOverrun: true}))
})
