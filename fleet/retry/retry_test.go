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
	ginkgo.Entry("one retry initially", 0, 1),
	ginkgo.Entry("one retry per ten successful requests", 40, 5),
	ginkgo.Entry("at most ten retries", 100000, 10),
)
