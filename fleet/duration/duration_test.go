package duration_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/duration"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestDuration(t *testing.T) {
	suite.Run(t, "duration")
}

var (
	now   = time.Unix(1_800_000_000, 0)
	small = duration.KindOf("plans", job.Size{CPU: 1500})
	large = duration.KindOf("plans", job.Size{CPU: 9000})
)

// learn records n tasks that take ratio times as long as declared, of which one in 33 takes seven times as long as that.
func learn(x *duration.Distributions, k duration.Kind, n, servers int, ratio float64) {
	for i := range n {
		r := ratio
		if i%33 == 32 {
			r *= 7
		}
		x.Record(k, fmt.Sprintf("s%d", i%servers), r, now)
	}
}

var _ = ginkgo.Describe("distributions of durations", func() {
	ginkgo.It("fall back from the size class to the queue and to the declared duration", func() {
		x := duration.New()
		gomega.Expect(x.Quantile(large, time.Second, 0, 0.9)).To(gomega.Equal(time.Second))
		learn(x, small, 300, 10, 2)
		gomega.Expect(x.Quantile(large, time.Second, 0, 0.5)).To(gomega.BeNumerically("~", 2*time.Second, 130*time.Millisecond))
		learn(x, large, 300, 10, 0.5)
		gomega.Expect(x.Quantile(large, time.Second, 0, 0.5)).To(gomega.BeNumerically("~", 500*time.Millisecond, 40*time.Millisecond))
	})
	// A task that has outlasted the others was once taken to end at once, so that room was promised that did not come.
	ginkgo.It("foresee more for a task that has outlasted most others", func() {
		x := duration.New()
		learn(x, small, 660, 10, 1)
		fresh, late := x.Remaining(small, time.Second, 0), x.Remaining(small, time.Second, 1500*time.Millisecond)
		gomega.Expect(fresh).To(gomega.BeNumerically("~", 1180*time.Millisecond, 80*time.Millisecond))
		gomega.Expect(late).To(gomega.BeNumerically("~", 5500*time.Millisecond, 400*time.Millisecond))
		gomega.Expect(x.Remaining(small, time.Second, 10*time.Second)).To(gomega.BeNumerically(">", 4*time.Second))
	})
	ginkgo.It("forget what is older than two windows", func() {
		x := duration.New()
		learn(x, small, 2000, 10, 1)
		learn(x, small, 2100, 10, 3)
		gomega.Expect(x.Quantile(small, time.Second, 0, 0.05)).To(gomega.BeNumerically("~", 3*time.Second, 200*time.Millisecond))
	})
	// A server that ends its tasks at once with a false time reports many times as often as the others.
	ginkgo.It("bound the influence of a server that reports false times ever so often", func() {
		x := duration.New()
		for i := range 1900 {
			x.Record(small, fmt.Sprintf("s%d", i%19), 1, now)
			for range 20 {
				x.Record(small, "false", 0.01, now)
			}
		}
		gomega.Expect(x.Quantile(small, time.Second, 0, 0.15)).To(gomega.BeNumerically("~", time.Second, 70*time.Millisecond))
	})
	ginkgo.It("are bounded in number", func() {
		x := duration.New()
		for i := range 3000 {
			x.Record(duration.KindOf(fmt.Sprint(i), job.Size{}), "s", 1, now)
		}
		gomega.Expect(len(x.Kinds())).To(gomega.BeNumerically("<=", 512))
	})
	ginkgo.It("are passed on, without those that are malformed", func() {
		x, y := duration.New(), duration.New()
		learn(x, small, 300, 10, 2)
		m := x.Export(now)
		m.Distributions = append(m.Distributions, &schema.DurationDistribution{Queue: "bad", Histogram: []byte("none")})
		gomega.Expect(y.Restore(m, now)).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(&duration.MalformedError{})))
		gomega.Expect(y.Quantile(small, time.Second, 0, 0.5)).To(gomega.Equal(x.Quantile(small, time.Second, 0, 0.5)))
		gomega.Expect(y.Export(now).Distributions).To(gomega.HaveLen(2))
	})
})

// FuzzRestore checks that no stored record ends the process of the owner that reads it.
func FuzzRestore(f *testing.F) {
	x := duration.New()
	learn(x, small, 300, 10, 2)
	f.Add("plans", int32(1), x.Export(now).Distributions[0].Histogram)
	f.Fuzz(func(t *testing.T, queue string, class int32, b []byte) {
		y := duration.New()
		errs := y.Restore(&schema.DurationRecord{Distributions: []*schema.DurationDistribution{{Queue: queue, SizeClass: class, Histogram: b}}}, now)
		if len(errs) == 0 && y.Quantile(duration.Kind{Queue: queue, SizeClass: int(class)}, time.Second, 0, 0.9) < 0 {
			t.Error("a restored distribution has a negative quantile")
		}
	})
}

func BenchmarkExport(b *testing.B) {
	x := duration.New()
	for i := range 400 {
		learn(x, duration.KindOf(fmt.Sprint(i), job.Size{}), 300, 10, 2)
	}
	b.ReportAllocs()
	for range b.N {
		learn(x, duration.KindOf("1", job.Size{}), 30, 10, 2)
		x.Export(now)
	}
}
