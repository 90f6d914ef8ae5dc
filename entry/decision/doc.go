// Package decision logs routing, placement and other decisions as JSON lines without blocking the caller, and keeps the
// latest ones in memory.
package decision
