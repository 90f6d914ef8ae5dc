package dispatch

import (
	"time"
)

// Demands is what the entry asks of each pool, in slots; small changes are left out.
func (d *Dispatcher) Demands() map[string]int {
	now := time.Now()
	m := map[string]int{}
	for _, t := range d.tables() {
		t.lock.Lock()
		t.demand = damped(t.demand, t.admission.Demand(now))
		if t.demand > 0 {
			m[t.name] = t.demand
		}
		t.lock.Unlock()
	}
	return m
}

// Changes of the demand that are published: a tenth and a slot up, a quarter and two slots down.
const (
	risePart  = 10
	riseSlots = 1
	fallPart  = 4
	fallSlots = 2
)

// damped keeps the old demand while the new one is near it.
func damped(old, n int) int {
	if n > old+old/risePart+riseSlots || n < old-old/fallPart-fallSlots || n == 0 {
		return n
	}
	return old
}
