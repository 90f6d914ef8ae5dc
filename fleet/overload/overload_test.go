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

var _ = ginkgo.Describe("the throughput of a process", func() {
	const step = 200 * time.Millisecond
	// observe lets a process of half a core, which needs a tenth of a core and 0.2 ms a unit, work at the rate for a time.
	observe := func(t *overload.Throughput, rate float64, d time.Duration) {
		for range int(d / step) {
			n := min(rate, (0.5-0.1)/0.0002)
			t.Observe(time.Duration((0.1+0.0002*n)*float64(step)), int64(n*step.Seconds()), step)
		}
	}
	ginkgo.It("is learned from calm and busy times", func() {
		t := overload.NewThroughput(0.5)
		observe(&t, 100, 2*time.Second)
		gomega.Expect(t.Rate()).To(gomega.BeZero(), "one rate tells nothing")
		observe(&t, 1000, 2*time.Second)
		gomega.Expect(t.Rate()).To(gomega.BeNumerically("~", (0.45-0.1)/0.0002, 50))
		gomega.Expect(t.Busy()).To(gomega.BeFalse())
		observe(&t, 5000, time.Second)
		gomega.Expect(t.Busy()).To(gomega.BeTrue())
		observe(&t, 100, time.Second)
		gomega.Expect(t.Busy()).To(gomega.BeFalse())
	})
	ginkgo.It("follows what a unit costs", func() {
		t := overload.NewThroughput(0.5)
		observe(&t, 100, 5*time.Second)
		observe(&t, 1500, 5*time.Second)
		for range 300 {
			t.Observe(time.Duration(0.4*float64(step)), int64(500*step.Seconds()), step)
			t.Observe(time.Duration(0.16*float64(step)), int64(100*step.Seconds()), step)
		}
		gomega.Expect(t.Rate()).To(gomega.BeNumerically("~", (0.45-0.1)/0.0006, 60))
	})
	ginkgo.It("is not known where the samples contradict it", func() {
		t := overload.NewThroughput(0.5)
		observe(&t, 100, 5*time.Second)
		for range 50 {
			t.Observe(0, 1000, step)
		}
		gomega.Expect(t.Rate()).To(gomega.BeZero())
	})
})
