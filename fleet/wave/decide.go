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
//go:generate enumer -type=Condition -linecomment -transform=title-lower
const (
	// Waiting VMs have not had their maintenance.
	Waiting Condition = iota
	// Ordered VMs have an order out that was not answered, and may be down.
	Ordered // asked
	// InMaintenance VMs are down for their maintenance.
	InMaintenance // away
	// Maintained VMs are back from it.
	Maintained
	// Removed VMs no longer exist.
	Removed // gone
)

// VM is a VM of a wave.
type VM struct {
	Name      string
	Pool      string
	Condition Condition
	// Eligible says that the platform would take the VM down now.
	Eligible bool
	// Standby says that the VM is switched off.
	Standby bool
	// Cordoned says that the VM gets no new work.
	Cordoned bool
	// Empty says that nothing runs on it.
	Empty bool
	// Work is the expected core-seconds of what runs on it.
	Work float64
	// Surplus says that its pool can do without it now.
	Surplus bool
	// LongRunning says that tasks run there that have to be moved, few at a time.
	LongRunning bool
}

// Plan is what is to be done for a wave now.
type Plan struct {
	// TakeDown are VMs to take down, Prepare those that get no new work from now on.
	TakeDown []string
	Cordon   []string
	// Complete says that all VMs have had their maintenance.
	Complete bool
}

const (
	// timePerVM is how long one VM takes with emptying it.
	timePerVM = 6 * time.Second
	// timeReserve is kept for what fails.
	timeReserve = 4 * time.Second
	// maxLongRunningDrains is how many VMs of a pool are emptied of lasting tasks at once, from the start of a wave.
	maxLongRunningDrains = 2
)

// Decide returns what to do now: VMs that are off or empty go first, at most as many at once as the wave allows;
// VMs in use are emptied while their pools can do without them, and in any case once time runs short. Lasting tasks
// move one after the other, so the VMs that hold them are emptied from the start, few in each pool.
func Decide(w Wave, began, now time.Time, vms []VM) Plan {
	p := Plan{Complete: true}
	away, left := 0, 0
	for _, v := range vms {
		switch v.Condition {
		case Ordered, InMaintenance:
			away++
		case Waiting:
			left++
		}
		if v.Condition == Waiting || v.Condition == Ordered {
			p.Complete = false
		}
	}
	free := w.MaxDown - away
	l := candidates(vms)
	slow := drainingByPool(vms)
	urgent := began.Add(w.TimeLimit).Sub(now) < timePerVM*time.Duration((left+max(w.MaxDown, 1)-1)/max(w.MaxDown, 1))+timeReserve
	for _, v := range l {
		if free <= 0 {
			break
		}
		switch {
		case v.Empty && (v.Standby || v.Surplus || v.Cordoned || urgent):
			p.TakeDown = append(p.TakeDown, v.Name)
		case v.Cordoned:
		case v.Surplus || urgent:
			p.Cordon = append(p.Cordon, v.Name)
		case v.LongRunning && slow[v.Pool] < maxLongRunningDrains:
			slow[v.Pool]++
			p.Cordon = append(p.Cordon, v.Name)
		default:
			continue
		}
		free--
	}
	return p
}

// drainingByPool counts the VMs of each pool that are being emptied.
func drainingByPool(vms []VM) map[string]int {
	m := map[string]int{}
	for _, v := range vms {
		if v.Cordoned && !v.Empty {
			m[v.Pool]++
		}
	}
	return m
}

// candidates are the VMs that wait, the least costly first.
func candidates(vms []VM) []VM {
	l := []VM{}
	for _, v := range vms {
		if v.Condition == Waiting && v.Eligible {
			l = append(l, v)
		}
	}
	slices.SortStableFunc(l, func(a, b VM) int {
		return cmp.Or(
			compareTrueFirst(a.Standby, b.Standby),
			compareTrueFirst(a.Empty, b.Empty),
			compareTrueFirst(a.Cordoned, b.Cordoned),
			compareTrueFirst(a.Surplus, b.Surplus),
			cmp.Compare(a.Work, b.Work),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return l
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
