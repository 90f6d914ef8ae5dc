package forecast_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/forecast"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestForecast(t *testing.T) {
	suite.Run(t, "forecast")
}

var midnight = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// dailyPeak records n days with a demand of peak slots during the given hour and 5 slots at other times.
func dailyPeak(n, hour, peak int) *forecast.Profile {
	p := forecast.New()
	for m := range n * 24 * 60 {
		at := midnight.Add(time.Duration(m) * time.Minute)
		d := 5
		if at.Hour() == hour {
			d = peak
		}
		p.Observe(at, "cups", d)
	}
	return p
}

var _ = ginkgo.DescribeTable("PeakDemand",
	func(hour, minute int, ahead time.Duration, want int) {
		at := midnight.Add(10*24*time.Hour + time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute)
		gomega.Expect(dailyPeak(3, 9, 60).PeakDemand(at, "cups", ahead)).To(gomega.Equal(want))
	},
	ginkgo.Entry("long before", 6, 0, time.Hour, 5),
	ginkgo.Entry("shortly before", 8, 30, time.Hour, 60),
	ginkgo.Entry("during", 9, 40, time.Hour, 60),
	ginkgo.Entry("afterwards", 10, 10, time.Hour, 5),
)

var _ = ginkgo.Describe("a profile", func() {
	ginkgo.It("predicts no demand for an unknown pool", func() {
		gomega.Expect(forecast.New().PeakDemand(midnight, "cups", time.Hour)).To(gomega.BeZero())
	})

	ginkgo.It("predicts the same after a round trip through Marshal", func() {
		p := dailyPeak(2, 9, 60)
		b, err := p.Marshal()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		q := forecast.New()
		gomega.Expect(q.Unmarshal(b)).To(gomega.Succeed())
		at := midnight.Add(9 * time.Hour)
		gomega.Expect(q.PeakDemand(at, "cups", 0)).To(gomega.Equal(p.PeakDemand(at, "cups", 0)))
	})
})
