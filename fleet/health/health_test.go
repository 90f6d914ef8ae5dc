package health_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/health"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestHealth(t *testing.T) {
	suite.Run(t, "health")
}

var now = time.Unix(1_800_000_000, 0)

func repeat(e health.Event, n int) []health.Event {
	l := []health.Event{}
	for range n {
		l = append(l, e)
	}
	return l
}

var _ = ginkgo.DescribeTable("the state after events",
	func(l []health.Event, want health.State) {
		t := health.New(1)
		for _, e := range l {
			t.Observe(now, "a", e)
		}
		gomega.Expect(t.State("a")).To(gomega.Equal(want))
	},
	ginkgo.Entry("one failed connection is not enough", repeat(health.DialFailed, 1), health.Healthy),
	ginkgo.Entry("two failed connections in a row", repeat(health.DialFailed, 2), health.Unreachable),
	ginkgo.Entry("a response between failed connections",
		[]health.Event{health.DialFailed, health.Answered, health.DialFailed}, health.Healthy),
	ginkgo.Entry("refusals are not failures", repeat(health.Refused, 50), health.Healthy),
	ginkgo.Entry("five failures in a row", repeat(health.Failed, 5), health.Failing),
	ginkgo.Entry("three stalled new connections", repeat(health.NewConnectionStalled, 3), health.Silent),
	ginkgo.Entry("an announcement of leaving", repeat(health.LeaveAnnounced, 1), health.Leaving),
	ginkgo.Entry("four high latencies", repeat(health.HighLatency, 4), health.Slow),
)

var _ = ginkgo.Describe("the ejection limit", func() {
	ginkgo.It("prevents a bad deployment from ejecting the whole pool", func() {
		t := health.New(2)
		for _, n := range []string{"a", "b", "c", "d"} {
			for range 20 {
				t.Observe(now, n, health.Failed)
			}
		}
		gomega.Expect(t.Unhealthy()).To(gomega.Equal(map[string]health.State{"a": health.Failing, "b": health.Failing}))
	})

	ginkgo.It("does not apply to unreachable VMs", func() {
		t := health.New(1)
		for _, n := range []string{"a", "b", "c"} {
			t.Observe(now, n, health.DialFailed)
			t.Observe(now, n, health.DialFailed)
		}
		gomega.Expect(t.Unhealthy()).To(gomega.HaveLen(3))
	})

	ginkgo.It("reports a withheld transition once", func() {
		t := health.New(0)
		reported := 0
		for range 20 {
			if c, ok := t.Observe(now, "a", health.Failed); ok && c.Withheld {
				reported++
			}
		}
		gomega.Expect(reported).To(gomega.Equal(1))
	})
})

var _ = ginkgo.Describe("probing", func() {
	ginkgo.It("makes a VM healthy after two successful probes in a row", func() {
		t := health.New(1)
		t.Observe(now, "a", health.DialFailed)
		t.Observe(now, "a", health.DialFailed)
		steps := []any{}
		at := now
		for _, ok := range []bool{false, true, true} {
			gomega.Expect(t.DueProbes(at)).To(gomega.BeEmpty())
			at = at.Add(500 * time.Millisecond)
			steps = append(steps, t.DueProbes(at), t.State("a"))
			t.ObserveProbe(at, "a", ok)
		}
		steps = append(steps, t.State("a"))
		due := []string{"a"}
		gomega.Expect(steps).To(gomega.Equal([]any{
			due, health.Unreachable, due, health.Unreachable, due, health.Unreachable, health.Healthy,
		}))
	})
})
