package pool_test

import (
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

func TestPool(t *testing.T) {
	suite.Run(t, "pool")
}

var vms = []vm.VM{
	{Name: "a1", DataCentre: "a", Rack: "a-r1"},
	{Name: "a2", DataCentre: "a", Rack: "a-r1"},
	{Name: "a3", DataCentre: "a", Rack: "a-r2"},
	{Name: "b1", DataCentre: "b", Rack: "b-r1"},
	{Name: "b2", DataCentre: "b", Rack: "b-r1"},
}

var _ = ginkgo.DescribeTable("a disruption budget permits",
	func(m *schema.Pool, down []string, want bool) {
		p := pool.New(m, vms)
		gomega.Expect(p.WithinBudget(func(n string) bool { return slices.Contains(down, n) })).To(gomega.Equal(want))
	},
	ginkgo.Entry("MaxDown VMs", &schema.Pool{MaxDown: 2}, []string{"a1", "b1"}, true),
	ginkgo.Entry("not more than MaxDown VMs", &schema.Pool{MaxDown: 2}, []string{"a1", "b1", "b2"}, false),
	ginkgo.Entry("MaxDownShare of the VMs, rounded down", &schema.Pool{MaxDownShare: 0.5}, []string{"a1", "b1"}, true),
	ginkgo.Entry("not more than MaxDownShare of the VMs", &schema.Pool{MaxDownShare: 0.5}, []string{"a1", "a2", "b1"}, false),
	ginkgo.Entry("MaxDownPerDataCentre VMs in each data centre", &schema.Pool{MaxDown: 3, MaxDownPerDataCentre: 1}, []string{"a1", "b1"}, true),
	ginkgo.Entry("not more than MaxDownPerDataCentre VMs in one data centre", &schema.Pool{MaxDown: 3, MaxDownPerDataCentre: 1}, []string{"a1", "a3"}, false),
	ginkgo.Entry("not more than MaxDownPerRack VMs in one rack", &schema.Pool{MaxDown: 3, MaxDownPerRack: 1}, []string{"a1", "a2"}, false),
	ginkgo.Entry("VMs in different racks", &schema.Pool{MaxDown: 3, MaxDownPerRack: 1}, []string{"a1", "a3", "b1"}, true),
)
