// Package controller decides and executes VM maintenance and moves between pools, on the entry that holds the
// controller lease.
//
// The lease only avoids duplicate work. Every action is recorded with a compare-and-swap on the configuration that it
// was decided from before it is executed, so two controllers that run at the same time do no harm.
package controller
