// Package backlog tests whether accepted work can meet its deadlines. If a queue is offered several times the
// capacity of its pool, the work that fits is accepted and finished in time and the rest is refused immediately,
// instead of all of it being late. The test is the demand bound of earliest-deadline-first scheduling.
package backlog
