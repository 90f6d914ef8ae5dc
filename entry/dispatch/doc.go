// Package dispatch assigns requests to slots on the VMs of their pool.
//
// Lock order: Dispatcher.lock, then the lock of one pool. No I/O is done while either is held.
package dispatch
