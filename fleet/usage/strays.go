package usage

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// Run identifies a run by its task and number.
type Run struct {
	Task   job.Task
	Number int
}

// Stray is a run that a server may have although it is not assigned to the server, such as the abandoned run of a
// speculative task or one of a job that has ended.
type Stray struct {
	Workspace string
	Size      job.Size
	// Unsized is true if the size is not known.
	Unsized bool
	// ConfirmedClock is the latest time, on the server's clock, at which the run is known to have existed. Listings up to it
	// do not show that the run has ended.
	ConfirmedClock time.Duration
}

// Strays holds the strays of a server and counts them in a ledger.
type Strays struct {
	ledger *Ledger
	runs   map[Run]Stray
}

// NewStrays returns an empty set of strays.
func NewStrays(l *Ledger) *Strays {
	return &Strays{ledger: l, runs: map[Run]Stray{}}
}

// Add counts a run unless it is counted already or has no workspace.
func (x *Strays) Add(r Run, s Stray) {
	if _, known := x.runs[r]; known || s.Workspace == "" {
		return
	}
	x.runs[r] = s
	x.ledger.Add(s.Workspace, s.Size)
	if s.Unsized {
		x.ledger.account(s.Workspace).unsized++
	}
}

// Remove counts a run no longer and reports whether it was counted.
func (x *Strays) Remove(r Run) bool {
	s, known := x.runs[r]
	if !known {
		return false
	}
	delete(x.runs, r)
	x.ledger.Remove(s.Workspace, s.Size)
	if s.Unsized {
		x.ledger.account(s.Workspace).unsized--
	}
	return true
}

// Retain removes the runs that a listing, made when the server's clock showed the given value, does not hold. It reports
// whether there were any.
func (x *Strays) Retain(listed map[Run]bool, clock time.Duration) bool {
	removed := false
	for r, s := range x.runs {
		if !listed[r] && (clock > s.ConfirmedClock || s.ConfirmedClock == 0) {
			removed = x.Remove(r) || removed
		}
	}
	return removed
}

// Clear removes all runs and reports whether there were any.
func (x *Strays) Clear() bool {
	return x.Retain(nil, 1<<63-1)
}

// All returns the runs. The caller must not change them.
func (x *Strays) All() map[Run]Stray {
	return x.runs
}
