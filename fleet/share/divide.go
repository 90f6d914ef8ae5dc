package share

import (
	"math"
	"sort"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// evenShare is the fraction of an overloaded pool that is divided evenly, regardless of demand.
const evenShare = 0.25

// byDemand gives each entry its demand and divides the spare slots by the square root of demand. If the total demand
// exceeds the slots, but not maxLendingDemand times the slots, all slots are divided in proportion to demand, since
// published demand is an overestimate. Above that, evenShare of them is divided evenly and the rest in proportion.
func byDemand(self string, l []Entry, vms []vm.VM) Grant {
	requested, available := float64(totalDemand(l)), float64(totalSlots(vms))
	rootSum := 0.0
	for _, e := range l {
		rootSum += sqrtDemand(e)
	}
	return divide(self, l, vms, func(e Entry) float64 {
		switch {
		case requested <= available:
			return (float64(e.Demand) + (available-requested)*sqrtDemand(e)/rootSum) / available
		case requested <= maxLendingDemand*available:
			return float64(e.Demand) / requested
		}
		return evenShare/float64(len(l)) + (1-evenShare)*float64(e.Demand)/requested
	})
}

// sqrtDemand returns the square root of the demand, at least 1.
func sqrtDemand(e Entry) float64 {
	return math.Sqrt(float64(max(e.Demand, 1)))
}

// fixed divides the slots evenly, regardless of demand.
func fixed(self string, l []Entry, vms []vm.VM) Grant {
	return divide(self, l, vms, func(Entry) float64 { return 1 / float64(len(l)) })
}

// none grants every slot to every entry, so that only the backend servers limit concurrency.
func none(_ string, _ []Entry, vms []vm.VM) Grant {
	g := Grant{}
	for _, v := range vms {
		g[v.Name] = v.Slots
	}
	return g
}

// divide starts from an even, contiguous range of the slots for each entry, in an order that all entries agree on.
// Entries with a smaller target release the end of their range to those with a larger one, so that
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
	granted := []string{}
	for i, e := range entries {
		keep := min(base[i], target[i])
		if e.Name == self {
			granted = append(granted, order[from:from+keep]...)
		}
		surplus = append(surplus, order[from+keep:from+base[i]]...)
		from += base[i]
	}
	from = 0
	for i, e := range entries {
		more := max(target[i]-base[i], 0)
		if e.Name == self {
			granted = append(granted, surplus[from:from+more]...)
		}
		from += more
	}
	return grant(granted)
}

// apportion splits n into integer parts by weight, with the largest remainder method; the weights add up to 1.
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

// grant counts the slots of each VM.
func grant(slots []string) Grant {
	g := Grant{}
	for _, s := range slots {
		g[s]++
	}
	return g
}

// slotOrder lists the VM of each slot, by data centre and within it round-robin over the VMs.
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

// interleave appends the slots of the VMs in round-robin order.
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
