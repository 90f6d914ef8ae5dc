package admission

import (
	"sort"
	"time"
)

// latencyWeight is the part of each new observation in a VM's smoothed latency.
const latencyWeight = 0.2

// vmState is the slots of one VM that the entry may use.
type vmState struct {
	name    string
	slots   int
	granted int
	busy    int
	usable  bool
	// cooling leaves the VM alone after a refusal, lentCooling only its slots that are another's.
	cooling     bool
	lentCooling bool
	pause       time.Duration
	latency     time.Duration
}

// Pauses after a refusal of a VM, doubled with each refusal in a row.
const (
	firstCooling   = 5 * time.Millisecond
	longestCooling = time.Second
)

// free is how many of the entry's own slots are free.
func (v *vmState) free() int {
	return v.room(v.granted)
}

// lent is how many slots are free as far as the entry knows, another's included.
func (v *vmState) lent() int {
	if v.lentCooling {
		return 0
	}
	return v.room(v.slots)
}

func (v *vmState) room(n int) int {
	if !v.usable || v.cooling {
		return 0
	}
	return max(n-v.busy, 0)
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

// pick takes the better of two random VMs with free slots of the entry's own.
func (p *Pool) pick(avoid string) *vmState {
	return p.choose(avoid, (*vmState).free)
}

// borrow takes the better of two random VMs with slots that are another's and likely to be free.
func (p *Pool) borrow(avoid string) *vmState {
	return p.choose(avoid, (*vmState).lent)
}

func (p *Pool) choose(avoid string, room func(*vmState) int) *vmState {
	l := p.candidates(avoid, room)
	if len(l) == 0 {
		l = p.candidates("", room)
	}
	if len(l) == 0 {
		return nil
	}
	return p.better(l)
}

func (p *Pool) better(l []*vmState) *vmState {
	a := l[p.random.IntN(len(l))]
	b := l[p.random.IntN(len(l))]
	if b.score() < a.score() {
		return b
	}
	return a
}

func (p *Pool) candidates(avoid string, room func(*vmState) int) []*vmState {
	p.scratch = p.scratch[:0]
	for _, v := range p.order {
		if room(v) > 0 && v.name != avoid {
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

// BackOff notes that a VM had no room for a request, and returns how long it is to be left alone;
// the caller then calls Cooled.
func (p *Pool) BackOff(now time.Time, t *Ticket) time.Duration {
	if t.borrowed {
		p.patience = min(max(2*p.patience, firstCooling), longestCooling)
		p.borrowAfter = now.Add(p.patience)
	}
	v := p.vms[t.VM]
	if v == nil {
		return 0
	}
	if !v.cooling && !v.lentCooling {
		v.pause = min(max(2*v.pause, firstCooling), longestCooling)
	}
	if t.borrowed {
		v.lentCooling = true
		return v.pause
	}
	v.cooling = true
	p.recount()
	return v.pause
}

// EndBackoff ends a VM's pause.
func (p *Pool) EndBackoff(vm string) {
	if v := p.vms[vm]; v != nil {
		v.cooling = false
		v.lentCooling = false
		p.recount()
	}
}
