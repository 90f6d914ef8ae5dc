package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowCount       = 4
	windowLength      = 2 * time.Second
	refreshInterval   = 100 * time.Millisecond
	minServiceTime    = 10 * time.Microsecond
	maxServiceTime    = 10 * time.Minute
	significantDigits = 1
	minSamples        = 5
)

// ServiceTimes estimates service times from the samples of the last windowCount windows.
type ServiceTimes struct {
	expected  time.Duration
	histogram *hdrhistogram.WindowedHistogram
	rotated   time.Time
	refreshed time.Time
	samples   int64
	mean      time.Duration
	median    time.Duration
	p95       time.Duration
	p995      time.Duration
}

// New creates an estimate that is based on the expected time until it has minSamples samples.
func New(expected time.Duration) *ServiceTimes {
	return &ServiceTimes{
		expected:  expected,
		histogram: hdrhistogram.NewWindowed(windowCount, minServiceTime.Microseconds(), maxServiceTime.Microseconds(), significantDigits),
		mean:      expected,
		median:    expected,
		p95:       2 * expected,
		p995:      2 * expected,
	}
}

// Observe adds a sample. The estimates are refreshed at the minSamples-th sample and then at most once per refreshInterval.
func (t *ServiceTimes) Observe(now time.Time, d time.Duration) {
	t.rotate(now)
	v := min(max(d, minServiceTime), maxServiceTime)
	_ = t.histogram.Current.RecordValue(v.Microseconds())
	t.samples++
	if t.samples == minSamples || now.Sub(t.refreshed) >= refreshInterval {
		t.refresh(now)
	}
}

// Mean returns the mean service time.
func (t *ServiceTimes) Mean() time.Duration {
	return t.mean
}

// Median returns the median service time.
func (t *ServiceTimes) Median() time.Duration {
	return t.median
}

// P95 returns the 95th percentile of the service time.
func (t *ServiceTimes) P95() time.Duration {
	return t.p95
}

// P995 returns the 99.5th percentile of the service time.
func (t *ServiceTimes) P995() time.Duration {
	return t.p995
}

// HasSamples reports whether the estimate is based on samples instead of the expected time.
func (t *ServiceTimes) HasSamples() bool {
	return t.samples >= minSamples
}

func (t *ServiceTimes) rotate(now time.Time) {
	if t.rotated.IsZero() {
		t.rotated = now
	}
	for i := 0; i < windowCount && now.Sub(t.rotated) >= windowLength; i++ {
		t.histogram.Rotate()
		t.rotated = t.rotated.Add(windowLength)
	}
	if now.Sub(t.rotated) >= windowLength {
		t.rotated = now
	}
}

func (t *ServiceTimes) refresh(now time.Time) {
	t.refreshed = now
	if !t.HasSamples() {
		return
	}
	h := t.histogram.Merge()
	if h.TotalCount() == 0 {
		return
	}
	t.mean = time.Duration(h.Mean()) * time.Microsecond
	t.median = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	t.p95 = time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
	t.p995 = time.Duration(h.ValueAtQuantile(99.5)) * time.Microsecond
}
