// Package channel carries calls in both directions over one stream between two entries. Messages that are ready at the
// same time share a frame, so that the cost of a call falls as their number rises.
package channel
