package usage_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/usage"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

func TestUsage(t *testing.T) {
	suite.Run(t, "usage")
}

var _ = ginkgo.Describe("the ledger of workspaces", func() {
	cores := func(n int64) job.Size { return job.Size{CPU: n * 1000} }
	var l *usage.Ledger
	ginkgo.BeforeEach(func() {
		l = usage.New()
		d, err := workspace.New([]workspace.Definition{{Workspace: workspace.Workspace{Name: "a", Cap: job.Size{CPU: 4000}}}, {Workspace: workspace.Workspace{Name: "b"}}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		l.SetWorkspaces(d)
	})

	ginkgo.It("allows starts up to the cap, in the limited resources that a task needs", func() {
		l.Add("a", cores(3))
		gomega.Expect(l.Allows("a", cores(1))).To(gomega.BeTrue())
		gomega.Expect(l.Allows("a", cores(2))).To(gomega.BeFalse())
		gomega.Expect(l.Allows("a", job.Size{MemoryMB: 1 << 30})).To(gomega.BeTrue(), "memory is not limited")
		gomega.Expect(l.Allows("b", cores(1000))).To(gomega.BeTrue(), "no cap")
		gomega.Expect([]bool{l.CanHold("a", cores(4)), l.CanHold("a", cores(5))}).To(gomega.Equal([]bool{true, false}))
	})

	ginkgo.It("keeps the cap of a workspace that the configuration no longer has", func() {
		d, _ := workspace.New([]workspace.Definition{{Workspace: workspace.Workspace{Name: "b"}}})
		l.SetWorkspaces(d)
		gomega.Expect(l.Allows("a", cores(5))).To(gomega.BeFalse())
		l.SetWorkspaces(nil)
		gomega.Expect(l.Allows("a", cores(5))).To(gomega.BeTrue(), "workspaces are not in use")
	})

	ginkgo.It("counts a stray once, until a later listing does not show it", func() {
		x := usage.NewStrays(l)
		r := usage.Run{Task: job.Task{Job: "x"}, Number: 2}
		for range 2 {
			x.Add(r, usage.Stray{Workspace: "a", Size: cores(4), ConfirmedClock: 10})
		}
		x.Retain(nil, 9)
		gomega.Expect(l.Allows("a", cores(1))).To(gomega.BeFalse(), "the listing is older than the run")
		gomega.Expect(x.Retain(nil, 11)).To(gomega.BeTrue())
		gomega.Expect(l.Allows("a", cores(4))).To(gomega.BeTrue())
	})

	ginkgo.It("allows no start under a cap while the size of a run is unknown", func() {
		x := usage.NewStrays(l)
		x.Add(usage.Run{Number: 1}, usage.Stray{Workspace: "a", Unsized: true})
		gomega.Expect([]bool{l.Allows("a", cores(1)), l.Keeps("a", cores(1))}).To(gomega.Equal([]bool{false, false}))
		x.Clear()
		gomega.Expect(l.Allows("a", cores(1))).To(gomega.BeTrue())
	})
})
