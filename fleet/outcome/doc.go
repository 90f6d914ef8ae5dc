// Package outcome names what became of a request.
package outcome
