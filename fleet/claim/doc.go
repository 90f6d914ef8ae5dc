// Package claim deduplicates requests by idempotency key across all entries.
//
// Keys are hashed into buckets. The store holds one record for each bucket, which lists the newest claims and references
// immutable slices of older ones, so that a compare-and-swap of one small record is enough to claim a key.
package claim
