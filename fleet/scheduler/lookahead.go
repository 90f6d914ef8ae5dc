package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/duration"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/reservation"
)

// lookAhead is the state of placement that looks ahead: the reservations, and the distributions of durations that they need.
type lookAhead struct {
	// books holds the reservations of the pools that have some, heldServers the servers that are reserved in this pass.
	books       map[string]*reservation.Book
	heldServers []*serverState
	// reservationLines counts the changes of reservations since reservationLinesSince.
	reservationLines      int
	reservationLinesSince time.Time
	durations             *duration.Distributions
	durationsExportedAt   time.Time
}

func newLookAhead() lookAhead {
	return lookAhead{books: map[string]*reservation.Book{}, durations: duration.New()}
}

const (
	// largeShare is the share of a server that a task takes at least to be large. On the replayed loads, 0.15 made small tasks
	// wait longer at no gain for the largest ones, and 0.4 left out the largest tenth of medium tasks.
	largeShare = 0.25
	// endQuantile is the quantile by which runs on a server are foreseen to end, backfillQuantile that by which a task that is
	// to use a reserved server before its reservation begins is.
	endQuantile      = 0.5
	backfillQuantile = 0.8
	// startTime is the time from a placement until the run starts: a commit and an order.
	startTime = 40 * time.Millisecond
	// unboundedTime stands for the duration of a long-running task.
	unboundedTime = 24 * time.Hour
)

// beginReservations starts a pass with the reservations of the last one, if placement looks ahead.
func (s *Scheduler) beginReservations(now time.Time) {
	for _, b := range s.books {
		b.Begin(now)
	}
}

// endReservations ends a pass and logs what became of the reservations.
func (s *Scheduler) endReservations(now time.Time) {
	for pool, b := range s.books {
		for _, e := range b.Finish() {
			s.recordReservation(pool, e, now)
		}
		if b.Idle() {
			delete(s.books, pool)
		}
	}
	for _, v := range s.heldServers {
		v.held = nil
	}
	s.heldServers = nil
}

// maxReservationLines is the number of changes of reservations that are logged in each second. All are counted.
const maxReservationLines = 20

// recordReservation counts a change of a reservation and logs it.
func (s *Scheduler) recordReservation(pool string, e reservation.Event, now time.Time) {
	if s.orders.ReservationCounts == nil {
		s.orders.ReservationCounts = map[reservation.Change]int{}
	}
	s.orders.ReservationCounts[e.Change]++
	if now.Sub(s.reservationLinesSince) >= time.Second {
		s.reservationLines, s.reservationLinesSince = 0, now
	}
	if s.reservationLines++; s.reservationLines > maxReservationLines {
		return
	}
	r := e.Reservation
	s.addDecision(Decision{
		Job: r.Task.Job, Task: r.Task.String(), Server: r.Server, Pool: pool,
		Reason: fmt.Sprintf("reservation %s, room foreseen in %s", e.Change, r.Start.Sub(now).Round(time.Millisecond)),
	})
}

// reserve reserves servers for the step's pending tasks if they are large.
func (s *Scheduler) reserve(w pendingStep, l []*serverState, now time.Time) {
	p := w.step.step
	if !s.limits.LookAhead || p.Gang || p.BestEffort || s.needsAdvice(w.state) || !isLarge(p, l) {
		return
	}
	pool := s.poolOf(w.state)
	b := s.books[pool]
	if b == nil {
		b = reservation.New()
		b.Begin(now)
		s.books[pool] = b
	}
	for _, t := range w.step.tasks {
		if t.done || t.run != nil || t.mayCrashServers() {
			continue
		}
		if b.Full(len(l)) {
			return
		}
		r := b.Reserve(reservation.Task{Key: t.key, Demand: p.Demand()}, &candidates{s, t, l, now}, now)
		if r != nil {
			v := s.servers[r.Server]
			v.held = r
			s.heldServers = append(s.heldServers, v)
		}
	}
}

// isLarge reports whether a task of the step takes a large share of the servers.
func isLarge(p *job.Step, l []*serverState) bool {
	c := job.Size{}
	for _, v := range l[:min(len(l), capacitySample)] {
		c = c.Max(v.info.Capacity)
	}
	d := p.Demand()
	return float64(d.CPU) >= largeShare*float64(c.CPU) || float64(d.MemoryMB) >= largeShare*float64(c.MemoryMB) || d.Accelerators > 0
}

// capacitySample is the number of a pool's servers by whose capacity tasks count as large.
const capacitySample = 8

// candidates are the servers for a task, sorted by ID.
type candidates struct {
	s   *Scheduler
	t   *task
	l   []*serverState
	now time.Time
}

func (c *candidates) Len() int {
	return len(c.l)
}

func (c *candidates) Find(id string) int {
	i, ok := slices.BinarySearchFunc(c.l, id, func(v *serverState, id string) int { return cmp.Compare(v.info.ID, id) })
	if !ok {
		return -1
	}
	return i
}

func (c *candidates) Server(i int) (reservation.Server, bool) {
	v := c.l[i]
	if !suits(c.t, v, c.now) || v.info.ID == c.t.avoidedServer || v.mayFail(c.t.step, c.now) || c.now.Before(v.health.slowUntil) {
		return reservation.Server{}, false
	}
	x := reservation.Server{ID: v.info.ID, Free: v.free(), Ends: make([]reservation.End, 0, len(v.runs))}
	for _, r := range v.runs {
		if !r.task.step.step.LongRunning {
			x.Ends = append(x.Ends, reservation.End{At: c.s.foreseenEnd(r, c.now), Size: r.task.step.step.Demand()})
		}
	}
	return x, true
}

// foreseenEnd returns when a finite run is foreseen to end: by its progress where that is known, else by the distribution of
// its kind.
func (s *Scheduler) foreseenEnd(r *run, now time.Time) time.Time {
	switch {
	case r.phase == stopping:
		return r.stopSentAt.Add(s.limits.StopTimeout)
	case r.phase == working && r.percent >= r.startPercent+projectionMinPercent && r.pace == fullPace:
		return r.server.listedAt.Add(r.projectedDuration() * time.Duration(100-r.percent) / 100)
	case r.phase == assigned || r.startedAt.IsZero():
		return now.Add(s.foreseenDuration(r.task, 0, endQuantile))
	default:
		return r.startedAt.Add(s.foreseenDuration(r.task, now.Sub(r.startedAt), endQuantile))
	}
}

// foreseenDuration returns a quantile of the duration of a task that has run for elapsed.
func (s *Scheduler) foreseenDuration(t *task, elapsed time.Duration, quantile float64) time.Duration {
	if t.step.step.LongRunning {
		return unboundedTime
	}
	return s.durations.Quantile(t.kind(), t.step.step.Estimate, elapsed, quantile)
}

// foreseeEnd records when the step's tasks are foreseen to end if they are placed now, for the checks of reservations.
func (s *Scheduler) foreseeEnd(p *stepState, now time.Time) {
	if len(s.heldServers) > 0 {
		p.foreseenEnd = now.Add(startTime + s.foreseenDuration(p.tasks[0], 0, backfillQuantile))
	}
}

// heldServersFor returns the reserved servers with room for a task of the step. Steps that need advice get none, since it may
// allow other servers only.
func (s *Scheduler) heldServersFor(w pendingStep) []*serverState {
	if len(s.heldServers) == 0 || s.needsAdvice(w.state) {
		return nil
	}
	pool, d, l := s.poolOf(w.state), w.step.step.Demand(), []*serverState(nil)
	for _, v := range s.heldServers {
		if v.info.Pool == pool && d.Fits(v.free()) {
			l = append(l, v)
		}
	}
	return l
}

// placed records that a task was placed on a server.
func (s *Scheduler) placed(t *task, v *serverState, now time.Time) {
	v.health.lastProbe = now
	if b := s.books[s.poolOf(t.state)]; b != nil {
		b.Placed(t.key)
	}
	if v.held != nil {
		v.held.Take(t.step.step.Demand(), t.step.foreseenEnd)
	}
}

// admits reports whether the server has no reservation in the way of a task that takes demand, together with others of its gang.
func (v *serverState) admits(t *task, demand job.Size) bool {
	return v.held == nil || v.held.Admits(demand, t.step.foreseenEnd)
}

// waitsForReservation returns what a task with a reservation, or with room only beside one, waits for, or an empty string.
func (s *Scheduler) waitsForReservation(t *task, pool string, now time.Time) string {
	b := s.books[pool]
	if b == nil {
		return ""
	}
	if r := b.Of(t.key); r != nil {
		return fmt.Sprintf("server %s, which is reserved for it and foreseen to have room in %s", r.Server, max(r.Start.Sub(now), 0).Round(time.Millisecond))
	}
	return ""
}
