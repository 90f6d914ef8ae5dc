package maintenance_test

import (
	"net/netip"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

var (
	here  = netip.MustParseAddrPort("10.0.0.1:80")
	there = netip.MustParseAddrPort("10.0.0.2:80")
	line  = maintenance.Machine{Name: "a", Address: here, BootID: "1"}
)

// with changes a copy of the line.
func with(f func(*maintenance.Machine)) maintenance.Machine {
	l := line
	f(&l)
	return l
}

var _ = ginkgo.DescribeTable("a VM is seen as well",
	func(l []maintenance.Machine, unwell, want bool) {
		s := maintenance.Observe(l, map[string]vm.VM{"a": {Name: "a", Address: here}}, map[string]bool{"a": unwell})
		gomega.Expect(s["a"].Healthy()).To(gomega.Equal(want))
	},
	ginkgo.Entry("when it is listed and answers", []maintenance.Machine{line}, false, true),
	ginkgo.Entry("not when requests found it unwell", []maintenance.Machine{line}, true, false),
	ginkgo.Entry("not when it is not listed", nil, false, false),
	ginkgo.Entry("not when it is leaving", []maintenance.Machine{with(func(l *maintenance.Machine) { l.Leaving = true })}, false, false),
	ginkgo.Entry("not when it is down", []maintenance.Machine{with(func(l *maintenance.Machine) { l.BootID = "" })}, false, false),
	ginkgo.Entry("not at another address", []maintenance.Machine{with(func(l *maintenance.Machine) { l.Address = there })}, false, false),
	ginkgo.Entry("not when one of two lines says that it is leaving",
		[]maintenance.Machine{line, with(func(l *maintenance.Machine) { l.Leaving = true })}, false, false),
	ginkgo.Entry("when both of two lines say that it runs", []maintenance.Machine{line, line}, false, true),
)

var _ = ginkgo.Describe("Plan", func() {
	ginkgo.It("counts what is due and says when the next VM is", func() {
		s := newFleetState(1, "cups")
		due, next := maintenance.Schedule(now, s, "cups")
		gomega.Expect([]any{due, next.After(now), next.Before(now.Add(shortRules.Period))}).To(gomega.Equal([]any{4, true, true}))
	})
})

var _ = ginkgo.Describe("a budget of a data centre", func() {
	ginkgo.It("keeps a wave from taking a second VM of it", func() {
		s := newFleetState(3, "cups")
		s.PoolStates["cups"] = maintenance.PoolState{Width: 3}
		p := s.Pools["cups"]
		p.MaxDownPerDataCentre = 1
		s.Pools["cups"] = p
		apply(s, maintenance.Decide(now, s))
		gomega.Expect(phases(s, "cups")[vm.Draining]).To(gomega.Equal(1))
	})
})
