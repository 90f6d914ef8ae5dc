package fairshare

import (
	"cmp"
	"slices"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// minWeight is the weight of a workspace whose configured weight is lower. Without a weight it gets what is left over.
const minWeight = 1e-6

// claim is what a workspace asks of a pool: its demand as a fraction of the pool in the dominant resource, and the use of
// each resource relative to that one.
type claim struct {
	name           string
	weight, demand float64
	profile        [3]float64
}

func newClaim(name string, weight float64, rate, capacity job.Amount) claim {
	c := claim{name: name, weight: max(weight, minWeight), demand: dominant(rate, capacity)}
	if c.demand == 0 {
		return c
	}
	available := capacity.Resources()
	for i, v := range rate.Resources() {
		if available[i] > 0 {
			c.profile[i] = v / available[i] / c.demand
		}
	}
	return c
}

// allocated returns the claim's allocation at a level, which is the allocation for each unit of weight.
func (c claim) allocated(level float64) float64 {
	return min(c.demand, c.weight*level)
}

// divide returns the weighted max-min fair allocations of the claims as fractions of the pool in their dominant resource. The
// level rises until a resource is used up; the claims that need it stay as they are, and the level of the others rises on.
func divide(l []claim) map[string]float64 {
	fair := make(map[string]float64, len(l))
	slices.SortFunc(l, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.demand/a.weight, b.demand/b.weight), cmp.Compare(a.name, b.name))
	})
	used := [3]float64{}
	for len(l) > 0 {
		resource, level := -1, 0.0
		for i := range used {
			if at, limited := saturation(l, i, 1-used[i]); limited && (resource < 0 || at < level) {
				resource, level = i, at
			}
		}
		rest := []claim{}
		for _, c := range l {
			if resource >= 0 && c.profile[resource] == 0 {
				rest = append(rest, c)
				continue
			}
			fair[c.name] = c.demand
			if resource >= 0 {
				fair[c.name] = c.allocated(level)
			}
			for i := range used {
				used[i] += fair[c.name] * c.profile[i]
			}
		}
		l = rest
	}
	return fair
}

// saturation returns the level at which the claims, sorted by the level that meets them, use up what is left of a resource.
// The result is false if it suffices for all.
func saturation(l []claim, resource int, left float64) (float64, bool) {
	slope := 0.0
	for _, c := range l {
		slope += c.weight * c.profile[resource]
	}
	level, used := 0.0, 0.0
	for _, c := range l {
		next := c.demand / c.weight
		if used+slope*(next-level) > left && slope > 0 {
			return level + max(left-used, 0)/slope, true
		}
		used += slope * (next - level)
		level = next
		slope -= c.weight * c.profile[resource]
	}
	return 0, false
}
