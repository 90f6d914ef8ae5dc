// Package metrics collects the entry's metrics and serves them in the Prometheus text format.
package metrics
