package share_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonbank/tarragonbank/fleet/share"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

func TestShare(t *testing.T) {
	suite.Run(t, "share")
}

func vms(n, slots int) []vm.VM {
	l := []vm.VM{}
	for i := range n {
		l = append(l, vm.VM{Name: fmt.Sprintf("vm-%02d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), Slots: slots})
	}
	return l
}

func entries(demand ...int) []share.Entry {
	l := []share.Entry{}
	for i, d := range demand {
		l = append(l, share.Entry{Name: fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), Demand: d})
	}
	return l
}

func policy(name string) share.Policy {
	p, err := share.GetPolicy(name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return p
}

var _ = ginkgo.DescribeTable("the slots of each entry",
	func(name string, l []share.Entry, want []int) {
		got := []int{}
		for _, e := range l {
			got = append(got, policy(name).Allocate(e.Name, l, vms(10, 8)).Own.Slots())
		}
		gomega.Expect(got).To(gomega.Equal(want))
	},
	ginkgo.Entry("fixed", "fixed", entries(50, 0, 0, 0), []int{20, 20, 20, 20}),
	ginkgo.Entry("by demand, below the slots of the pool", "demand", entries(36, 4, 4, 4), []int{52, 9, 9, 10}),
	ginkgo.Entry("by demand, in overload", "demand", entries(160, 0, 0, 0), []int{65, 5, 5, 5}),
	ginkgo.Entry("by demand, without any", "demand", entries(0, 0, 0, 0), []int{20, 20, 20, 20}),
	ginkgo.Entry("none", "none", entries(1, 1), []int{80, 80}),
)

var _ = ginkgo.DescribeTable("lending",
	func(l []share.Entry, want bool) {
		gomega.Expect(policy("lending").Allocate("entry-0", l, vms(10, 8)).MayBorrow).To(gomega.Equal(want))
	},
	ginkgo.Entry("allows borrowing with spare slots", entries(40, 20), true),
	ginkgo.Entry("forbids borrowing in overload", entries(80, 80), false),
)

var _ = ginkgo.Describe("GetPolicy", func() {
	ginkgo.It("lists the registered policies for an unknown name", func() {
		_, err := share.GetPolicy("best")
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`unknown share policy "best", expected one of demand, fixed, lending, none`)))
	})
})

var _ = ginkgo.Describe("an allocation", func() {
	ginkgo.It("grants each slot to exactly one entry", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			l := entries(rapid.SliceOfN(rapid.IntRange(0, 200), 1, 12).Draw(t, "demand")...)
			v := vms(rapid.IntRange(1, 12).Draw(t, "vms"), rapid.IntRange(1, 9).Draw(t, "slots"))
			used := map[string]int{}
			for _, e := range l {
				for n, s := range policy("demand").Allocate(e.Name, l, v).Own {
					used[n] += s
				}
			}
			for _, x := range v {
				if used[x.Name] != x.Slots {
					t.Fatalf("%s has %d slots, %d are granted", x.Name, x.Slots, used[x.Name])
				}
			}
		})
	})

	ginkgo.It("moves few slots when the demand of one entry rises", func() {
		before, after := entries(8, 8, 8, 8, 8, 8, 8), entries(12, 8, 8, 8, 8, 8, 8)
		moved := 0
		for _, e := range before {
			a := policy("demand").Allocate(e.Name, before, vms(10, 8)).Own
			for n, s := range policy("demand").Allocate(e.Name, after, vms(10, 8)).Own {
				moved += max(s-a[n], 0)
			}
		}
		gomega.Expect(moved).To(gomega.BeNumerically("<=", 8))
	})
})
