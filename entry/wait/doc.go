// Package wait blocks goroutines for a time, with cancellation.
package wait
