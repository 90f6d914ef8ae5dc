// Package scheduler places the tasks of jobs on backend servers for the entry that owns the fleet. It is a
// deterministic state machine: its methods take events and the current time, and it returns orders for servers
// and records for the store. It reads no clock, takes no locks and does no I/O; callers serialize the calls.
package scheduler
