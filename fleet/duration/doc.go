// Package duration learns how long tasks take, as distributions of the ratio of actual to declared duration.
package duration
