package duration

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
)

const (
	// unitsPerRatio is the number of histogram units in a ratio of 1, maxRatio the largest ratio that is told apart.
	unitsPerRatio = 1000
	maxRatio      = 64
	// significantDigits of 1 gives values to within a sixteenth, in 1.8 KB.
	significantDigits = 1
	// windowSamples and windowTime end a window, of which two count: old samples fade within two windows. A window that has
	// fewer than minSamples goes on.
	windowSamples = 1000
	windowTime    = time.Minute
	// minSamples is the number of samples from which a distribution is used.
	minSamples = 30
	// reporterSlots is the number of counters of samples by server; servers share counters where there are more.
	reporterSlots = 64
	// freeReports is the number of samples in a window that each server may add. Beyond it a server may add twice as many as
	// the mean of the servers that have reported, so that one with false and short times does not outnumber the others.
	freeReports        = 4
	maxReportsOverMean = 2
	// overrunShare is what remains of a task that has run for longer than all known ones, as a share of that time.
	overrunShare = 0.5
)

// distribution is the distribution of the ratios of similar tasks in the last two windows.
type distribution struct {
	current, previous *hdrhistogram.Histogram
	windowBegan       time.Time
	recordedAt        time.Time
	reports           [reporterSlots]uint16
	reporters         int
	shape             []point
	// unshaped counts the samples since the shape was computed, unencoded those since encoded was.
	unshaped  int
	unencoded int
	encoded   []byte
}

// point is a value of a distribution, with the number and the sum of the samples from it upwards.
type point struct {
	value, count, sum float32
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRatio*unitsPerRatio, significantDigits)
}

func newDistribution(now time.Time) *distribution {
	return &distribution{current: newHistogram(), previous: newHistogram(), windowBegan: now, recordedAt: now}
}

// record adds a sample unless its server has added more than its share in this window.
func (d *distribution) record(server string, ratio float64, now time.Time) {
	d.rotate(now)
	n := &d.reports[xxhash.Sum64String(server)%reporterSlots]
	if *n >= freeReports && int(*n)*d.reporters >= maxReportsOverMean*int(d.current.TotalCount()) {
		return
	}
	if *n == 0 {
		d.reporters++
	}
	*n++
	// The value is within the range of the histogram, so that recording it cannot fail.
	_ = d.current.RecordValue(int64(min(max(ratio*unitsPerRatio, 1), maxRatio*unitsPerRatio)))
	d.recordedAt = now
	d.unshaped++
	d.unencoded++
}

// rotate begins a new window if the current one is over.
func (d *distribution) rotate(now time.Time) {
	n := d.current.TotalCount()
	if n < windowSamples && (n < minSamples || now.Sub(d.windowBegan) < windowTime) {
		return
	}
	d.current, d.previous = d.previous, d.current
	d.current.Reset()
	d.windowBegan, d.reports, d.reporters = now, [reporterSlots]uint16{}, 0
}

func (d *distribution) samples() int {
	return int(d.current.TotalCount() + d.previous.TotalCount())
}

func (d *distribution) merged() *hdrhistogram.Histogram {
	h := newHistogram()
	h.Merge(d.previous)
	h.Merge(d.current)
	return h
}

// points returns the shape of the distribution, at most a sixteenth of the samples old.
func (d *distribution) points() []point {
	if d.shape != nil && d.unshaped*16 <= d.samples() {
		return d.shape
	}
	d.unshaped, d.shape = 0, d.shape[:0]
	for _, b := range d.merged().Distribution() {
		if b.Count > 0 {
			v := float32(b.From+b.To) / 2 / unitsPerRatio
			d.shape = append(d.shape, point{v, float32(b.Count), float32(b.Count) * v})
		}
	}
	for i := len(d.shape) - 2; i >= 0; i-- {
		d.shape[i].count += d.shape[i+1].count
		d.shape[i].sum += d.shape[i+1].sum
	}
	return d.shape
}

// above returns the points with larger values than t.
func above(l []point, t float64) []point {
	return l[sort.Search(len(l), func(i int) bool { return float64(l[i].value) > t }):]
}

// quantile returns the q-quantile of the ratios of tasks that have run for t.
func quantile(l []point, t, q float64) float64 {
	l = above(l, t)
	if len(l) == 0 {
		return t * (1 + overrunShare)
	}
	rank := float32(1-q) * l[0].count
	i := sort.Search(len(l)-1, func(i int) bool { return l[i+1].count <= rank })
	return float64(l[i].value)
}

// remainingMean returns the mean of what remains of tasks that have run for t.
func remainingMean(l []point, t float64) float64 {
	l = above(l, t)
	if len(l) == 0 {
		return t * overrunShare
	}
	return float64(l[0].sum/l[0].count) - t
}
