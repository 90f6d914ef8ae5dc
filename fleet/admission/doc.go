// Package admission implements admission control, queueing and VM selection for the requests of a pool.
//
// A Pool is a state machine without locks, goroutines or a clock: the caller
// serialises the calls and passes the current time.
package admission
