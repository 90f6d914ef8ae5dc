package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windows       = 4
	windowLength  = 2 * time.Second
	refreshPeriod = 100 * time.Millisecond
	lowest        = 10 * time.Microsecond
	highest       = 10 * time.Minute
	digits        = 1
	minSamples    = 5
)

// ServiceTimes learns the service times of the last seconds.
type ServiceTimes struct {
	expected  time.Duration
	histogram *hdrhistogram.WindowedHistogram
	rotated   time.Time
	refreshed time.Time
	samples   int64
	mean      time.Duration
	median    time.Duration
	high      time.Duration
	tail      time.Duration
}

// New makes an estimate that answers with the expected time until it has learned.
func New(expected time.Duration) *ServiceTimes {
	return &ServiceTimes{
		expected:  expected,
		histogram: hdrhistogram.NewWindowed(windows, lowest.Microseconds(), highest.Microseconds(), digits),
		mean:      expected,
		median:    expected,
		high:      2 * expected,
		tail:      2 * expected,
	}
}

// Observe learns one service time.
func (t *ServiceTimes) Observe(now time.Time, d time.Duration) {
	t.rotate(now)
	v := min(max(d, lowest), highest)
	_ = t.histogram.Current.RecordValue(v.Microseconds())
	t.samples++
	if t.samples == minSamples || now.Sub(t.refreshed) >= refreshPeriod {
		t.refresh(now)
	}
}

// Mean is the average service time.
func (t *ServiceTimes) Mean() time.Duration {
	return t.mean
}

// Median is the service time that half of the requests stay under.
func (t *ServiceTimes) Median() time.Duration {
	return t.median
}

// P95 is the service time that 95 of 100 requests stay under.
func (t *ServiceTimes) P95() time.Duration {
	return t.high
}

// P995 is the service time that 995 of 1000 requests stay under.
func (t *ServiceTimes) P995() time.Duration {
	return t.tail
}

// HasSamples says whether the estimate rests on observations.
func (t *ServiceTimes) HasSamples() bool {
	return t.samples >= minSamples
}

func (t *ServiceTimes) rotate(now time.Time) {
	if t.rotated.IsZero() {
		t.rotated = now
	}
	for i := 0; i < windows && now.Sub(t.rotated) >= windowLength; i++ {
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
	t.high = time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
	t.tail = time.Duration(h.ValueAtQuantile(99.5)) * time.Microsecond
}
