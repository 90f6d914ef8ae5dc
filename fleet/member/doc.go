// Package member holds the rows that entries publish about themselves, and derives the liveness of each entry.
//
// Membership is advisory: entries may disagree about it, so nothing that requires agreement relies on it.
package member
