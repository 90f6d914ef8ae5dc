package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// bestServer returns the eligible server with the lowest placement cost for a task, or nil if the task has to wait.
// Tasks are packed onto the fullest servers, so that large tasks still fit elsewhere. Best-effort tasks go to the
// emptiest servers, apart from the serving tasks whose latency they would raise.
func bestServer(t *task, l []*serverState, now time.Time) *serverState {
	var found *serverState
	least := 0.0
	for _, v := range l {
		if !eligible(t, v, now) {
			continue
		}
		c := placementCost(t, v, now)
		if found == nil || c < least {
			found, least = v, c
		}
	}
	return found
}

// eligible reports whether the server satisfies the task's constraints and has capacity for it.
func eligible(t *task, v *serverState, now time.Time) bool {
	d := t.step.step.Demand()
	return d.Fits(v.free()) && suits(t, v, now) && v.admits(t, d)
}

// suits reports whether the server satisfies the task's constraints.
func suits(t *task, v *serverState, now time.Time) bool {
	p := t.step.step
	if v.isolates() || t.mayCrashServers() && !v.canTry(t, now) || !v.admitsStep(t.step, now) {
		return false
	}
	if p.Requires != "" && !v.info.HasLabel(p.Requires) {
		return false
	}
	return p.AntiAffinity <= 0 || v.replicas(t) < p.AntiAffinity
}

// replicas counts the runs of the task's step and occurrence on the server, whether they are assigned to it or not.
func (v *serverState) replicas(t *task) int {
	n := v.runsOf[stepKeyOf(t.key)]
	for _, k := range v.unassigned.tasks {
		if stepKeyOf(k) == stepKeyOf(t.key) {
			n++
		}
	}
	return n
}

// The weights of a placement cost. Its unit is the CPU capacity of one server: the base cost is the share left free.
const (
	// avoidedPenalty applies to the server on which the task last failed, stalled or was slow, to those on which its step
	// failed, to the VM of the last one that crashed under it, and to servers that are suspected to fail all.
	avoidedPenalty = 8
	// companionPenalty applies to each run on the server of a task that may crash it.
	companionPenalty = 1
	slowPenalty      = 4
	// failedPenalty applies to servers on which the last run failed, whatever its step.
	failedPenalty       = 2
	remoteDataPenalty   = 4
	interferencePenalty = 2
	replicaPenalty      = 0.2
)

func placementCost(t *task, v *serverState, now time.Time) float64 {
	p := t.step.step
	c := remainingCPUShare(v, p)
	if v.info.ID == t.avoidedServer || t.crashes > 0 && v.info.VM == t.crashedVM || v.mayFail(t.step, now) {
		c += avoidedPenalty
	}
	if t.mayCrashServers() {
		c += companionPenalty * float64(len(v.runs))
	}
	if v.health.hasFailed() {
		c += failedPenalty
	}
	if now.Before(v.health.slowUntil) {
		c += slowPenalty
	}
	if p.DataRack != "" && !v.info.HasLabel(p.DataRack) {
		c += remoteDataPenalty
	}
	switch {
	case p.BestEffort:
		c = -c
		c += interferencePenalty * float64(v.servingRuns)
	case isServing(p):
		c += interferencePenalty*float64(v.bestEffortRuns) + replicaPenalty*float64(v.replicas(t))
	case p.LongRunning:
		c += replicaPenalty * float64(v.replicas(t))
	}
	return c
}

// mayFail reports whether the server is suspected to fail all, or has failed runs of the step.
func (v *serverState) mayFail(p *stepState, now time.Time) bool {
	return p.outcomes.failedOn[v.info.ID] || v.health.isSuspect(now)
}

// remainingCPUShare returns the share of the server's CPU that stays free once a task of the step runs there.
func remainingCPUShare(v *serverState, p *job.Step) float64 {
	return cpuShare(v.free().CPU-p.Demand().CPU, v.info.Capacity.CPU)
}

// cpuShare returns the share that an amount is of a server's CPU capacity, 0 if it has none.
func cpuShare(amount, capacity int64) float64 {
	if capacity == 0 {
		return 0
	}
	return float64(amount) / float64(capacity)
}

// isServing reports whether the step has a target latency.
func isServing(p *job.Step) bool {
	return p.TargetLatency > 0
}

// gangCandidates returns the servers on which a gang may be placed now, last those that may fail it.
func gangCandidates(p *stepState, l []*serverState, now time.Time) []*serverState {
	good, bad := []*serverState{}, []*serverState{}
	for _, v := range l {
		switch {
		case !v.admitsStep(p, now):
		case v.mayFail(p, now):
			bad = append(bad, v)
		default:
			good = append(good, v)
		}
	}
	return append(good, bad...)
}

// gangPlacement returns a server for each member in order, or nil if the gang does not fit. A colocated gang is placed
// on a single rack if one has the capacity, otherwise across racks.
func gangPlacement(p *stepState, l []*serverState) []*serverState {
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
		v := firstFit(t, l, used, count)
		if v == nil {
			return nil
		}
		used[v] = used[v].Add(p.step.Demand())
		count[v]++
		chosen = append(chosen, v)
	}
	return chosen
}

func firstFit(t *task, l []*serverState, used map[*serverState]job.Size, count map[*serverState]int) *serverState {
	p := t.step.step
	for _, v := range l {
		if v.isolates() || p.Requires != "" && !v.info.HasLabel(p.Requires) {
			continue
		}
		if p.AntiAffinity > 0 && v.replicas(t)+count[v] >= p.AntiAffinity {
			continue
		}
		if p.Demand().Fits(v.free().Sub(used[v])) && v.admits(t, p.Demand().Add(used[v])) {
			return v
		}
	}
	return nil
}
