package dispatch

import (
	"time"
)

// Demands returns this entry's demand for each pool, in slots, without pools that it has no demand for.
// Small changes are suppressed.
func (d *Dispatcher) Demands() map[string]int {
	now := time.Now()
	m := map[string]int{}
	for _, p := range d.sortedPools() {
		p.lock.Lock()
		p.demand = applyHysteresis(p.demand, p.admission.Demand(now))
		if p.demand > 0 {
			m[p.name] = p.demand
		}
		p.lock.Unlock()
	}
	return m
}

// Hysteresis of the published demand: it changes if the demand rises by more than a tenth plus one slot,
// falls by more than a quarter plus two slots, or becomes 0.
const (
	riseDivisor = 10
	riseSlots   = 1
	fallDivisor = 4
	fallSlots   = 2
)

// applyHysteresis returns the published demand unless the current one differs enough from it.
func applyHysteresis(published, current int) int {
	if current > published+published/riseDivisor+riseSlots || current < published-published/fallDivisor-fallSlots || current == 0 {
		return current
	}
	return published
}
