package admission

import (
	"sort"
	"time"
)

// latencySmoothing is the weight, from 0 to 1, of a new sample in a VM's exponentially smoothed latency.
const latencySmoothing = 0.2

// vmState holds the slots of one VM, the requests that run on it and its smoothed latency.
type vmState struct {
	name    string
	slots   int
	granted int
	busy    int
	usable  bool
	// backingOff excludes the whole VM after a refusal, borrowBackingOff only the slots granted to other entries.
	backingOff       bool
	borrowBackingOff bool
	backoff          time.Duration
	latency          time.Duration
}

// Bounds of the backoff after a VM refuses a request; each refusal in a row doubles it.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = time.Second
)

// freeGranted returns the number of free slots among those granted to this entry.
func (v *vmState) freeGranted() int {
	return v.freeOf(v.granted)
}

// freeTotal returns the number of slots that this entry does not use, including those granted to other entries.
func (v *vmState) freeTotal() int {
	if v.borrowBackingOff {
		return 0
	}
	return v.freeOf(v.slots)
}

// freeOf returns how many of n slots are free, 0 while the VM is unusable or backing off.
func (v *vmState) freeOf(n int) int {
	if !v.usable || v.backingOff {
		return 0
	}
	return max(n-v.busy, 0)
}

// score estimates the response time of the next request on the VM; lower is better.
func (v *vmState) score() float64 {
	return float64(v.latency+time.Millisecond) * float64(v.busy+1)
}

func (v *vmState) observeLatency(d time.Duration) {
	if v.latency == 0 {
		v.latency = d
		return
	}
	v.latency += time.Duration(latencySmoothing * float64(d-v.latency))
}

// pickGranted selects among the VMs with free slots granted to this entry.
func (p *Pool) pickGranted(avoid string) *vmState {
	return p.pickVM(avoid, (*vmState).freeGranted)
}

// pickBorrowable selects among the VMs with free slots, including those granted to other entries.
func (p *Pool) pickBorrowable(avoid string) *vmState {
	return p.pickVM(avoid, (*vmState).freeTotal)
}

// pickVM selects a VM other than avoid if there is one, by power of two choices. It returns nil if none is free.
func (p *Pool) pickVM(avoid string, freeSlots func(*vmState) int) *vmState {
	l := p.candidates(avoid, freeSlots)
	if len(l) == 0 {
		l = p.candidates("", freeSlots)
	}
	if len(l) == 0 {
		return nil
	}
	return p.betterOfTwo(l)
}

// betterOfTwo draws two VMs at random and returns the one with the lower score.
func (p *Pool) betterOfTwo(l []*vmState) *vmState {
	a := l[p.random.IntN(len(l))]
	b := l[p.random.IntN(len(l))]
	if b.score() < a.score() {
		return b
	}
	return a
}

// candidates lists the VMs with free slots; the slice is valid until the next call.
func (p *Pool) candidates(avoid string, freeSlots func(*vmState) int) []*vmState {
	p.candidateBuffer = p.candidateBuffer[:0]
	for _, v := range p.sortedVMs {
		if freeSlots(v) > 0 && v.name != avoid {
			p.candidateBuffer = append(p.candidateBuffer, v)
		}
	}
	return p.candidateBuffer
}

// recountSlots recomputes the slot totals and the list of VMs, sorted by name so that random draws are reproducible.
func (p *Pool) recountSlots() {
	p.free = 0
	p.usable = 0
	p.sortedVMs = p.sortedVMs[:0]
	for _, v := range p.vms {
		p.sortedVMs = append(p.sortedVMs, v)
		p.free += v.freeGranted()
		if v.usable {
			p.usable += v.granted
		}
	}
	sort.Slice(p.sortedVMs, func(i, j int) bool { return p.sortedVMs[i].name < p.sortedVMs[j].name })
}

// BackOff records that a VM refused the request of the ticket for lack of capacity and returns the backoff,
// after which the caller calls EndBackoff. It returns 0 if the VM is no longer known.
func (p *Pool) BackOff(now time.Time, t *Ticket) time.Duration {
	if t.borrowed {
		p.borrowBackoff = min(max(2*p.borrowBackoff, minBackoff), maxBackoff)
		p.borrowAfter = now.Add(p.borrowBackoff)
	}
	v := p.vms[t.VM]
	if v == nil {
		return 0
	}
	if !v.backingOff && !v.borrowBackingOff {
		v.backoff = min(max(2*v.backoff, minBackoff), maxBackoff)
	}
	if t.borrowed {
		v.borrowBackingOff = true
		return v.backoff
	}
	v.backingOff = true
	p.recountSlots()
	return v.backoff
}

// EndBackoff makes the VM eligible again after its backoff.
func (p *Pool) EndBackoff(vm string) {
	if v := p.vms[vm]; v != nil {
		v.backingOff = false
		v.borrowBackingOff = false
		p.recountSlots()
	}
}
