// Package backlog tells whether work can be done by its deadlines. It answers a turn in which a queue asks for
// several times what its pool holds: what fits is taken and done in time, the rest is refused at once, instead of
// all being late. The test is the demand bound of earliest-deadline-first scheduling.
package backlog
