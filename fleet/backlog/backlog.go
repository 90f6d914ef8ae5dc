package backlog

import (
	"time"
)

// Demand is an amount of work with a deadline.
type Demand struct {
	// Due is the deadline.
	Due time.Time
	// Work is in core-seconds.
	Work float64
}

// Supply is the number of cores that are available: Now up to the time From, and Later after it.
type Supply struct {
	Now   float64
	Later float64
	From  time.Time
}

// CoreSeconds returns the core-seconds supplied between now and due.
func (s Supply) CoreSeconds(now, due time.Time) float64 {
	if !due.After(now) {
		return 0
	}
	if !due.After(s.From) {
		return s.Now * due.Sub(now).Seconds()
	}
	first := max(s.From.Sub(now), 0)
	return s.Now*first.Seconds() + s.Later*(due.Sub(now)-first).Seconds()
}

// Fits reports whether demand n can be met without making any of l late. Demands in l that are already due are
// ignored, since they only get the capacity that is left over.
func Fits(now time.Time, l []Demand, n Demand, s Supply) bool {
	return Shortfall(now, l, n, s) <= 0
}

// CompareDue orders demands by their deadlines.
func CompareDue(a, b Demand) int {
	return a.Due.Compare(b.Due)
}

// Shortfall returns the largest shortfall of supply, in core-seconds, at the deadline of n or a later one if n is
// accepted. It is 0 or negative if n fits. The demands l are sorted by their deadlines.
func Shortfall(now time.Time, l []Demand, n Demand, s Supply) float64 {
	sum, worst, added := 0.0, n.Work-s.CoreSeconds(now, n.Due), false
	for _, d := range l {
		if !d.Due.After(now) {
			continue
		}
		if !added && d.Due.After(n.Due) {
			sum, added = sum+n.Work, true
			worst = max(worst, sum-s.CoreSeconds(now, n.Due))
		}
		sum += d.Work
		if !d.Due.Before(n.Due) {
			worst = max(worst, sum-s.CoreSeconds(now, d.Due))
		}
	}
	if !added {
		worst = max(worst, sum+n.Work-s.CoreSeconds(now, n.Due))
	}
	return worst
}
