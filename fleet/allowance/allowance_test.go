package allowance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/allowance"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

func TestAllowance(t *testing.T) {
	suite.Run(t, "allowance")
}

// Load: one workspace submits some times its weight in jobs a second, and submits again what was refused.
var _ = ginkgo.Describe("the allowance of a workspace", func() {
	now := time.Unix(1_800_000_000, 0)
	within := func(a *allowance.Allowances, w *workspace.Workspace, from, n int, at time.Time) int {
		k := 0
		for i := range n {
			if !a.Exceeded(w, strconv.Itoa(from+i), at) {
				k++
			}
		}
		return k
	}

	ginkgo.It("is its weight in jobs a second, with a burst of one second's worth", func() {
		a, w := allowance.New(time.Minute), &workspace.Workspace{Name: "a", Weight: 3}
		gomega.Expect(within(a, w, 0, 10, now)).To(gomega.Equal(3))
		gomega.Expect(within(a, w, 10, 10, now.Add(time.Second))).To(gomega.Equal(3))
		w.Weight = 6
		gomega.Expect(within(a, w, 20, 10, now.Add(2*time.Second))).To(gomega.BeNumerically("<=", 6))
		gomega.Expect(within(a, w, 30, 10, now.Add(3*time.Second))).To(gomega.Equal(6))
		gomega.Expect(within(a, &workspace.Workspace{Name: "none"}, 40, 3, now)).To(gomega.BeZero())
	})

	ginkgo.It("counts a job once, and lets one that exceeded it use later room", func() {
		a, w := allowance.New(time.Minute), &workspace.Workspace{Name: "a", Weight: 1}
		gomega.Expect(within(a, w, 0, 2, now)).To(gomega.Equal(1))
		gomega.Expect(within(a, w, 0, 1, now)).To(gomega.Equal(1), "the same job")
		gomega.Expect(within(a, w, 0, 2, now.Add(time.Second))).To(gomega.Equal(2))
	})
})
