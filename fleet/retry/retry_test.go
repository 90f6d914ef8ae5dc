package retry_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/retry"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestRetry(t *testing.T) {
	suite.Run(t, "retry")
}

var _ = ginkgo.DescribeTable("a budget allows",
	func(succeeded, want int) {
		b := retry.New()
		for range succeeded {
			b.Deposit()
		}
		n := 0
		for b.TryWithdraw() {
			n++
		}
		gomega.Expect(n).To(gomega.Equal(want))
	},
	ginkgo.Entry("one retry at first", 0, 1),
	ginkgo.Entry("a tenth of what succeeded", 40, 5),
	ginkgo.Entry("ten at once at most", 100000, 10),
)
