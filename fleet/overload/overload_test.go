package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/overload"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestOverload(t *testing.T) {
	suite.Run(t, "overload")
}

const interval = 100 * time.Millisecond

// replay observes actions with the given delays and returns after how many of them the process was first overloaded, and
// after how many more it no longer was; 0 if never.
func replay(delays ...time.Duration) (from, until int) {
	d := &overload.Detector{}
	now := time.Unix(1_800_000_000, 0)
	d.Observe(interval, now)
	for i, x := range delays {
		now = now.Add(interval + x)
		d.Observe(interval, now)
		switch {
		case d.Overloaded() && from == 0:
			from = i + 1
		case !d.Overloaded() && from > 0 && until == 0:
			until = i + 1 - from
		}
	}
	return from, until
}

func repeat(n int, l ...time.Duration) []time.Duration {
	r := []time.Duration{}
	for range n {
		r = append(r, l...)
	}
	return r
}

var _ = ginkgo.Describe("a process", func() {
	const ms = time.Millisecond

	ginkgo.It("that keeps up is not overloaded", func() {
		from, _ := replay(repeat(50, 5*ms, 30*ms)...)
		gomega.Expect(from).To(gomega.BeZero())
	})
	ginkgo.It("whose core gets its share in slices of 100 ms is not overloaded", func() {
		from, _ := replay(repeat(50, 90*ms, 0)...)
		gomega.Expect(from).To(gomega.BeZero())
	})
	ginkgo.It("that is late by 300 ms for a second is overloaded, and recovers within a second", func() {
		from, until := replay(append(repeat(10, 300*ms), repeat(30, 0)...)...)
		gomega.Expect(from).To(gomega.BeNumerically("<=", 5))
		gomega.Expect(until).To(gomega.BeNumerically("~", 15, 5))
	})
	ginkgo.It("that was frozen for 8 seconds is overloaded for less than a second", func() {
		_, until := replay(append([]time.Duration{8 * time.Second}, repeat(30, 0)...)...)
		gomega.Expect(until).To(gomega.BeNumerically("<", 10))
	})
})

var _ = ginkgo.It("refused callers return spread over three seconds", func() {
	n := map[time.Duration]int{}
	for i := range 300 {
		n[overload.RetryAfter(fmt.Sprintf("%016x", i))]++
	}
	gomega.Expect(n).To(gomega.HaveLen(3))
	for _, c := range n {
		gomega.Expect(c).To(gomega.BeNumerically("~", 100, 40))
	}
})
