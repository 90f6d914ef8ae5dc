// Package soak runs job-scheduling entries under random faults and checks the guarantees given to callers and backend
// servers.
package soak
