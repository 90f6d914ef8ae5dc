// Package wait lets time pass in goroutines that may have to end before.
package wait
