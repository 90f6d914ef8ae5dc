package backlog_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/backlog"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestBacklog(t *testing.T) {
	suite.Run(t, "backlog")
}

var now = time.Unix(1_800_000_000, 0)

func demand(due time.Duration, work float64) backlog.Demand {
	return backlog.Demand{Due: now.Add(due), Work: work}
}

var _ = ginkgo.Describe("the demand bound", func() {
	steady := backlog.Supply{Now: 10, Later: 10, From: now}
	growing := backlog.Supply{Now: 10, Later: 30, From: now.Add(2 * time.Second)}
	ginkgo.DescribeTable("takes what can be done in time", func(l []backlog.Demand, n backlog.Demand, s backlog.Supply, fits bool) {
		gomega.Expect(backlog.Fits(now, l, n, s)).To(gomega.Equal(fits))
	},
		ginkgo.Entry("alone", nil, demand(time.Second, 10), steady, true),
		ginkgo.Entry("alone and too large", nil, demand(time.Second, 11), steady, false),
		ginkgo.Entry("behind what is due earlier", []backlog.Demand{demand(time.Second, 9)}, demand(2*time.Second, 12), steady, false),
		ginkgo.Entry("before what can wait", []backlog.Demand{demand(4*time.Second, 20)}, demand(time.Second, 9), steady, true),
		ginkgo.Entry("never by making others late", []backlog.Demand{demand(2*time.Second, 20)}, demand(time.Second, 1), steady, false),
		ginkgo.Entry("beside what is late already", []backlog.Demand{demand(-time.Second, 100)}, demand(time.Second, 9), steady, true),
		ginkgo.Entry("when VMs come in time", nil, demand(3*time.Second, 45), growing, true),
		ginkgo.Entry("not when they come too late", nil, demand(2*time.Second, 25), growing, false),
		ginkgo.Entry("nothing that is due now", nil, demand(0, 1), steady, false))

	ginkgo.It("keeps a turn of four times what the pool holds in time by taking a quarter", func() {
		taken := []backlog.Demand{}
		for range 40 {
			if n := demand(4*time.Second, 4); backlog.Fits(now, taken, n, steady) {
				taken = append(taken, n)
			}
		}
		gomega.Expect(taken).To(gomega.HaveLen(10))
	})
})
