// Package experiment runs a test site under load and injected faults, measures it, and reports which invariants and
// performance targets were violated.
package experiment
