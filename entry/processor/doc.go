// Package processor accounts for what a process spends its processor time on, and reports it while little is left.
package processor
