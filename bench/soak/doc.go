// Package soak runs entries of tarragonjobs under random faults and checks the guarantees given to callers and backend
// servers.
package soak
