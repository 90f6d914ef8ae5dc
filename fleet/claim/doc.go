// Package claim lets each request key be sent once, whatever entry it comes through.
//
// A bucket's record in the store lists the newest claims and names immutable
// slices of older ones, so that one compare-and-swap of a small record decides.
package claim
