// Package admission decides which requests a pool takes, in which order and on which VM they run.
//
// A Pool is a state machine without locks, goroutines or a clock: its caller
// serialises the calls and passes the time.
package admission
