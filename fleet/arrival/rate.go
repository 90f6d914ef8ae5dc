package arrival

import (
	"math"
	"slices"
	"time"
)

const (
	// fastTimeConstant and slowTimeConstant are the times in which the averages decay to 1/e.
	fastTimeConstant = 1300 * time.Millisecond
	slowTimeConstant = 3 * time.Second
	// maxRise bounds the extrapolated rise as a share of the fast average, since few arrivals make it uncertain.
	maxRise = 0.7
	// confidence is the number of standard deviations that a count may differ from its mean. At 2, a count lies outside of
	// either bound in one window of 40.
	confidence = 2.0
)

// windows are the lengths of the windows in which arrivals are counted. A rate of 4 / window is recognised as such if no
// job arrives, so that the longest one tells rates from 2 jobs per second.
var windows = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}

// Rate estimates the arrival rate of a queue. It is not safe for concurrent use.
type Rate struct {
	// fast and slow are moving averages in jobs per second, as of updated.
	fast, slow float64
	updated    time.Time
	// recent holds the arrivals within the longest window, oldest first. Arrivals are counted since the time since.
	recent []time.Time
	since  time.Time
}

// New returns a rate that counts arrivals from now on.
func New(now time.Time) *Rate {
	return &Rate{updated: now, since: now}
}

// Restore returns a rate with the averages in jobs per second that another process had at the time at. It counts arrivals
// from now on.
func Restore(fast, slow float64, at, now time.Time) *Rate {
	return &Rate{fast: fast, slow: slow, updated: at, since: now}
}

// Clone returns a copy.
func (r *Rate) Clone() *Rate {
	c := *r
	c.recent = slices.Clone(r.recent)
	return &c
}

// Record counts one arrival.
func (r *Rate) Record(now time.Time) {
	r.decay(now)
	r.fast += 1 / fastTimeConstant.Seconds()
	r.slow += 1 / slowTimeConstant.Seconds()
	r.recent = append(r.recent, now)
}

// Averages returns the fast and the slow moving average in jobs per second.
func (r *Rate) Averages(now time.Time) (fast, slow float64) {
	r.decay(now)
	return r.fast, r.slow
}

// Recent returns the number of arrivals that are kept for the windows.
func (r *Rate) Recent() int {
	return len(r.recent)
}

// Forecast returns the rate in jobs per second that is expected after the duration ahead, if the present rise goes on.
func (r *Rate) Forecast(now time.Time, ahead time.Duration) float64 {
	r.decay(now)
	slope := (r.fast - r.slow) / (slowTimeConstant - fastTimeConstant).Seconds()
	rise := min(max(slope, 0)*ahead.Seconds(), r.fast*maxRise)
	least, most := r.bounds(now)
	return min(max(r.fast+rise, least), most)
}

// bounds returns the lowest and the highest rate that explain the counts of all windows. The square root of a count that
// varies at random has a standard deviation of one half, whatever its mean. Where the windows contradict each other, the
// rate has just changed; the bound of the shorter window, which has seen less of the past, goes first.
func (r *Rate) bounds(now time.Time) (least, most float64) {
	most = math.Inf(1)
	for _, w := range windows {
		if now.Sub(r.since) < w {
			break
		}
		i, _ := slices.BinarySearchFunc(r.recent, now.Add(-w), time.Time.Compare)
		n := float64(len(r.recent) - i)
		low := max(math.Sqrt(n)-confidence/2, 0)
		high := math.Sqrt(n+1) + confidence/2
		least = min(max(least, low*low/w.Seconds()), most)
		most = max(min(most, high*high/w.Seconds()), least)
	}
	return least, most
}

// decay brings the averages up to date and forgets the arrivals before the longest window.
func (r *Rate) decay(now time.Time) {
	d := max(now.Sub(r.updated).Seconds(), 0)
	r.updated = now
	r.fast *= math.Exp(-d / fastTimeConstant.Seconds())
	r.slow *= math.Exp(-d / slowTimeConstant.Seconds())
	i, _ := slices.BinarySearchFunc(r.recent, now.Add(-windows[len(windows)-1]), time.Time.Compare)
	r.recent = r.recent[i:]
}
