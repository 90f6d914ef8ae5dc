// Package scheduler is the owner's state of jobs and backend servers: events and the time go in,
// orders for servers and records for the store come out. It has no clock, locks or I/O of its own.
package scheduler
