package backlog

import (
	"slices"
	"time"
)

// Demand is work with the time by which it should be done.
type Demand struct {
	Due time.Time
	// Work is in core-seconds.
	Work float64
}

// Supply is how many cores there are now, and from a time on.
type Supply struct {
	Now   float64
	Later float64
	From  time.Time
}

// CoreSeconds is how many core-seconds there are up to a time.
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

// Fits says whether one more demand can be met without making any other late. Demands that are due already do
// not count, since they wait for what is left over.
func Fits(now time.Time, l []Demand, n Demand, s Supply) bool {
	return Shortfall(now, l, n, s) <= 0
}

// Shortfall is by how many core-seconds the supply falls short at worst if the demand is taken; negative if it does not.
func Shortfall(now time.Time, l []Demand, n Demand, s Supply) float64 {
	all := make([]Demand, 0, len(l)+1)
	for _, d := range l {
		if d.Due.After(now) {
			all = append(all, d)
		}
	}
	all = append(all, n)
	slices.SortFunc(all, func(a, b Demand) int { return a.Due.Compare(b.Due) })
	sum, worst := 0.0, n.Work-s.CoreSeconds(now, n.Due)
	for _, d := range all {
		sum += d.Work
		if !d.Due.Before(n.Due) {
			worst = max(worst, sum-s.CoreSeconds(now, d.Due))
		}
	}
	return worst
}
