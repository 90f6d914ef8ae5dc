// Package soak runs the job programs under random faults and checks what callers and backend servers were promised.
package soak
