package vmorder_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/vmorder"
)

func TestVMOrder(t *testing.T) {
	suite.Run(t, "vmorder")
}

var start = time.Unix(1_800_000_000, 0)

// takeAll asks for n orders every 200 ms until the time is over and returns when they were taken.
func takeAll(b *vmorder.Budget, u vmorder.Urgency, n int, d time.Duration) []time.Time {
	l := []time.Time{}
	for now := start; now.Before(start.Add(d)); now = now.Add(200 * time.Millisecond) {
		for range n {
			if b.Take(u, 0, now) {
				l = append(l, now)
			}
		}
	}
	return l
}

var _ = ginkgo.Describe("a budget of orders", func() {
	ginkgo.DescribeTable("sends no more than the platform takes in any second while thousands of VMs are idle", func(u vmorder.Urgency) {
		l := takeAll(vmorder.New(64), u, 2600, 30*time.Second)
		for i, at := range l {
			n := 0
			for _, x := range l[i:] {
				if x.Sub(at) < time.Second {
					n++
				}
			}
			gomega.Expect(n).To(gomega.BeNumerically("<=", 64))
		}
		gomega.Expect(len(l)).To(gomega.BeNumerically(">", 30*64/4), "orders go on")
	},
		ginkgo.Entry("needed", vmorder.Needed),
		ginkgo.Entry("saving", vmorder.Saving))

	ginkgo.It("leaves room for VMs that are needed while others are switched off", func() {
		b := vmorder.New(64)
		takeAll(b, vmorder.Saving, 2600, 10*time.Second)
		n := 0
		for b.Take(vmorder.Needed, n, start.Add(10*time.Second)) {
			n++
		}
		gomega.Expect(n).To(gomega.BeNumerically(">=", 16))
	})

	ginkgo.It("sends none beside as many without an answer as it holds", func() {
		b := vmorder.New(64)
		gomega.Expect(b.Take(vmorder.Needed, 31, start)).To(gomega.BeTrue())
		gomega.Expect(b.Take(vmorder.Needed, 32, start)).To(gomega.BeFalse())
	})

	ginkgo.It("holds one order at least, and has a limit if the platform names none", func() {
		gomega.Expect(vmorder.New(0.5).Take(vmorder.Needed, 0, start)).To(gomega.BeTrue())
		gomega.Expect(len(takeAll(vmorder.New(0), vmorder.Needed, 1000, time.Second))).To(gomega.BeNumerically("<=", 50))
	})

	// A small budget was never half full beyond one order, so that VMs were never switched off.
	ginkgo.DescribeTable("switches VMs off at any limit, within it", func(limit float64) {
		l := takeAll(vmorder.New(limit), vmorder.Saving, 100, 30*time.Second)
		gomega.Expect(len(l)).To(gomega.And(gomega.BeNumerically(">=", int(30*limit/4)), gomega.BeNumerically("<=", int(30*limit)+1)))
	},
		ginkgo.Entry("0.5", 0.5),
		ginkgo.Entry("1", 1.0),
		ginkgo.Entry("2", 2.0),
		ginkgo.Entry("3", 3.0),
		ginkgo.Entry("4", 4.0),
		ginkgo.Entry("7", 7.0))
})
