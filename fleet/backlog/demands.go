package backlog

import (
	"slices"
	"sort"
	"time"
)

// Demands are demands in the order of their deadlines, with the sums of their work, so that a decision looks only at those that are due later
// than the new one. The zero value has none.
type Demands struct {
	sorted []Demand
	// sums has the work of the first demands: of none, of one and so on.
	sums []float64
}

// NewDemands returns the demands of the list, which it sorts.
func NewDemands(l []Demand) *Demands {
	slices.SortFunc(l, CompareDue)
	x := &Demands{sorted: l}
	x.sum(0)
	return x
}

// sum updates the sums from the demand with the index on.
func (x *Demands) sum(from int) {
	if len(x.sums) == 0 {
		x.sums = append(x.sums, 0)
	}
	x.sums = x.sums[:from+1]
	for _, d := range x.sorted[from:] {
		x.sums = append(x.sums, x.sums[len(x.sums)-1]+d.Work)
	}
}

// Len returns the number of demands.
func (x *Demands) Len() int {
	return len(x.sorted)
}

// List returns the demands in the order of their deadlines. The caller must not change them.
func (x *Demands) List() []Demand {
	return x.sorted
}

// Add adds a demand.
func (x *Demands) Add(d Demand) {
	i := x.firstAfter(d.Due)
	x.sorted = slices.Insert(x.sorted, i, d)
	x.sum(i)
}

// Clone returns a copy.
func (x *Demands) Clone() *Demands {
	return &Demands{sorted: slices.Clone(x.sorted), sums: slices.Clone(x.sums)}
}

// firstAfter returns the index of the first demand that is due after t.
func (x *Demands) firstAfter(t time.Time) int {
	return sort.Search(len(x.sorted), func(i int) bool { return x.sorted[i].Due.After(t) })
}

// DueAfter returns the number of demands that are due after t, which is how many Shortfall looks at for a demand that is due then.
func (x *Demands) DueAfter(t time.Time) int {
	return len(x.sorted) - x.firstAfter(t)
}

// Shortfall returns what the function of the same name does for the demands.
func (x *Demands) Shortfall(now time.Time, n Demand, s Supply) float64 {
	if len(x.sorted) == 0 {
		return n.Work - s.CoreSeconds(now, n.Due)
	}
	open, later := x.firstAfter(now), x.firstAfter(n.Due)
	worst := n.Work - s.CoreSeconds(now, n.Due)
	if later > open {
		worst += x.sums[later] - x.sums[open]
	}
	for i := max(open, later); i < len(x.sorted); i++ {
		worst = max(worst, x.sums[i+1]-x.sums[open]+n.Work-s.CoreSeconds(now, x.sorted[i].Due))
	}
	return worst
}
