// Package load simulates the callers and the load balancer in front of the entries.
package load
