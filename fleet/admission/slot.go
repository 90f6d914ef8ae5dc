package admission

import (
	"math/rand/v2"
	"sort"
	"time"
)

// latencyWeight is the part of each new observation in a VM's smoothed latency.
const latencyWeight = 0.2

// vmState is the slots of one VM that the entry may use.
type vmState struct {
	name    string
	granted int
	busy    int
	usable  bool
	cooling bool
	pause   time.Duration
	latency time.Duration
}

// Pauses after a refusal of a VM, doubled with each refusal in a row.
const (
	firstCooling   = 10 * time.Millisecond
	longestCooling = time.Second
)

func (v *vmState) free() int {
	if !v.usable || v.cooling {
		return 0
	}
	return max(v.granted-v.busy, 0)
}

// score is lower for a VM that answers sooner.
func (v *vmState) score() float64 {
	return float64(v.latency+time.Millisecond) * float64(v.busy+1)
}

func (v *vmState) observe(d time.Duration) {
	if v.latency == 0 {
		v.latency = d
		return
	}
	v.latency += time.Duration(latencyWeight * float64(d-v.latency))
}

// pick takes the better of two random VMs with free slots.
func (p *Pool) pick(r *rand.Rand, avoid string) *vmState {
	l := p.candidates(avoid)
	if len(l) == 0 {
		l = p.candidates("")
	}
	if len(l) == 0 {
		return nil
	}
	a := l[r.IntN(len(l))]
	b := l[r.IntN(len(l))]
	if b.score() < a.score() {
		return b
	}
	return a
}

func (p *Pool) candidates(avoid string) []*vmState {
	p.scratch = p.scratch[:0]
	for _, v := range p.order {
		if v.free() > 0 && v.name != avoid {
			p.scratch = append(p.scratch, v)
		}
	}
	return p.scratch
}

func (p *Pool) recount() {
	p.free = 0
	p.usable = 0
	p.order = p.order[:0]
	for _, v := range p.vms {
		p.order = append(p.order, v)
		p.free += v.free()
		if v.usable {
			p.usable += v.granted
		}
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].name < p.order[j].name })
}

// Refused notes that a VM had no free slot, and returns how long it is to be left alone;
// the caller then calls Cooled.
func (p *Pool) Refused(vm string) time.Duration {
	v := p.vms[vm]
	if v == nil {
		return 0
	}
	if !v.cooling {
		v.pause = min(max(2*v.pause, firstCooling), longestCooling)
	}
	v.cooling = true
	p.recount()
	return v.pause
}

// Cooled ends a VM's pause.
func (p *Pool) Cooled(vm string) {
	if v := p.vms[vm]; v != nil {
		v.cooling = false
		p.recount()
	}
}
