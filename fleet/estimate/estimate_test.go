package estimate_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/estimate"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestEstimate(t *testing.T) {
	suite.Run(t, "estimate")
}

var now = time.Unix(1_800_000_000, 0)

func near(d time.Duration) gomega.OmegaMatcher {
	return gomega.BeNumerically("~", d, d/8)
}

var _ = ginkgo.Describe("ServiceTimes", func() {
	ginkgo.It("returns the expected time until it has enough samples", func() {
		t := estimate.New(time.Second)
		t.Observe(now, time.Millisecond)
		gomega.Expect([]any{t.Mean(), t.HasSamples()}).To(gomega.Equal([]any{time.Second, false}))
	})

	ginkgo.It("follows the samples instead of the expected time", func() {
		t := estimate.New(time.Second)
		for i := range 100 {
			t.Observe(now.Add(time.Duration(i)*10*time.Millisecond), 20*time.Millisecond)
		}
		gomega.Expect(t.Mean()).To(near(20 * time.Millisecond))
	})

	ginkgo.It("drops samples after some seconds", func() {
		t := estimate.New(time.Second)
		for i := range 200 {
			t.Observe(now.Add(time.Duration(i)*10*time.Millisecond), 20*time.Millisecond)
		}
		for i := range 1000 {
			t.Observe(now.Add(2*time.Second+time.Duration(i)*10*time.Millisecond), 200*time.Millisecond)
		}
		gomega.Expect(t.Median()).To(near(200 * time.Millisecond))
	})
})
