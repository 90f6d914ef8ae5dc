// Package retry limits retries with a budget and computes their backoff.
package retry
