package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/platform/simulator"
)

// capacityEighths lists the capacities that servers change to, in eighths of that of their VM.
var capacityEighths = []int64{1, 2, 4, 8, 10}

// drawUnguardedPools draws the pools whose servers start whatever they are ordered to, even beyond their capacity.
func drawUnguardedPools(random *rand.Rand) []string {
	l := []string{}
	for _, p := range jobsite.Pools {
		if random.IntN(2) == 0 {
			l = append(l, p)
		}
	}
	return l
}

const (
	// fullCapacity is the capacity of a VM in eighths.
	fullCapacity = 8
	// minCapacityGap and maxCapacityGap bound the time between changes. Most capacities last longer than it takes until
	// starts must respect them.
	minCapacityGap = 500 * time.Millisecond
	maxCapacityGap = 6 * time.Second
)

// changeCapacities changes the capacities of some servers from time to time until the context ends. It draws from a
// stream of its own so that the other faults of a seed do not depend on it.
func (r *run) changeCapacities(ctx context.Context) {
	for gap := minCapacityGap; ; gap = minCapacityGap + time.Duration(r.capacityRandom.Int64N(int64(maxCapacityGap-minCapacityGap))) {
		wait(ctx, gap)
		if ctx.Err() != nil {
			return
		}
		changes := []string{}
		for _, v := range r.site.Platform.Options.VMs {
			n := capacityEighths[r.capacityRandom.IntN(len(capacityEighths))]
			if r.capacityRandom.IntN(2) == 0 {
				r.setCapacity(v, n)
				changes = append(changes, fmt.Sprintf("%s %d/8", v.Name, n))
			}
		}
		r.recordFault("capacity "+strings.Join(changes, ", "), 0)
	}
}

// setCapacity sets the capacity of a VM's current server.
func (r *run) setCapacity(v simulator.VM, eighths int64) {
	c := v.Capacity
	r.site.Platform.SetServerCapacity(v.Name, job.Size{
		CPU: c.CPU * eighths / fullCapacity, MemoryMB: c.MemoryMB * eighths / fullCapacity, Accelerators: c.Accelerators * eighths / fullCapacity,
	})
}
