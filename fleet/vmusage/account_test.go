package vmusage_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/vmusage"
)

func TestAccount(t *testing.T) {
	suite.Run(t, "vmusage")
}

var start = time.Unix(1_800_000_000, 0)

// account counts one VM for a second.
func account(v vmusage.VM, p vmusage.Pool) *vmusage.Account {
	a := vmusage.New()
	a.Add(start, []vmusage.VM{v}, nil)
	a.Add(start.Add(time.Second), []vmusage.VM{v}, map[string]vmusage.Pool{v.Pool: p})
	return a
}

var _ = ginkgo.Describe("the account of VM time", func() {
	// A VM that one small task keeps on must not look busy, or nobody sees what the pool's VMs are held for.
	ginkgo.DescribeTable("attributes the free cores of a VM", func(v vmusage.VM, p vmusage.Pool, want vmusage.Cause) {
		v.Pool, v.Cores = "cups", 16
		a := account(v, p)
		gomega.Expect(a.Total(want) + a.Total(vmusage.Working)).To(gomega.Equal(time.Second))
		gomega.Expect(a.Total(vmusage.Working)).To(gomega.Equal(time.Duration(v.UsedCores / 16 * float64(time.Second))))
	},
		ginkgo.Entry("beside long-running tasks", vmusage.VM{UsedCores: 4, Runs: 2, LongRunning: 2, Usable: true}, vmusage.Pool{Waiting: true}, vmusage.BesideLongRunning),
		ginkgo.Entry("beside finite tasks", vmusage.VM{UsedCores: 4, Runs: 2, LongRunning: 1, Usable: true}, vmusage.Pool{}, vmusage.BesideFinite),
		ginkgo.Entry("that no waiting task fits", vmusage.VM{UsedCores: 12, Runs: 2, Usable: true}, vmusage.Pool{Waiting: true}, vmusage.Unfitting),
		ginkgo.Entry("kept for the forecast demand", vmusage.VM{Usable: true}, vmusage.Pool{}, vmusage.Needed),
		ginkgo.Entry("that wait to be switched off", vmusage.VM{Usable: true}, vmusage.Pool{Surplus: true}, vmusage.Surplus),
		ginkgo.Entry("on the move", vmusage.VM{Down: true}, vmusage.Pool{}, vmusage.Moving),
		ginkgo.Entry("cordoned with a task", vmusage.VM{UsedCores: 2, Runs: 1, Cordoned: true, Usable: true}, vmusage.Pool{}, vmusage.Cordoned),
		ginkgo.Entry("of a silent server", vmusage.VM{}, vmusage.Pool{}, vmusage.Unusable))

	ginkgo.It("counts a frozen owner's gap for a bounded time", func() {
		a := vmusage.New()
		v := []vmusage.VM{{Cores: 16, Usable: true}}
		a.Add(start, v, nil)
		a.Add(start.Add(time.Minute), v, nil)
		gomega.Expect(a.Total(vmusage.Needed)).To(gomega.Equal(2 * time.Second))
	})
})
