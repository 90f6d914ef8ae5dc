// Package outcome defines what a response states about the execution of a request.
package outcome
