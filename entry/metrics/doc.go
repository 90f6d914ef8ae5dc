// Package metrics counts what the entry does and serves the counts.
package metrics
