package maintenance

import (
	"maps"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Decide returns the actions to take now. It does not modify s.
func Decide(now time.Time, s FleetState) []Action {
	s.VMStates = maps.Clone(s.VMStates)
	s.PoolStates = maps.Clone(s.PoolStates)
	s.Pools = maps.Clone(s.Pools)
	if s.VMStates == nil {
		s.VMStates = map[string]vm.State{}
	}
	if s.PoolStates == nil {
		s.PoolStates = map[string]PoolState{}
	}
	d := &decider{FleetState: &s, now: now}
	for _, n := range s.poolNames() {
		p := s.Pools[n]
		d.registerNew(p)
		d.advance(p)
		d.undrain(p)
	}
	d.lendSpares()
	for _, n := range s.poolNames() {
		d.startDue(s.Pools[n])
	}
	return d.actions
}

// registerNew records VMs that have no state yet as maintained now, so that new VMs are not due immediately.
func (d *decider) registerNew(p pool.Pool) {
	if d.Rules.Period == 0 {
		return
	}
	for _, v := range p.VMs {
		x := d.VMStates[v.Name]
		if x.MaintainedAt.IsZero() {
			x.MaintainedAt = d.now
			d.setVMState(v.Name, x, "new VM")
		}
	}
}

// advance moves VMs that are under maintenance to their next phase. A VM that does not come back in time halts the
// pool's rolling maintenance and resets its width to one VM.
func (d *decider) advance(p pool.Pool) {
	for _, v := range p.VMs {
		x := d.VMStates[v.Name]
		seen := d.Observations[v.Name]
		elapsed := d.now.Sub(x.Since)
		switch {
		case x.Phase == vm.Draining && elapsed >= d.Rules.Drain && !d.stopped(p):
			x.Phase = vm.Rebooting
			x.BootID = seen.BootID
			d.setVMState(v.Name, x, "drained for %s", elapsed.Round(time.Second))
		case x.Phase == vm.Rebooting && seen.Healthy() && seen.BootID != x.BootID:
			x.Phase = vm.InService
			x.MaintainedAt = d.now
			d.setVMState(v.Name, x, "came back after %s", elapsed.Round(time.Second))
			d.widen(p)
		case x.Phase == vm.Rebooting && elapsed >= d.Rules.RebootLimit:
			x.Phase = vm.Failed
			d.setVMState(v.Name, x, "did not come back within %s", d.Rules.RebootLimit)
			d.setPoolState(p.Name, PoolState{Width: 1, HaltedUntil: d.now.Add(d.Rules.Halt), Reason: v.Name + " did not come back", Paused: d.PoolStates[p.Name].Paused}, "halted")
		case x.Phase == vm.Failed && seen.Healthy() && seen.BootID != x.BootID:
			x.Phase = vm.InService
			x.MaintainedAt = d.now
			d.setVMState(v.Name, x, "came back or was replaced")
		}
	}
}

// widen permits one more VM of the pool to be in maintenance at once, up to its budget.
func (d *decider) widen(p pool.Pool) {
	s := d.PoolStates[p.Name]
	if s.Width >= p.MaxDown {
		return
	}
	s.Width = max(s.Width, 1) + 1
	d.setPoolState(p.Name, s, "a VM came back, the wave widens")
}

// stopped reports whether the pool's rolling maintenance must not continue, not even for VMs that are draining already.
func (d *decider) stopped(p pool.Pool) bool {
	s := d.PoolStates[p.Name]
	return s.Paused || d.now.Before(s.HaltedUntil) || d.Rules.Period == 0 || d.Down(p.Name) > p.MaxDown
}

// undrain returns draining VMs to service if the pool's rolling maintenance must not continue.
func (d *decider) undrain(p pool.Pool) {
	for _, v := range p.VMs {
		x := d.VMStates[v.Name]
		if x.Phase != vm.Draining || !d.stopped(p) {
			continue
		}
		x.Phase = vm.InService
		d.setVMState(v.Name, x, "brought back: %s", d.waitReason(p))
	}
}

// waitReason returns why the pool's rolling maintenance takes no further VM, or an empty string if it may.
func (d *decider) waitReason(p pool.Pool) string {
	s := d.PoolStates[p.Name]
	switch {
	case d.Rules.Period == 0:
		return "there are no rules for maintenance"
	case s.Paused:
		return "an operator paused the wave"
	case d.now.Before(s.HaltedUntil):
		return "the wave is halted: " + s.Reason
	case d.Down(p.Name) >= p.MaxDown:
		return "the pool's budget is used up"
	case d.Rules.quiet(d.now):
		return "these are quiet hours"
	case d.PlannedDown(p.Name) >= max(s.Width, 1):
		return "the wave is as wide as it may be"
	default:
		return ""
	}
}

// startDue drains VMs that are due, within the pool's budget and the width of its rolling maintenance.
func (d *decider) startDue(p pool.Pool) {
	for _, v := range d.due(p) {
		if d.waitReason(p) != "" {
			return
		}
		if d.IsDown(v.Name) || !d.rackLimitAllows(p, v) || !d.budgetAllows(p, v) {
			continue
		}
		x := d.VMStates[v.Name]
		x.Phase = vm.Draining
		d.setVMState(v.Name, x, "due for maintenance since %s", d.lastDue(v.Name).UTC().Format(time.RFC3339))
	}
}

// budgetAllows reports whether the pool's budget permits the VM to be down in addition to those that are.
func (d *decider) budgetAllows(p pool.Pool, v vm.VM) bool {
	return p.WithinBudget(func(n string) bool { return n == v.Name || d.IsDown(n) })
}

// rackLimitAllows reports whether the VMs in maintenance and this one span at most as many racks as the width of the
// pool's rolling maintenance.
func (d *decider) rackLimitAllows(p pool.Pool, v vm.VM) bool {
	racks := map[string]bool{v.Rack: true}
	for _, o := range p.VMs {
		if d.isPlannedDown(o.Name) {
			racks[o.Rack] = true
		}
	}
	return len(racks) <= max(d.PoolStates[p.Name].Width, 1)
}

// due returns the VMs in service that were not maintained since they last became due, those due for longest first.
func (d *decider) due(p pool.Pool) []vm.VM {
	if d.Rules.Period == 0 {
		return nil
	}
	l := []vm.VM{}
	for _, v := range p.VMs {
		x := d.VMStates[v.Name]
		if x.Phase == vm.InService && x.MaintainedAt.Before(d.lastDue(v.Name)) {
			l = append(l, v)
		}
	}
	sort.Slice(l, func(i, j int) bool {
		a, b := d.lastDue(l[i].Name), d.lastDue(l[j].Name)
		if !a.Equal(b) {
			return a.Before(b)
		}
		return l[i].Name < l[j].Name
	})
	return l
}

// lastDue returns the last time at which the VM became due. A hash of the name spreads the VMs over the period.
func (d *decider) lastDue(name string) time.Time {
	period := d.Rules.Period.Milliseconds()
	offset := int64(xxhash.Sum64String(name) % uint64(period))
	k := (d.now.UnixMilli() - offset) / period
	return time.UnixMilli(k*period + offset)
}

// Schedule returns how many VMs of a pool are due now, and when the next VM becomes due; next is zero without rules.
func Schedule(now time.Time, s FleetState, name string) (due int, next time.Time) {
	d := &decider{FleetState: &s, now: now}
	p := s.Pools[name]
	due = len(d.due(p))
	if s.Rules.Period == 0 {
		return due, next
	}
	for _, v := range p.VMs {
		t := d.lastDue(v.Name).Add(s.Rules.Period)
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return due, next
}

// Explain returns why a pool's rolling maintenance waits, or an empty string if it does not.
func Explain(now time.Time, s FleetState, name string) string {
	d := &decider{FleetState: &s, now: now}
	return d.waitReason(s.Pools[name])
}
