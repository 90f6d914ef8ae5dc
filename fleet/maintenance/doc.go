// Package maintenance decides which VM is drained, rebooted, moved or brought back, and why.
//
// Decide is a pure function: what is known of the site and the time go in,
// actions with reasons come out. The caller records them by compare-and-swap
// on what it read before it carries any out.
package maintenance
