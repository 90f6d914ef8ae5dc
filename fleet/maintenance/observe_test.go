package maintenance_test

import (
	"net/netip"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

var (
	here   = netip.MustParseAddrPort("10.0.0.1:80")
	there  = netip.MustParseAddrPort("10.0.0.2:80")
	listed = maintenance.ListedVM{Name: "a", Address: here, BootID: "1"}
)

// with returns a modified copy of listed.
func with(f func(*maintenance.ListedVM)) maintenance.ListedVM {
	l := listed
	f(&l)
	return l
}

var _ = ginkgo.DescribeTable("a VM is healthy",
	func(l []maintenance.ListedVM, unhealthy, want bool) {
		s := maintenance.Observe(l, map[string]vm.VM{"a": {Name: "a", Address: here}}, map[string]bool{"a": unhealthy})
		gomega.Expect(s["a"].Healthy()).To(gomega.Equal(want))
	},
	ginkgo.Entry("when it is listed and reachable", []maintenance.ListedVM{listed}, false, true),
	ginkgo.Entry("not when requests found it unhealthy", []maintenance.ListedVM{listed}, true, false),
	ginkgo.Entry("not when it is not listed", nil, false, false),
	ginkgo.Entry("not when it is leaving", []maintenance.ListedVM{with(func(l *maintenance.ListedVM) { l.Leaving = true })}, false, false),
	ginkgo.Entry("not when it is down", []maintenance.ListedVM{with(func(l *maintenance.ListedVM) { l.BootID = "" })}, false, false),
	ginkgo.Entry("not at another address", []maintenance.ListedVM{with(func(l *maintenance.ListedVM) { l.Address = there })}, false, false),
	ginkgo.Entry("not when one of two records shows it as leaving",
		[]maintenance.ListedVM{listed, with(func(l *maintenance.ListedVM) { l.Leaving = true })}, false, false),
	ginkgo.Entry("when both of two records show it as running", []maintenance.ListedVM{listed, listed}, false, true),
)

var _ = ginkgo.Describe("Schedule", func() {
	ginkgo.It("counts the VMs that are due and returns when the next one is", func() {
		s := newFleetState(1, "cups")
		due, next := maintenance.Schedule(now, s, "cups")
		gomega.Expect([]any{due, next.After(now), next.Before(now.Add(shortRules.Period))}).To(gomega.Equal([]any{4, true, true}))
	})
})

var _ = ginkgo.Describe("a data centre budget", func() {
	ginkgo.It("keeps maintenance from taking a second VM of the data centre down", func() {
		s := newFleetState(3, "cups")
		s.PoolStates["cups"] = maintenance.PoolState{Width: 3}
		p := s.Pools["cups"]
		p.MaxDownPerDataCentre = 1
		s.Pools["cups"] = p
		apply(s, maintenance.Decide(now, s))
		gomega.Expect(phases(s, "cups")[vm.Draining]).To(gomega.Equal(1))
	})
})
