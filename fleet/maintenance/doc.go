// Package maintenance decides which VMs are drained, rebooted, returned to service or lent to another pool, and why.
//
// Decide is a pure function of the fleet's state and the time, and returns actions with reasons. The caller must
// record them by compare-and-swap against the state that it read before it carries out any of them.
package maintenance
