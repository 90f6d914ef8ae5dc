// Package loopback allocates a separate range of loopback addresses to each site under test.
package loopback
