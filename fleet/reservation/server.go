package reservation

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// Server is a server that may be reserved.
type Server struct {
	ID   string
	Free job.Size
	// Ends are the foreseen ends of the runs on the server. Runs without one are left out.
	Ends []End
}

// End is when a run is foreseen to end, and the room that it leaves.
type End struct {
	At   time.Time
	Size job.Size
}

// earliest returns when the server is foreseen to have room for a demand, and what is left free beside it then. The result is
// false if no end makes enough room.
func (v Server) earliest(d job.Size, now time.Time) (time.Time, job.Size, bool) {
	at, free := now, v.Free
	slices.SortFunc(v.Ends, func(a, b End) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Size.CPU, b.Size.CPU)) })
	for _, e := range v.Ends {
		if d.Fits(free) {
			break
		}
		free = free.Add(e.Size)
		if e.At.After(at) {
			at = e.At
		}
	}
	return at, free.Sub(d), d.Fits(free)
}
