package maintenance

import (
	"maps"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Decide works out what is to be done at the site now. It leaves the site as it was.
func Decide(now time.Time, s Site) []Action {
	s.States = maps.Clone(s.States)
	s.Waves = maps.Clone(s.Waves)
	s.Pools = maps.Clone(s.Pools)
	if s.States == nil {
		s.States = map[string]vm.State{}
	}
	if s.Waves == nil {
		s.Waves = map[string]Wave{}
	}
	d := &decider{Site: &s, now: now}
	for _, n := range s.poolNames() {
		p := s.Pools[n]
		d.meet(p)
		d.finish(p)
		d.bringBack(p)
	}
	d.move()
	for _, n := range s.poolNames() {
		d.begin(s.Pools[n])
	}
	return d.actions
}

// meet takes a VM that is new as maintained now.
func (d *decider) meet(p pool.Pool) {
	if d.Rules.Period == 0 {
		return
	}
	for _, v := range p.VMs {
		x := d.States[v.Name]
		if x.MaintainedAt.IsZero() {
			x.MaintainedAt = d.now
			d.set(v.Name, x, "new VM")
		}
	}
}

// finish takes VMs on that are under maintenance.
func (d *decider) finish(p pool.Pool) {
	for _, v := range p.VMs {
		x := d.States[v.Name]
		sight := d.Sights[v.Name]
		elapsed := d.now.Sub(x.Since)
		switch {
		case x.Phase == vm.Draining && elapsed >= d.Rules.Drain && !d.stopped(p):
			x.Phase = vm.Rebooting
			x.BootID = sight.Boot
			d.set(v.Name, x, "drained for %s", elapsed.Round(time.Second))
		case x.Phase == vm.Rebooting && sight.Good() && sight.Boot != x.BootID:
			x.Phase = vm.InService
			x.MaintainedAt = d.now
			d.set(v.Name, x, "came back after %s", elapsed.Round(time.Second))
			d.widen(p)
		case x.Phase == vm.Rebooting && elapsed >= d.Rules.RebootLimit:
			x.Phase = vm.Failed
			d.set(v.Name, x, "did not come back within %s", d.Rules.RebootLimit)
			d.setWave(p.Name, Wave{Width: 1, Halted: d.now.Add(d.Rules.Halt), Reason: v.Name + " did not come back", Paused: d.Waves[p.Name].Paused}, "halted")
		case x.Phase == vm.Failed && sight.Good() && sight.Boot != x.BootID:
			x.Phase = vm.InService
			x.MaintainedAt = d.now
			d.set(v.Name, x, "came back or was replaced")
		}
	}
}

// widen lets one more VM of the pool be in maintenance at once.
func (d *decider) widen(p pool.Pool) {
	w := d.Waves[p.Name]
	if w.Width >= p.MaxDown {
		return
	}
	w.Width = max(w.Width, 1) + 1
	d.setWave(p.Name, w, "a VM came back, the wave widens")
}

// stopped says whether the pool's wave may not go on, drained VMs included.
func (d *decider) stopped(p pool.Pool) bool {
	w := d.Waves[p.Name]
	return w.Paused || d.now.Before(w.Halted) || d.Rules.Period == 0 || d.Down(p.Name) > p.MaxDown
}

// bringBack returns what was drained but not rebooted to service where the wave may not go on.
func (d *decider) bringBack(p pool.Pool) {
	for _, v := range p.VMs {
		x := d.States[v.Name]
		if x.Phase != vm.Draining || !d.stopped(p) {
			continue
		}
		x.Phase = vm.InService
		d.set(v.Name, x, "brought back: %s", d.why(p))
	}
}

// why says why the pool's wave waits, empty where it does not.
func (d *decider) why(p pool.Pool) string {
	w := d.Waves[p.Name]
	switch {
	case d.Rules.Period == 0:
		return "there are no rules for maintenance"
	case w.Paused:
		return "an operator paused the wave"
	case d.now.Before(w.Halted):
		return "the wave is halted: " + w.Reason
	case d.Down(p.Name) >= p.MaxDown:
		return "the pool's budget is used up"
	case d.Rules.quiet(d.now):
		return "these are quiet hours"
	case d.Planned(p.Name) >= max(w.Width, 1):
		return "the wave is as wide as it may be"
	default:
		return ""
	}
}

// begin drains the VMs that are due, as far as the budget and the wave's width allow.
func (d *decider) begin(p pool.Pool) {
	for _, v := range d.due(p) {
		if d.why(p) != "" {
			return
		}
		if d.IsDown(v.Name) || !d.rackAllowed(p, v) || !d.allowed(p, v) {
			continue
		}
		x := d.States[v.Name]
		x.Phase = vm.Draining
		d.set(v.Name, x, "due for maintenance since %s", d.cycle(v.Name).UTC().Format(time.RFC3339))
	}
}

// allowed says whether the budget lets the VM be down as well.
func (d *decider) allowed(p pool.Pool, v vm.VM) bool {
	return p.WithinBudget(func(n string) bool { return n == v.Name || d.IsDown(n) })
}

// rackAllowed keeps a wave to as many racks as it is wide.
func (d *decider) rackAllowed(p pool.Pool, v vm.VM) bool {
	racks := map[string]bool{v.Rack: true}
	for _, o := range p.VMs {
		if d.planned(o.Name) {
			racks[o.Rack] = true
		}
	}
	return len(racks) <= max(d.Waves[p.Name].Width, 1)
}

// due lists the VMs that have not been maintained since their time, those due longest first.
func (d *decider) due(p pool.Pool) []vm.VM {
	if d.Rules.Period == 0 {
		return nil
	}
	l := []vm.VM{}
	for _, v := range p.VMs {
		x := d.States[v.Name]
		if x.Phase == vm.InService && x.MaintainedAt.Before(d.cycle(v.Name)) {
			l = append(l, v)
		}
	}
	sort.Slice(l, func(i, j int) bool {
		a, b := d.cycle(l[i].Name), d.cycle(l[j].Name)
		if !a.Equal(b) {
			return a.Before(b)
		}
		return l[i].Name < l[j].Name
	})
	return l
}

// cycle is the last time at which the VM became due; the times of all VMs are spread over the period.
func (d *decider) cycle(name string) time.Time {
	period := d.Rules.Period.Milliseconds()
	offset := int64(xxhash.Sum64String(name) % uint64(period))
	k := (d.now.UnixMilli() - offset) / period
	return time.UnixMilli(k*period + offset)
}

// Plan is what is due in a pool now, and when the next VM becomes due.
func Plan(now time.Time, s Site, name string) (due int, next time.Time) {
	d := &decider{Site: &s, now: now}
	p := s.Pools[name]
	due = len(d.due(p))
	if s.Rules.Period == 0 {
		return due, next
	}
	for _, v := range p.VMs {
		t := d.cycle(v.Name).Add(s.Rules.Period)
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return due, next
}

// Explain says why a pool's wave waits, empty where it does not.
func Explain(now time.Time, s Site, name string) string {
	d := &decider{Site: &s, now: now}
	return d.why(s.Pools[name])
}
