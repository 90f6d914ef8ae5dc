// Package loopback gives each site under test loopback addresses of its own.
package loopback
