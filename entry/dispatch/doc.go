// Package dispatch gives requests slots on the VMs of their pool.
//
// Lock order: Dispatcher.lock, then the lock of one pool. No I/O happens under either.
package dispatch
