package wave

import (
	"cmp"
	"slices"
	"time"
)

// Condition is where a VM of the wave stands.
type Condition int

// The conditions of a VM of a wave.
//
//go:generate enumer -type=Condition -transform=title-lower
const (
	// Waiting VMs have not had their maintenance.
	Waiting Condition = iota
	// Asked VMs have an order out that was not answered, and may be down.
	Asked
	// Away VMs are down for their maintenance.
	Away
	// Maintained VMs are back from it.
	Maintained
	// Gone VMs no longer exist.
	Gone
)

// VM is a VM of a wave.
type VM struct {
	Name      string
	Pool      string
	Condition Condition
	// Up says that the platform would take the VM down now.
	Up bool
	// Standby says that the VM is switched off.
	Standby bool
	// Prepared says that the VM gets no new work.
	Prepared bool
	// Empty says that nothing runs on it.
	Empty bool
	// Work is the expected core-seconds of what runs on it.
	Work float64
	// Spare says that its pool can do without it now.
	Spare bool
	// Lasting says that tasks run there that have to be moved, few at a time.
	Lasting bool
}

// Plan is what is to be done for a wave now.
type Plan struct {
	// Down are VMs to take down, Prepare those that get no new work from now on.
	Down    []string
	Prepare []string
	// Complete says that all VMs have had their maintenance.
	Complete bool
}

const (
	// perVM is how long one VM takes with emptying it.
	perVM = 6 * time.Second
	// reserve is kept for what fails.
	reserve = 4 * time.Second
	// slowAtOnce is how many VMs of a pool are emptied of lasting tasks at once, from the start of a wave.
	slowAtOnce = 2
)

// Decide returns what to do now: VMs that are off or empty go first, at most as many at once as the wave allows;
// VMs in use are emptied while their pools can do without them, and in any case once time runs short. Lasting tasks
// move one after the other, so the VMs that hold them are emptied from the start, few in each pool.
func Decide(w Wave, began, now time.Time, vms []VM) Plan {
	p := Plan{Complete: true}
	away, left := 0, 0
	for _, v := range vms {
		switch v.Condition {
		case Asked, Away:
			away++
		case Waiting:
			left++
		}
		if v.Condition == Waiting || v.Condition == Asked {
			p.Complete = false
		}
	}
	free := w.Most - away
	l := candidates(vms)
	slow := slowNow(vms)
	urgent := began.Add(w.Time).Sub(now) < perVM*time.Duration((left+max(w.Most, 1)-1)/max(w.Most, 1))+reserve
	for _, v := range l {
		if free <= 0 {
			break
		}
		switch {
		case v.Empty && (v.Standby || v.Spare || v.Prepared || urgent):
			p.Down = append(p.Down, v.Name)
		case v.Prepared:
		case v.Spare || urgent:
			p.Prepare = append(p.Prepare, v.Name)
		case v.Lasting && slow[v.Pool] < slowAtOnce:
			slow[v.Pool]++
			p.Prepare = append(p.Prepare, v.Name)
		default:
			continue
		}
		free--
	}
	return p
}

// slowNow counts the VMs of each pool that are being emptied.
func slowNow(vms []VM) map[string]int {
	m := map[string]int{}
	for _, v := range vms {
		if v.Prepared && !v.Empty {
			m[v.Pool]++
		}
	}
	return m
}

// candidates are the VMs that wait, the least costly first.
func candidates(vms []VM) []VM {
	l := []VM{}
	for _, v := range vms {
		if v.Condition == Waiting && v.Up {
			l = append(l, v)
		}
	}
	slices.SortStableFunc(l, func(a, b VM) int {
		return cmp.Or(
			before(a.Standby, b.Standby),
			before(a.Empty, b.Empty),
			before(a.Prepared, b.Prepared),
			before(a.Spare, b.Spare),
			cmp.Compare(a.Work, b.Work),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return l
}

func before(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
