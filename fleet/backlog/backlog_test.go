package backlog_test

import (
	"math/rand/v2"
	"slices"
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
	ginkgo.DescribeTable("accepts work that can meet its deadline", func(l []backlog.Demand, n backlog.Demand, s backlog.Supply, fits bool) {
		gomega.Expect(backlog.Fits(now, l, n, s)).To(gomega.Equal(fits))
	},
		ginkgo.Entry("alone", nil, demand(time.Second, 10), steady, true),
		ginkgo.Entry("alone and too large", nil, demand(time.Second, 11), steady, false),
		ginkgo.Entry("after work with an earlier deadline", []backlog.Demand{demand(time.Second, 9)}, demand(2*time.Second, 12), steady, false),
		ginkgo.Entry("ahead of work with a later deadline", []backlog.Demand{demand(4*time.Second, 20)}, demand(time.Second, 9), steady, true),
		ginkgo.Entry("refused if it would make other work late", []backlog.Demand{demand(2*time.Second, 20)}, demand(time.Second, 1), steady, false),
		ginkgo.Entry("ignoring work that is already late", []backlog.Demand{demand(-time.Second, 100)}, demand(time.Second, 9), steady, true),
		ginkgo.Entry("with VMs added before the deadline", nil, demand(3*time.Second, 45), growing, true),
		ginkgo.Entry("refused if VMs are added too late", nil, demand(2*time.Second, 25), growing, false),
		ginkgo.Entry("refused if it is due now", nil, demand(0, 1), steady, false))

	ginkgo.It("accepts a quarter of a load of four times the capacity", func() {
		accepted := []backlog.Demand{}
		for range 40 {
			if n := demand(4*time.Second, 4); backlog.Fits(now, accepted, n, steady) {
				accepted = append(accepted, n)
			}
		}
		gomega.Expect(accepted).To(gomega.HaveLen(10))
	})
})

// The sums that demands keep must not change what is decided.
var _ = ginkgo.It("demands with sums have the same shortfall as a list", func() {
	r := rand.New(rand.NewPCG(7, 0))
	for range 2000 {
		l := []backlog.Demand{}
		x := backlog.NewDemands(nil)
		for range r.IntN(30) {
			d := demand(time.Duration(r.IntN(50)-10)*100*time.Millisecond, r.Float64()*20)
			l = append(l, d)
			x.Add(d)
		}
		n := demand(time.Duration(r.IntN(50)-5)*100*time.Millisecond, r.Float64()*20)
		s := backlog.Supply{Now: r.Float64() * 40, Later: 20 + r.Float64()*40, From: now.Add(time.Duration(r.IntN(3000)) * time.Millisecond)}
		slices.SortFunc(l, backlog.CompareDue)
		want := backlog.Shortfall(now, l, n, s)
		gomega.Expect(x.Shortfall(now, n, s)).To(gomega.BeNumerically("~", want, 1e-9))
		gomega.Expect(backlog.NewDemands(l).Shortfall(now, n, s)).To(gomega.BeNumerically("~", want, 1e-9))
	}
})
