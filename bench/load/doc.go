// Package load is a stand-in for the callers and for the balancer before the entries.
package load
