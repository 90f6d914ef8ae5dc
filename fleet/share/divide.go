package share

import (
	"math"
	"sort"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// floorShare is the part of a pool divided evenly whatever the demand.
const floorShare = 0.25

// byDemand gives each entry what it asks for and a part of the rest by the square root of that.
// Where the entries ask for a little more than there is, as published demand errs upwards, all is
// divided in proportion; in overload a quarter is divided evenly and the rest in proportion.
func byDemand(self string, l []Entry, vms []vm.VM) Grant {
	asked, there := float64(demand(l)), float64(slots(vms))
	roots := 0.0
	for _, e := range l {
		roots += root(e)
	}
	return divide(self, l, vms, func(e Entry) float64 {
		switch {
		case asked <= there:
			return (float64(e.Demand) + (there-asked)*root(e)/roots) / there
		case asked <= lendUpTo*there:
			return float64(e.Demand) / asked
		}
		return floorShare/float64(len(l)) + (1-floorShare)*float64(e.Demand)/asked
	})
}

func root(e Entry) float64 {
	return math.Sqrt(float64(max(e.Demand, 1)))
}

// fixed divides evenly.
func fixed(self string, l []Entry, vms []vm.VM) Grant {
	return divide(self, l, vms, func(Entry) float64 { return 1 / float64(len(l)) })
}

// none lets every entry use every slot and leaves refusals to the backend servers.
func none(_ string, _ []Entry, vms []vm.VM) Grant {
	g := Grant{}
	for _, v := range vms {
		g[v.Name] = v.Slots
	}
	return g
}

// divide gives each entry an even, contiguous range of the slots, in an order all entries agree on.
// Entries entitled to less give up the end of their range to those entitled to more, so that
// a change of demand moves few slots.
func divide(self string, l []Entry, vms []vm.VM, weight func(Entry) float64) Grant {
	if len(l) == 0 || len(vms) == 0 {
		return Grant{}
	}
	entries := append([]Entry(nil), l...)
	sort.Slice(entries, func(i, j int) bool { return entryBefore(entries[i], entries[j]) })
	order := slotOrder(vms)
	base := apportion(len(order), entries, func(Entry) float64 { return 1 / float64(len(entries)) })
	target := apportion(len(order), entries, weight)
	surplus := []string{}
	from := 0
	mine := []string{}
	for i, e := range entries {
		kept := min(base[i], target[i])
		if e.Name == self {
			mine = append(mine, order[from:from+kept]...)
		}
		surplus = append(surplus, order[from+kept:from+base[i]]...)
		from += base[i]
	}
	from = 0
	for i, e := range entries {
		more := max(target[i]-base[i], 0)
		if e.Name == self {
			mine = append(mine, surplus[from:from+more]...)
		}
		from += more
	}
	return grant(mine)
}

// apportion splits n into whole parts by weight, the largest remainders first.
func apportion(n int, l []Entry, weight func(Entry) float64) []int {
	parts := make([]int, len(l))
	order := make([]int, len(l))
	remainders := make([]float64, len(l))
	left := n
	for i, e := range l {
		whole, fraction := math.Modf(weight(e) * float64(n))
		parts[i] = int(whole)
		remainders[i] = fraction
		order[i] = i
		left -= parts[i]
	}
	sort.SliceStable(order, func(i, j int) bool { return remainders[order[i]] > remainders[order[j]] })
	for i := range left {
		parts[order[i%len(order)]]++
	}
	return parts
}

func grant(slots []string) Grant {
	g := Grant{}
	for _, s := range slots {
		g[s]++
	}
	return g
}

// slotOrder lists the VM of each slot: by data centre, then one slot of every VM in turn.
func slotOrder(vms []vm.VM) []string {
	l := append([]vm.VM(nil), vms...)
	sort.Slice(l, func(i, j int) bool { return vmBefore(l[i], l[j]) })
	r := []string{}
	for from := 0; from < len(l); {
		to := from
		for to < len(l) && l[to].DataCentre == l[from].DataCentre {
			to++
		}
		r = interleave(r, l[from:to])
		from = to
	}
	return r
}

func interleave(r []string, l []vm.VM) []string {
	for i := 0; ; i++ {
		before := len(r)
		for _, v := range l {
			if i < v.Slots {
				r = append(r, v.Name)
			}
		}
		if len(r) == before {
			return r
		}
	}
}

func entryBefore(a, b Entry) bool {
	if a.DataCentre != b.DataCentre {
		return a.DataCentre < b.DataCentre
	}
	return a.Name < b.Name
}

func vmBefore(a, b vm.VM) bool {
	if a.DataCentre != b.DataCentre {
		return a.DataCentre < b.DataCentre
	}
	return a.Name < b.Name
}
