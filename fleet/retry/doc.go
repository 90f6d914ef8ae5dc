// Package retry bounds the requests that are sent again.
package retry
