package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// best is the server for one task, or nil if it has to wait. Finite work goes where least is left over,
// so that large tasks still find room; what disturbs other tasks is kept apart from what is disturbed.
func best(t *task, l []*serverState, now time.Time) *serverState {
	var found *serverState
	least := 0.0
	for _, v := range l {
		if !suits(t, v) {
			continue
		}
		c := cost(t, v, now)
		if found == nil || c < least {
			found, least = v, c
		}
	}
	return found
}

// suits says whether the task may run on the server and fits.
func suits(t *task, v *serverState) bool {
	p := t.step.step
	if p.Requires != "" && !v.info.HasLabel(p.Requires) {
		return false
	}
	if p.AntiAffinity > 0 && v.shared(t) >= p.AntiAffinity {
		return false
	}
	return p.Demand().Fits(v.info.Capacity.Sub(v.used))
}

// shared counts the other tasks of the same step and occurrence on the server.
func (v *serverState) shared(t *task) int {
	n := 0
	for k := range v.runs {
		if k.Job == t.key.Job && k.Occurrence == t.key.Occurrence && k.Step == t.key.Step {
			n++
		}
	}
	return n
}

// The parts of a server's cost for a task, in whole servers left over.
const (
	costAvoided = 8
	costSlow    = 4
	costFarData = 4
	costDisturb = 2
	costPerCopy = 0.2
)

func cost(t *task, v *serverState, now time.Time) float64 {
	p := t.step.step
	c := remaining(v, p)
	if v.info.ID == t.avoided {
		c += costAvoided
	}
	if now.Before(v.health.slowTo) {
		c += costSlow
	}
	if p.DataRack != "" && !v.info.HasLabel(p.DataRack) {
		c += costFarData
	}
	switch {
	case p.BestEffort:
		c = -c
		c += costDisturb * float64(v.having(serves))
	case serves(p):
		c += costDisturb*float64(v.having(fills)) + costPerCopy*float64(v.shared(t))
	case p.LongRunning:
		c += costPerCopy * float64(v.shared(t))
	}
	return c
}

// remaining is the share of the server that is left once the task runs there.
func remaining(v *serverState, p *job.Step) float64 {
	if v.info.Capacity.CPU == 0 {
		return 0
	}
	return float64(v.info.Capacity.CPU-v.used.CPU-p.Demand().CPU) / float64(v.info.Capacity.CPU)
}

func serves(p *job.Step) bool {
	return p.TargetLatency > 0
}

func fills(p *job.Step) bool {
	return p.BestEffort
}

// having counts the runs on the server whose step is of a kind.
func (v *serverState) having(kind func(*job.Step) bool) int {
	n := 0
	for _, r := range v.runs {
		if kind(r.task.step.step) {
			n++
		}
	}
	return n
}

// gangServers are the servers for all members in order, on one rack where one has the room, or nil.
func gangServers(p *stepState, l []*serverState) []*serverState {
	if p.step.Colocated {
		racks := map[string][]*serverState{}
		for _, v := range l {
			racks[v.info.Rack()] = append(racks[v.info.Rack()], v)
		}
		for _, v := range l {
			if c := packGang(p, racks[v.info.Rack()]); c != nil {
				return c
			}
		}
	}
	return packGang(p, l)
}

func packGang(p *stepState, l []*serverState) []*serverState {
	chosen := []*serverState{}
	used := map[*serverState]job.Size{}
	count := map[*serverState]int{}
	for _, t := range p.tasks {
		v := gangServer(t, l, used, count)
		if v == nil {
			return nil
		}
		used[v] = used[v].Add(p.step.Demand())
		count[v]++
		chosen = append(chosen, v)
	}
	return chosen
}

func gangServer(t *task, l []*serverState, used map[*serverState]job.Size, count map[*serverState]int) *serverState {
	p := t.step.step
	for _, v := range l {
		if p.Requires != "" && !v.info.HasLabel(p.Requires) {
			continue
		}
		if p.AntiAffinity > 0 && count[v] >= p.AntiAffinity {
			continue
		}
		if p.Demand().Fits(v.info.Capacity.Sub(v.used).Sub(used[v])) {
			return v
		}
	}
	return nil
}
