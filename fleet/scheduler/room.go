package scheduler

import (
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// room is what a pass knows of the room in a pool. While a turn asks for several times the pool's capacity, hundreds of steps wait, and a
// search for each of them in each pass would go through all of the pool's servers.
type room struct {
	// servers are those that accept new runs, free what each of them has free, kept side by side since most searches end there.
	servers []*serverState
	free    []job.Size
	// cpu has the CPU capacity of each server.
	cpu []int64
	fullness
	// most has of each resource at least what is free on any of the servers. It may be too large once taken is true.
	most  job.Size
	taken bool
}

// newRoom returns the room in a pool at the beginning of a pass. It makes another pass due when the next server of the pool that gets no
// new runs may get some again.
func (s *Scheduler) newRoom(pool string, now time.Time) *room {
	x := &room{servers: s.usableServers(pool, now)}
	x.free, x.cpu = make([]job.Size, len(x.servers)), make([]int64, len(x.servers))
	for i, v := range x.servers {
		x.cpu[i] = v.info.Capacity.CPU
		x.free[i] = v.free()
		x.most = x.most.Max(x.free[i])
	}
	for _, v := range s.serversOf(pool) {
		s.resumeAt(v.resumesAt(now))
	}
	return x
}

// measure updates what is free at most, and returns the number of servers that it has looked at.
func (x *room) measure() int {
	if !x.taken {
		return 0
	}
	x.most, x.taken = job.Size{}, false
	for _, d := range x.free {
		x.most = x.most.Max(d)
	}
	return len(x.free)
}

// take records that a task was placed on a server.
func (x *room) take(v *serverState) {
	x.taken = true
	if i := slices.Index(x.servers, v); i >= 0 {
		x.free[i] = v.free()
	}
}

// best returns the eligible server with the lowest placement cost for a task, nil if there is none.
func (x *room) best(t *task, now time.Time) *serverState {
	var found *serverState
	least, d := 0.0, t.step.step.Demand()
	for i, f := range x.free {
		if !d.Fits(f) || found != nil && !t.step.step.BestEffort && cpuShare(f.CPU-d.CPU, x.cpu[i]) >= least {
			// The share of the CPU that stays free is the least that placement may cost, other than that of best-effort tasks.
			continue
		}
		v := x.servers[i]
		if !suits(t, v, now) || !v.admits(t, d) {
			continue
		}
		if c := placementCost(t, v, now); found == nil || c < least {
			found, least = v, c
		}
	}
	return found
}

// mayFit reports whether a server may have the capacity for a demand.
func (x *room) mayFit(d job.Size) bool {
	return d.Fits(x.most)
}

// fullness holds the demands of tasks without constraints, of steps that have not failed, for which a pass has found no server with capacity
// in a pool.
type fullness struct {
	demands []job.Size
}

// maxFullDemands is the number of demands that fullness compares.
const maxFullDemands = 8

// rulesOut reports whether a demand surely finds no server, since it is no smaller than one that found none.
func (f *fullness) rulesOut(d job.Size) bool {
	for _, x := range f.demands {
		if x.Fits(d) {
			return true
		}
	}
	return false
}

// add records that a task of the step found no server.
func (f *fullness) add(p *job.Step) {
	if p.Requires == "" && p.AntiAffinity == 0 && len(f.demands) < maxFullDemands {
		f.demands = append(f.demands, p.Demand())
	}
}
