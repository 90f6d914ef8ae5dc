package processor_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/metrics"
	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestProcessor(t *testing.T) {
	suite.Run(t, "processor")
}

// An owner that was out of processor for seconds said so in no line of its log.
var _ = ginkgo.It("a process at the limit of its cores says what it spends them on", func() {
	a, m, used := processor.New(), metrics.New("e-1"), time.Duration(0)
	defer m.Close()
	r := processor.NewReporter(a, m, 0.8, processor.WithUsage(func() time.Duration { return used }))
	now := time.Unix(1_800_000_000, 0)
	gomega.Expect(r.Report(now)).To(gomega.BeEmpty())
	report := func(d time.Duration) string {
		a.Add(processor.Tick, 20*time.Millisecond)
		a.Add(processor.Pass, 200*time.Millisecond)
		a.Add(processor.Pass, 100*time.Millisecond)
		now, used = now.Add(time.Second), used+d
		return r.Report(now)
	}
	gomega.Expect(report(700 * time.Millisecond)).To(gomega.BeEmpty())
	gomega.Expect(report(790 * time.Millisecond)).To(gomega.Equal(
		"this process uses 0.79 of its 0.80 cores; pass 2 in 300ms, longest 200ms; tick 1 in 20ms, longest 20ms",
	))
})

var _ = ginkgo.It("the processor time of this process grows", func() {
	before := processor.Usage()
	gomega.Eventually(processor.Usage, "5s", time.Microsecond).Should(gomega.BeNumerically(">", before))
})
