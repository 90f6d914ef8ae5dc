package fairshare

import (
	"math"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// Share is a workspace's part of a pool. Used, Fair and Offered are fractions of the pool's capacity in the workspace's
// dominant resource.
type Share struct {
	Used, Fair, Offered float64
	// OfferedRate is the resources that the offered work needs all the time.
	OfferedRate job.Amount
}

// Allocation holds the shares of the workspaces by name.
type Allocation map[string]Share

// tolerance absorbs the rounding of sums that are equal.
const tolerance = 1e-9

// Above reports whether the workspace uses more than its fair share.
func (x Allocation) Above(name string) bool {
	s := x[name]
	return s.Used > s.Fair*(1+tolerance)
}

// Expected returns the work that the workspaces other than the named one are expected to have in the pool over the next d:
// what they offer, up to their fair share, less what they have in it already.
func (x Allocation) Expected(name string, d time.Duration, accepted map[string]job.Amount) job.Amount {
	sum := job.Amount{}
	for n, s := range x {
		if n == name || s.Offered <= 0 {
			continue
		}
		e := s.OfferedRate.Times(min(s.Fair/s.Offered, 1) * d.Seconds()).Add(accepted[n].Times(-1))
		sum = sum.Add(job.Amount{Cores: max(e.Cores, 0), MemoryMB: max(e.MemoryMB, 0), Accelerators: max(e.Accelerators, 0)})
	}
	return sum
}

// RetryAfter returns the time after which the workspace's use has decayed to its fair share if nothing is accepted.
func (s Share) RetryAfter() time.Duration {
	if s.Used <= s.Fair {
		return 0
	}
	return time.Duration(min(math.Log(s.Used/max(s.Fair, tolerance)), negligible) * float64(Window))
}
