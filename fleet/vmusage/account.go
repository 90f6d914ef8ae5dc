package vmusage

import "time"

// Cause is what a VM, or a part of its cores, is held for.
type Cause int

// The causes. A VM with tasks counts as working for the share of its cores that they use, and for another cause for the rest.
//
//go:generate enumer -type=Cause -transform=snake
const (
	// Working cores run tasks.
	Working Cause = iota
	// BesideLongRunning cores are free on VMs that run only long-running tasks.
	BesideLongRunning
	// BesideFinite cores are free on VMs that run finite tasks while no task of the pool waits.
	BesideFinite
	// Unfitting cores are free on VMs that run finite tasks while tasks of the pool wait that do not fit.
	Unfitting
	// Needed VMs run nothing and are held for the forecast demand of their pool.
	Needed
	// Surplus VMs run nothing and are not needed by their pool.
	Surplus
	// Moving VMs are on their way to another pool, or back from maintenance.
	Moving
	// Cordoned VMs get no new tasks because of maintenance or a move.
	Cordoned
	// Unusable VMs are on without a server that accepts tasks.
	Unusable
)

// VM is the state of a VM that is switched on.
type VM struct {
	Pool  string
	Cores float64
	// UsedCores are the cores that its tasks hold.
	UsedCores float64
	// Runs counts its tasks, LongRunning the long-running ones of them.
	Runs, LongRunning int
	// Down is true during a move or maintenance, Cordoned while it gets no new tasks, Usable if its server accepts tasks.
	Down, Cordoned, Usable bool
}

// Pool is what the account needs to know of a pool.
type Pool struct {
	// Waiting is true while tasks of the pool wait for a server, Surplus while the pool has more VMs than it needs.
	Waiting, Surplus bool
}

// Account sums up VM time by cause.
type Account struct {
	totals map[Cause]time.Duration
	last   time.Time
}

// maxGap bounds the time for which one look at the VMs counts, since the owner may have been frozen.
const maxGap = 2 * time.Second

// New returns an empty account.
func New() *Account {
	return &Account{totals: map[Cause]time.Duration{}}
}

// Add counts the time since the last call for the VMs as they are now.
func (a *Account) Add(now time.Time, vms []VM, pools map[string]Pool) {
	d := min(now.Sub(a.last), maxGap)
	first := a.last.IsZero()
	a.last = now
	if first || d <= 0 {
		return
	}
	for _, v := range vms {
		a.add(d, v, pools[v.Pool])
	}
}

// Total returns the VM time of a cause.
func (a *Account) Total(c Cause) time.Duration {
	return a.totals[c]
}

func (a *Account) add(d time.Duration, v VM, p Pool) {
	used := 0.0
	if v.Cores > 0 {
		used = min(v.UsedCores/v.Cores, 1)
	}
	working := time.Duration(used * float64(d))
	a.totals[Working] += working
	a.totals[cause(v, p)] += d - working
}

// cause returns what the free cores of a VM are held for.
func cause(v VM, p Pool) Cause {
	switch {
	case v.Down:
		return Moving
	case v.Cordoned:
		return Cordoned
	case !v.Usable:
		return Unusable
	case v.Runs > v.LongRunning && p.Waiting:
		return Unfitting
	case v.Runs > v.LongRunning:
		return BesideFinite
	case v.Runs > 0:
		return BesideLongRunning
	case p.Surplus:
		return Surplus
	default:
		return Needed
	}
}
