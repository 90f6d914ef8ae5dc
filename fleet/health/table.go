package health

import (
	"sort"
	"time"
)

const (
	dialFailures   = 2
	freshStalls    = 3
	failures       = 5
	sluggish       = 4
	firstProbe     = 250 * time.Millisecond
	longestProbe   = 4 * time.Second
	leavingRecheck = 10 * time.Second
	goodProbes     = 2
)

// Change is a VM that went from one state to another.
type Change struct {
	VM   string
	From State
	To   State
	// Withheld says that the change was due but the pool's budget forbade it.
	Withheld bool
}

// record is what the table knows of one VM.
type record struct {
	state    State
	counts   [int(HighLatency) + 1]int
	pause    time.Duration
	due      time.Time
	probing  bool
	good     int
	withheld bool
}

// Table holds the states of a pool's VMs; its caller serialises the calls.
type Table struct {
	most    int
	records map[string]*record
}

// New makes a table that takes out at most the given number of VMs that still answer connections.
func New(most int) *Table {
	return &Table{most: most, records: map[string]*record{}}
}

// SetMaxEjected changes how many VMs may be taken out.
func (t *Table) SetMaxEjected(n int) {
	t.most = n
}

// Usable says whether the VM may be given work.
func (t *Table) Usable(vm string) bool {
	r := t.records[vm]
	return r == nil || r.state.Usable()
}

// State is the state of the VM.
func (t *Table) State(vm string) State {
	if r := t.records[vm]; r != nil {
		return r.state
	}
	return Healthy
}

// Observe learns an event and returns the change that follows, if any.
func (t *Table) Observe(now time.Time, vm string, e Event) (Change, bool) {
	r := t.record(vm)
	switch e {
	case Answered:
		r.counts = [len(r.counts)]int{HighLatency: r.counts[HighLatency]}
		r.withheld = false
		return Change{}, false
	case Refused:
		return Change{}, false
	default:
		r.counts[e]++
	}
	s, ok := due(r)
	if !ok || r.state != Healthy && s != Leaving {
		return Change{}, false
	}
	return t.take(now, vm, r, s)
}

// ResetSlow forgets that the VM was slow.
func (t *Table) ResetSlow(vm string) {
	if r := t.records[vm]; r != nil {
		r.counts[HighLatency] = 0
	}
}

func due(r *record) (State, bool) {
	switch {
	case r.counts[LeaveAnnounced] > 0:
		return Leaving, true
	case r.counts[DialFailed] >= dialFailures:
		return Unreachable, true
	case r.counts[NewConnectionStalled] >= freshStalls:
		return Silent, true
	case r.counts[Failed] >= failures:
		return Failing, true
	case r.counts[HighLatency] >= sluggish:
		return Slow, true
	default:
		return Healthy, false
	}
}

func (t *Table) take(now time.Time, vm string, r *record, s State) (Change, bool) {
	if s == r.state {
		return Change{}, false
	}
	if s.CountsAsEjected() && t.capped() >= t.most {
		first := !r.withheld
		r.withheld = true
		return Change{VM: vm, From: r.state, To: s, Withheld: true}, first
	}
	c := Change{VM: vm, From: r.state, To: s}
	r.state = s
	r.good = 0
	r.counts = [len(r.counts)]int{}
	r.pause = min(max(2*r.pause, firstProbe), longestProbe)
	if s == Leaving {
		r.pause = leavingRecheck
	}
	r.due = now.Add(r.pause)
	return c, true
}

func (t *Table) capped() int {
	n := 0
	for _, r := range t.records {
		if r.state.CountsAsEjected() {
			n++
		}
	}
	return n
}

// DueProbes lists the VMs whose probe is due and marks them as being probed.
func (t *Table) DueProbes(now time.Time) []string {
	l := []string{}
	for n, r := range t.records {
		if r.state == Healthy || r.probing || now.Before(r.due) {
			continue
		}
		r.probing = true
		l = append(l, n)
	}
	sort.Strings(l)
	return l
}

// ObserveProbe learns the result of a probe and returns the change that follows, if any.
func (t *Table) ObserveProbe(now time.Time, vm string, ok bool) (Change, bool) {
	r := t.record(vm)
	r.probing = false
	if r.state == Healthy {
		return Change{}, false
	}
	if !ok {
		r.good = 0
		r.pause = min(2*r.pause, longestProbe)
		r.due = now.Add(r.pause)
		return Change{}, false
	}
	r.good++
	if r.good < goodProbes {
		r.due = now.Add(firstProbe)
		return Change{}, false
	}
	c := Change{VM: vm, From: r.state, To: Healthy}
	r.state = Healthy
	r.counts = [len(r.counts)]int{}
	return c, true
}

// Retain forgets all VMs but those named.
func (t *Table) Retain(known func(vm string) bool) {
	for n := range t.records {
		if !known(n) {
			delete(t.records, n)
		}
	}
}

// Unhealthy lists the VMs that are given no work with their states.
func (t *Table) Unhealthy() map[string]State {
	m := map[string]State{}
	for n, r := range t.records {
		if r.state != Healthy {
			m[n] = r.state
		}
	}
	return m
}

func (t *Table) record(vm string) *record {
	r := t.records[vm]
	if r == nil {
		r = &record{}
		t.records[vm] = r
	}
	return r
}
