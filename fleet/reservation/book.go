package reservation

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

const (
	// serversPerReservation is the number of a pool's servers for each of which one may be reserved, so that most of the pool
	// is always left to other tasks. maxReservations bounds the cost of a pass.
	serversPerReservation = 8
	maxReservations       = 32
	// maxSearches is the number of searches for a server in each searchInterval, maxCandidates the number of servers that one
	// compares. Tasks that get no search have one in a later pass. Comparing 64 servers took up to a third more processor time on
	// the replayed loads, for waits that differed by less than the repetitions.
	maxSearches    = 4
	searchInterval = 40 * time.Millisecond
	maxCandidates  = 16
	// maxWait is how far ahead a server is reserved, since what ends before the reservation begins is all that it takes until
	// then. Further ahead, a task that waits has more servers to choose from.
	maxWait = 500 * time.Millisecond
	// maxDelay is how long after its first foreseen start a reservation is given up, and retryDelay how long its task then gets
	// no other: runs that do not end as foreseen would keep the server from small tasks.
	maxDelay   = time.Second
	retryDelay = 2 * time.Second
)

// Task is a task that needs a reservation.
type Task struct {
	Key    job.Task
	Demand job.Size
}

// Reservation is a server's room from a time on for one task.
type Reservation struct {
	Task   job.Task
	Server string
	// Start is when enough room is foreseen, promised what it was when the server was chosen.
	Start    time.Time
	promised time.Time
	// spare is the room beside the task at Start that no other task has taken.
	spare job.Size
}

// Admits reports whether a task that takes demand until end may use the reserved server.
func (r *Reservation) Admits(demand job.Size, end time.Time) bool {
	return !end.After(r.Start) || demand.Fits(r.spare)
}

// Take records that an admitted task uses the server.
func (r *Reservation) Take(demand job.Size, end time.Time) {
	if end.After(r.Start) {
		r.spare = r.spare.Sub(demand)
	}
}

// Change is what became of a reservation.
type Change int

//go:generate enumer -type=Change -transform=title-lower
const (
	// Made means that the task had no reservation before.
	Made Change = iota
	// Moved means that another server is foreseen to have room earlier, or that the last one can no longer be used.
	Moved
	// Met means that the task was placed.
	Met
	// Dropped means that the task no longer needs a reservation, or that no server can be reserved for it.
	Dropped
	// Overdue means that the server had no room for too long after the promised time.
	Overdue
)

// Event is a change of a reservation.
type Event struct {
	Change      Change
	Reservation Reservation
}

// Book holds the reservations of a pool. Each pass over the pending tasks makes them anew and prefers the last choice. It is
// not safe for concurrent use.
type Book struct {
	last, current map[job.Task]*Reservation
	byServer      map[string]*Reservation
	barredUntil   map[job.Task]time.Time
	// searches counts the searches since searchedAt, offset is the index of the first server that the next one compares.
	searches   int
	searchedAt time.Time
	offset     int
	events     []Event
}

// New returns an empty book.
func New() *Book {
	return &Book{current: map[job.Task]*Reservation{}, barredUntil: map[job.Task]time.Time{}}
}

// Begin starts a pass.
func (b *Book) Begin(now time.Time) {
	b.last, b.current, b.byServer, b.events = b.current, map[job.Task]*Reservation{}, map[string]*Reservation{}, nil
	if now.Sub(b.searchedAt) >= searchInterval {
		b.searches, b.searchedAt = 0, now
	}
	for t, until := range b.barredUntil {
		if !now.Before(until) {
			delete(b.barredUntil, t)
		}
	}
}

// Full reports whether a pool of a number of servers has as many reservations as it may.
func (b *Book) Full(servers int) bool {
	return len(b.current) >= min((servers+serversPerReservation-1)/serversPerReservation, maxReservations)
}

// Candidates are the servers that satisfy a task's constraints, whether or not they have room. Server returns the i-th of Len
// servers, and false if the task cannot be placed there; Find returns the index of a server by its ID, or -1.
type Candidates interface {
	Len() int
	Find(id string) int
	Server(i int) (Server, bool)
}

// Reserve reserves a server for a task and returns the reservation, or nil: the last choice unless it is overdue, else the
// server where room is foreseen earliest.
func (b *Book) Reserve(t Task, c Candidates, now time.Time) *Reservation {
	if b.Full(c.Len()) || now.Before(b.barredUntil[t.Key]) {
		return nil
	}
	last := b.last[t.Key]
	r := b.renew(t, last, c, now)
	if r == nil && now.Before(b.barredUntil[t.Key]) {
		return nil
	}
	if r == nil {
		r = b.search(t, c, now)
	}
	if r == nil {
		return nil
	}
	switch {
	case last == nil:
		b.note(Made, r)
	case last.Server != r.Server:
		b.note(Moved, r)
	}
	delete(b.last, t.Key)
	b.current[t.Key], b.byServer[r.Server] = r, r
	return r
}

// renew returns the last reservation as it is foreseen now, or nil if it cannot be kept. The task of one that is overdue gets
// no other for a while.
func (b *Book) renew(t Task, last *Reservation, c Candidates, now time.Time) *Reservation {
	if last == nil || b.byServer[last.Server] != nil {
		return nil
	}
	i := c.Find(last.Server)
	if i < 0 {
		return nil
	}
	if now.Sub(last.promised) > maxDelay {
		b.barredUntil[t.Key] = now.Add(retryDelay)
		delete(b.last, t.Key)
		b.note(Overdue, last)
		return nil
	}
	r := b.reserve(t, c, i, now)
	if r != nil {
		r.promised = last.promised
	}
	return r
}

// search returns a reservation of the server, of those that are not reserved, where room is foreseen earliest.
func (b *Book) search(t Task, c Candidates, now time.Time) *Reservation {
	if b.searches >= maxSearches {
		return nil
	}
	b.searches++
	var found *Reservation
	n := min(c.Len(), maxCandidates)
	for k := range n {
		r := b.reserve(t, c, (b.offset+k)%c.Len(), now)
		if r != nil && (found == nil || r.Start.Before(found.Start)) {
			found = r
		}
	}
	if n > 0 {
		b.offset = (b.offset + n) % c.Len()
	}
	return found
}

func (b *Book) reserve(t Task, c Candidates, i int, now time.Time) *Reservation {
	v, ok := c.Server(i)
	if !ok || b.byServer[v.ID] != nil {
		return nil
	}
	at, spare, ok := v.earliest(t.Demand, now)
	if !ok || at.Sub(now) > maxWait {
		return nil
	}
	return &Reservation{Task: t.Key, Server: v.ID, Start: at, promised: at, spare: spare}
}

// Placed records that a task was placed.
func (b *Book) Placed(t job.Task) {
	if r := b.last[t]; r != nil {
		b.note(Met, r)
		delete(b.last, t)
	}
}

// Finish ends a pass and returns what became of the reservations.
func (b *Book) Finish() []Event {
	l := []*Reservation{}
	for _, r := range b.last {
		l = append(l, r)
	}
	slices.SortFunc(l, func(x, y *Reservation) int { return cmp.Compare(x.Task.String(), y.Task.String()) })
	for _, r := range l {
		b.note(Dropped, r)
	}
	b.last = nil
	return b.events
}

// Of returns the reservation for a task, or nil.
func (b *Book) Of(t job.Task) *Reservation {
	return b.current[t]
}

// Len returns the number of reservations.
func (b *Book) Len() int {
	return len(b.current)
}

// Idle reports whether the book holds nothing that a later pass needs.
func (b *Book) Idle() bool {
	return len(b.current) == 0 && len(b.barredUntil) == 0
}

func (b *Book) note(c Change, r *Reservation) {
	b.events = append(b.events, Event{c, *r})
}
