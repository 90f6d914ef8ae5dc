package wave

import (
	"cmp"
	"slices"
	"time"
)

// Condition is the progress of one VM of a wave.
type Condition int

// The conditions of a VM of a wave.
//
//go:generate enumer -type=Condition -linecomment -transform=title-lower
const (
	// Waiting VMs have not been maintained yet.
	Waiting Condition = iota
	// Ordered VMs may be down: an order for them has no known result, or another wave has them in maintenance.
	Ordered // asked
	// InMaintenance VMs are down for this wave; they no longer delay its completion.
	InMaintenance // away
	// Maintained VMs have come back from maintenance.
	Maintained
	// Removed VMs no longer exist.
	Removed // gone
)

// VM is one VM of a wave, with what decides when it goes down.
type VM struct {
	Name      string
	Pool      string
	Condition Condition
	// Eligible reports that the platform would accept an order to take the VM down now.
	Eligible bool
	// Standby reports that the VM is switched off.
	Standby bool
	// Cordoned reports that the VM receives no new work.
	Cordoned bool
	// Empty reports that no task runs on the VM.
	Empty bool
	// Work is the expected remaining work on the VM in core-seconds.
	Work float64
	// Spare reports that the VM's pool currently meets its demand without it.
	Spare bool
	// LongRunning reports that the VM runs long-running tasks, which have to be moved a few at a time.
	LongRunning bool
}

// Plan is what to do for a wave now.
type Plan struct {
	// TakeDown lists the VMs to take down, Cordon those that receive no new work from now on.
	TakeDown []string
	Cordon   []string
	// Complete reports that no VM of the wave is waiting or ordered.
	Complete bool
}

const (
	// drainTime is the time allowed for draining one VM before it is taken down.
	drainTime = 4 * time.Second
	// timeReserve is the part of the wave's time limit kept free for failures.
	timeReserve = 4 * time.Second
	// maxLongRunningDrains is how many VMs per pool are drained of long-running tasks before time runs short.
	maxLongRunningDrains = 2
)

// Decide returns what to do for the wave now, with at most MaxDown VMs down or draining for it. VMs that are
// switched off or empty go first. VMs in use are drained while their pool can spare them, and regardless of that
// once the time left is just enough. Long-running tasks move one after the other, so VMs with such tasks are drained
// from the start of the wave, a few per pool. downtime is how long a VM is down for its maintenance.
func Decide(w Wave, startedAt, now time.Time, downtime time.Duration, vms []VM) Plan {
	p := Plan{Complete: true}
	down, waiting := 0, 0
	for _, v := range vms {
		switch v.Condition {
		case Ordered, InMaintenance:
			down++
		case Waiting:
			waiting++
		}
		if v.Condition == Waiting || v.Condition == Ordered {
			p.Complete = false
		}
	}
	free := w.MaxDown - down
	l := candidates(vms)
	draining := drainingByPool(vms)
	urgent := startedAt.Add(w.TimeLimit).Sub(now) < (drainTime+downtime)*time.Duration((waiting+max(w.MaxDown, 1)-1)/max(w.MaxDown, 1))+timeReserve
	for _, v := range l {
		if free <= 0 {
			break
		}
		switch {
		case v.Empty && (v.Standby || v.Spare || v.Cordoned || urgent):
			p.TakeDown = append(p.TakeDown, v.Name)
		case v.Cordoned:
		case v.Spare || urgent:
			p.Cordon = append(p.Cordon, v.Name)
		case v.LongRunning && draining[v.Pool] < maxLongRunningDrains:
			draining[v.Pool]++
			p.Cordon = append(p.Cordon, v.Name)
		default:
			continue
		}
		free--
	}
	return p
}

// drainingByPool counts the cordoned VMs of each pool that still run tasks.
func drainingByPool(vms []VM) map[string]int {
	m := map[string]int{}
	for _, v := range vms {
		if v.Cordoned && !v.Empty {
			m[v.Pool]++
		}
	}
	return m
}

// candidates returns the waiting VMs that may be taken down, those that cost the least to drain first.
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
			compareTrueFirst(a.Spare, b.Spare),
			cmp.Compare(a.Work, b.Work),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return l
}

// compareTrueFirst orders true before false.
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
