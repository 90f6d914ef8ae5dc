package share

import (
	"sort"

	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// floorShare is the part of a pool divided evenly whatever the demand.
const floorShare = 0.25

// byDemand divides a quarter evenly and the rest in proportion to demand.
func byDemand(self string, l []Entry, vms []vm.VM) Grant {
	total := 0
	for _, e := range l {
		total += e.Demand
	}
	return divide(self, l, vms, func(e Entry) float64 {
		even := 1 / float64(len(l))
		if total == 0 {
			return even
		}
		return floorShare*even + (1-floorShare)*float64(e.Demand)/float64(total)
	})
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

// divide gives each entry a contiguous range of the slots in an order all entries agree on.
func divide(self string, l []Entry, vms []vm.VM, weight func(Entry) float64) Grant {
	entries := append([]Entry(nil), l...)
	sort.Slice(entries, func(i, j int) bool { return entryBefore(entries[i], entries[j]) })
	slots := slotOrder(vms)
	n := float64(len(slots))
	from := 0.0
	for _, e := range entries {
		to := from + weight(e)*n
		if e.Name == self {
			return grant(slots[round(from, len(slots)):round(to, len(slots))])
		}
		from = to
	}
	return Grant{}
}

func round(v float64, most int) int {
	return min(int(v+0.5), most)
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
