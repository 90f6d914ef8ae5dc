package health

import (
	"sort"
	"time"
)

// The thresholds are numbers of events. A transition resets all counts, an Answered event all but that of HighLatency,
// which ResetHighLatency resets.
const (
	dialFailureThreshold = 2
	stallThreshold       = 3
	failureThreshold     = 5
	highLatencyThreshold = 4
	minProbeInterval     = 250 * time.Millisecond
	maxProbeInterval     = 4 * time.Second
	leavingProbeInterval = 10 * time.Second
	// recoveryProbes is the number of successful probes in a row that make a VM healthy.
	recoveryProbes = 2
)

// Change is a state transition of a VM.
type Change struct {
	VM   string
	From State
	To   State
	// Withheld reports that the pool's ejection limit prevented the transition.
	Withheld bool
}

// vmRecord holds the state, event counts and probe schedule of one VM.
type vmRecord struct {
	state          State
	counts         [int(HighLatency) + 1]int
	probeInterval  time.Duration
	nextProbe      time.Time
	probing        bool
	probeSuccesses int
	withheld       bool
}

// Table tracks the health of a pool's VMs; the caller serialises the calls.
type Table struct {
	maxEjected int
	records    map[string]*vmRecord
}

// New creates a table that ejects at most maxEjected VMs. VMs that are unreachable or leaving do not count
// towards this limit.
func New(maxEjected int) *Table {
	return &Table{maxEjected: maxEjected, records: map[string]*vmRecord{}}
}

// SetMaxEjected changes the ejection limit.
func (t *Table) SetMaxEjected(n int) {
	t.maxEjected = n
}

// Usable reports whether the VM may receive requests; unknown VMs may.
func (t *Table) Usable(vm string) bool {
	r := t.records[vm]
	return r == nil || r.state.Usable()
}

// State returns the state of the VM, Healthy if it is unknown.
func (t *Table) State(vm string) State {
	if r := t.records[vm]; r != nil {
		return r.state
	}
	return Healthy
}

// Observe records an event and returns the transition that it causes, if any. A withheld transition is
// returned only once until the VM answers a request.
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
	s, ok := nextState(r)
	if !ok || r.state != Healthy && s != Leaving {
		return Change{}, false
	}
	return t.transition(now, vm, r, s)
}

// ResetHighLatency clears the count of high-latency events of the VM.
func (t *Table) ResetHighLatency(vm string) {
	if r := t.records[vm]; r != nil {
		r.counts[HighLatency] = 0
	}
}

// nextState returns the state whose threshold is reached, if any.
func nextState(r *vmRecord) (State, bool) {
	switch {
	case r.counts[LeaveAnnounced] > 0:
		return Leaving, true
	case r.counts[DialFailed] >= dialFailureThreshold:
		return Unreachable, true
	case r.counts[NewConnectionStalled] >= stallThreshold:
		return Silent, true
	case r.counts[Failed] >= failureThreshold:
		return Failing, true
	case r.counts[HighLatency] >= highLatencyThreshold:
		return Slow, true
	default:
		return Healthy, false
	}
}

// transition moves the VM to the state, unless the ejection limit is reached, and schedules its first probe.
func (t *Table) transition(now time.Time, vm string, r *vmRecord, s State) (Change, bool) {
	if s == r.state {
		return Change{}, false
	}
	if s.CountsAsEjected() && t.ejected() >= t.maxEjected {
		first := !r.withheld
		r.withheld = true
		return Change{VM: vm, From: r.state, To: s, Withheld: true}, first
	}
	c := Change{VM: vm, From: r.state, To: s}
	r.state = s
	r.probeSuccesses = 0
	r.counts = [len(r.counts)]int{}
	r.probeInterval = min(max(2*r.probeInterval, minProbeInterval), maxProbeInterval)
	if s == Leaving {
		r.probeInterval = leavingProbeInterval
	}
	r.nextProbe = now.Add(r.probeInterval)
	return c, true
}

// ejected counts the VMs that count towards the ejection limit.
func (t *Table) ejected() int {
	n := 0
	for _, r := range t.records {
		if r.state.CountsAsEjected() {
			n++
		}
	}
	return n
}

// DueProbes returns the sorted names of the VMs whose probe is due and marks them as being probed.
func (t *Table) DueProbes(now time.Time) []string {
	l := []string{}
	for n, r := range t.records {
		if r.state == Healthy || r.probing || now.Before(r.nextProbe) {
			continue
		}
		r.probing = true
		l = append(l, n)
	}
	sort.Strings(l)
	return l
}

// ObserveProbe records the result of a probe and returns the transition that it causes, if any.
// A failed probe doubles the probe interval, up to maxProbeInterval.
func (t *Table) ObserveProbe(now time.Time, vm string, ok bool) (Change, bool) {
	r := t.record(vm)
	r.probing = false
	if r.state == Healthy {
		return Change{}, false
	}
	if !ok {
		r.probeSuccesses = 0
		r.probeInterval = min(2*r.probeInterval, maxProbeInterval)
		r.nextProbe = now.Add(r.probeInterval)
		return Change{}, false
	}
	r.probeSuccesses++
	if r.probeSuccesses < recoveryProbes {
		r.nextProbe = now.Add(minProbeInterval)
		return Change{}, false
	}
	c := Change{VM: vm, From: r.state, To: Healthy}
	r.state = Healthy
	r.counts = [len(r.counts)]int{}
	return c, true
}

// Retain removes all VMs for which known returns false.
func (t *Table) Retain(known func(vm string) bool) {
	for n := range t.records {
		if !known(n) {
			delete(t.records, n)
		}
	}
}

// Unhealthy returns the states of the VMs that receive no requests.
func (t *Table) Unhealthy() map[string]State {
	m := map[string]State{}
	for n, r := range t.records {
		if r.state != Healthy {
			m[n] = r.state
		}
	}
	return m
}

func (t *Table) record(vm string) *vmRecord {
	r := t.records[vm]
	if r == nil {
		r = &vmRecord{}
		t.records[vm] = r
	}
	return r
}
