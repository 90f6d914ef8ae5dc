package wave_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/wave"
)

func TestWave(t *testing.T) {
	suite.Run(t, "wave")
}

var _ = ginkgo.Describe("a wave of maintenance", func() {
	now := time.Unix(1_800_000_000, 0)
	w := wave.Wave{Number: 1, TimeLimit: 30 * time.Second, MaxDown: 2}
	off := wave.VM{Name: "off", Eligible: true, Standby: true, Empty: true, Surplus: true}
	empty := wave.VM{Name: "empty", Eligible: true, Empty: true, Surplus: true}
	busy := wave.VM{Name: "busy", Eligible: true, Work: 50}
	spare := wave.VM{Name: "spare", Eligible: true, Work: 20, Surplus: true}
	needed := wave.VM{Name: "needed", Eligible: true, Empty: true}
	hosts := func(name string) wave.VM {
		return wave.VM{Name: name, Pool: "cups", Eligible: true, Work: 5, LongRunning: true}
	}
	emptied := wave.VM{Name: "emptied", Pool: "cups", Eligible: true, Cordoned: true, LongRunning: true}
	away := wave.VM{Name: "away", Condition: wave.InMaintenance}
	asked := wave.VM{Name: "asked", Condition: wave.Ordered}
	done := wave.VM{Name: "done", Condition: wave.Maintained, Eligible: true}
	gone := wave.VM{Name: "gone", Condition: wave.Removed}

	ginkgo.DescribeTable("decides what goes down now", func(passed time.Duration, vms []wave.VM, want wave.Plan) {
		gomega.Expect(wave.Decide(w, now.Add(-passed), now, vms)).To(gomega.Equal(want))
	},
		ginkgo.Entry("VMs that are off or empty first", time.Second, []wave.VM{busy, spare, empty, off},
			wave.Plan{TakeDown: []string{"off", "empty"}}),
		ginkgo.Entry("VMs in use are emptied while their pool can spare them", time.Second, []wave.VM{busy, spare},
			wave.Plan{Cordon: []string{"spare"}}),
		ginkgo.Entry("those that a pool needs wait", time.Second, []wave.VM{busy, needed}, wave.Plan{}),
		ginkgo.Entry("those with lasting tasks are emptied from the start", time.Second, []wave.VM{hosts("x"), hosts("y")},
			wave.Plan{Cordon: []string{"x", "y"}}),
		ginkgo.Entry("but few in each pool", time.Second, []wave.VM{emptied, hosts("x"), hosts("y")},
			wave.Plan{Cordon: []string{"x"}}),
		ginkgo.Entry("until time runs short", 25*time.Second, []wave.VM{busy, needed},
			wave.Plan{TakeDown: []string{"needed"}, Cordon: []string{"busy"}}),
		ginkgo.Entry("never more at once than it allows", time.Second, []wave.VM{away, off, empty}, wave.Plan{TakeDown: []string{"off"}}),
		ginkgo.Entry("an order without an answer counts as down", time.Second, []wave.VM{asked, away, off}, wave.Plan{}),
		ginkgo.Entry("complete once all that are left had theirs", time.Second, []wave.VM{done, gone, away}, wave.Plan{Complete: true}),
		ginkgo.Entry("not while an order is out", time.Second, []wave.VM{done, asked}, wave.Plan{}))
})
