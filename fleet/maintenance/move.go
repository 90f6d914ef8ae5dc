package maintenance

import (
	"sort"

	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Utilisation thresholds, as shares of a pool's serving slots. No VM moves while utilisation is between the two, which
// keeps VMs from moving back and forth.
const (
	lendThreshold   = 0.85
	returnThreshold = 0.60
)

// lendSpares lends VMs of the spare pool to pools that are short of slots, and returns those no longer needed.
func (d *decider) lendSpares() {
	spare, ok := d.sparePool()
	if !ok {
		return
	}
	for _, n := range d.poolNames() {
		if n == spare.Name {
			continue
		}
		d.takeBack(n, spare.Name)
		d.lend(n, spare.Name)
	}
}

// sparePool returns the first spare pool by name.
func (d *decider) sparePool() (pool.Pool, bool) {
	for _, n := range d.poolNames() {
		if d.Pools[n].Spare {
			return d.Pools[n], true
		}
	}
	return pool.Pool{}, false
}

// servingSlots counts the slots of the pool's VMs that are not down.
func (d *decider) servingSlots(p pool.Pool) int {
	n := 0
	for _, v := range p.VMs {
		if !d.IsDown(v.Name) {
			n += v.Slots
		}
	}
	return n
}

// lend moves one VM to a pool whose demand exceeds lendThreshold, if the spare pool can meet its own demand without it.
func (d *decider) lend(name, spare string) {
	slots := d.servingSlots(d.Pools[name])
	if float64(d.peakDemand(name)) <= lendThreshold*float64(slots) {
		return
	}
	own := d.servingSlots(d.Pools[spare])
	l := d.lendable(spare)
	if len(l) == 0 || float64(d.peakDemand(spare)) > lendThreshold*float64(own-l[0].Slots) {
		return
	}
	if d.Down(spare) > d.Pools[spare].MaxDown {
		return
	}
	d.relocate(l[0], spare, name, "pool "+name+" needs more slots than it has")
}

// Pinned returns the VMs of a spare pool that are never lent: the first by name in each data centre. An entry that
// is cut off from all other entries can keep using them, since they never change pools.
func Pinned(p pool.Pool) map[string]bool {
	first := map[string]string{}
	for _, v := range p.VMs {
		n, ok := first[v.DataCentre]
		if v.HomePool == p.Name && (!ok || v.Name < n) {
			first[v.DataCentre] = v.Name
		}
	}
	m := map[string]bool{}
	for _, n := range first {
		m[n] = true
	}
	return m
}

// lendable returns the VMs of a pool that are not down and may be lent, starting with the rack that has the most of
// them.
func (d *decider) lendable(name string) []vm.VM {
	racks := map[string]int{}
	l := []vm.VM{}
	pinned := Pinned(d.Pools[name])
	for _, v := range d.Pools[name].VMs {
		if !d.IsDown(v.Name) && !pinned[v.Name] {
			l = append(l, v)
			racks[v.Rack]++
		}
	}
	sort.SliceStable(l, func(i, j int) bool { return racks[l[i].Rack] > racks[l[j].Rack] })
	return l
}

// takeBack returns one lent VM if the pool's demand stays below returnThreshold without it.
func (d *decider) takeBack(name, spare string) {
	p := d.Pools[name]
	slots := d.servingSlots(p)
	for _, v := range p.VMs {
		x := d.VMStates[v.Name]
		if x.Pool != name || !x.Phase.Serves() || d.now.Sub(x.MovedAt) < d.Rules.Stay {
			continue
		}
		if float64(d.peakDemand(name)) >= returnThreshold*float64(slots-v.Slots) {
			continue
		}
		if !d.IsDown(v.Name) && d.Down(name) > p.MaxDown {
			continue
		}
		d.relocate(v, name, spare, "pool "+name+" no longer needs the VM")
		return
	}
}

// relocate moves a VM from one pool to another in a single action.
func (d *decider) relocate(v vm.VM, from, to, reason string) {
	x := d.VMStates[v.Name]
	x.Pool = to
	if v.HomePool == to {
		x.Pool = ""
	}
	x.MovedAt = d.now
	p := d.Pools[from]
	p.VMs = without(p.VMs, v.Name)
	d.Pools[from] = p
	q := d.Pools[to]
	v.Pool = to
	q.VMs = append(append([]vm.VM{}, q.VMs...), v)
	d.Pools[to] = q
	d.setVMState(v.Name, x, "%s", reason)
}

// without returns a copy of the list that omits the named VM.
func without(l []vm.VM, name string) []vm.VM {
	r := []vm.VM{}
	for _, v := range l {
		if v.Name != name {
			r = append(r, v)
		}
	}
	return r
}
