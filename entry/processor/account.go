package processor

import (
	"sync/atomic"
	"time"
)

// Activity is what time is spent on.
type Activity int

// The activities of an owner that are accounted for.
//
//go:generate enumer -type=Activity -transform=title-lower
const (
	// Listing applies a server's listing.
	Listing Activity = iota
	// StartAnswer applies a server's answer to a start order.
	StartAnswer
	// Submission decides about a submitted job.
	Submission
	// Registration applies registrations of servers.
	Registration
	// Other applies what is rare: configurations, advice, outages and what a previous owner has stored.
	Other
	// Pass places pending tasks before a commit.
	Pass
	// Batch builds and encodes what a commit stores.
	Batch
	// Stored applies a commit that is stored.
	Stored
	// Tick does what is due by time, with the pass that follows.
	Tick
	// Pools reads what the controller of the pools needs and applies what it decides.
	Pools
	// Orders hands out orders and log lines.
	Orders
	// Log formats and writes log lines.
	Log
	// Frame encodes and decodes the frames between entries.
	Frame
)

// activities is the number of activities.
const activities = int(Frame) + 1

// Account sums up the time of activities. It is safe for concurrent use. A nil account counts nothing.
//
// The time is what passes from the beginning to the end of an activity. On a process that runs short of processor it includes the time
// for which the activity was interrupted by others.
type Account struct {
	entries [activities]struct {
		count, time, longest atomic.Int64
	}
}

// New returns an empty account.
func New() *Account {
	return &Account{}
}

// Add counts an activity that took the time d.
func (a *Account) Add(x Activity, d time.Duration) {
	if a == nil {
		return
	}
	e := &a.entries[x]
	e.count.Add(1)
	e.time.Add(int64(d))
	for {
		old := e.longest.Load()
		if int64(d) <= old || e.longest.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

// Since counts an activity that began at the given time and ends now.
func (a *Account) Since(x Activity, began time.Time) {
	if a != nil {
		a.Add(x, time.Since(began))
	}
}

// Sum is the time spent on an activity, and the longest of its parts.
type Sum struct {
	Activity Activity
	Count    int64
	Time     time.Duration
	Longest  time.Duration
}

// Take returns the sums of the activities since the last call, in the order of the activities, without those that did not occur.
func (a *Account) Take() []Sum {
	l := []Sum{}
	for i := range a.entries {
		e := &a.entries[i]
		if n := e.count.Swap(0); n > 0 {
			l = append(l, Sum{Activity(i), n, time.Duration(e.time.Swap(0)), time.Duration(e.longest.Swap(0))})
		}
	}
	return l
}
