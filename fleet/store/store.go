package store

import "fmt"

// Revision is the store's write counter at the last change of a key; 0 means that the key does not exist.
type Revision uint64

// Item is a key with its value, its revision and the lease that it is attached to.
type Item struct {
	// Lease deletes the key when it expires; 0 means that the key has no lease.
	Lease    LeaseID
	Key      string
	Value    []byte
	Revision Revision
}

// NotFoundError reports a key that does not exist in the store.
type NotFoundError struct {
	Key string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("key %s does not exist in the store", e.Key)
}

// ConflictError reports a key that was modified since it was read at revision Expected.
type ConflictError struct {
	Key      string
	Expected Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s is no longer at revision %d", e.Key, e.Expected)
}

// UnavailableError reports a call that got no response; if it was a write, it may have taken effect.
type UnavailableError struct {
	Call   string
	Detail string
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the store did not answer %s: %s", e.Call, e.Detail)
}

// LeaseID identifies a lease of the store; 0 means no lease.
type LeaseID uint64

// Event is a change of a key, as delivered by a watch; Deleted reports that the key no longer exists.
type Event struct {
	Item
	Deleted bool
}

// Page is one page of a range of keys. HasMore reports that further pages follow; Revision is the store's
// revision at which the page was read.
type Page struct {
	Items    []Item
	HasMore  bool
	Revision Revision
}

// Write sets a key. If Lease is not 0, the key is deleted when that lease expires.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction applies its writes and deletes atomically, and only if every key in Expected is at the given
// revision.
type Transaction struct {
	Expected map[string]Revision
	Writes   []Write
	Deletes  []string
}

// PreconditionFailedError reports a transaction that was not applied because an expected revision did not match.
// Items holds the current state of the expected keys.
type PreconditionFailedError struct {
	Items map[string]Item
}

// Error implements error.
func (e *PreconditionFailedError) Error() string {
	return "the transaction was not applied: a key has changed since it was read"
}

// CompactedError reports a watch that cannot resume because the store has compacted the history of its prefix.
type CompactedError struct {
	Prefix string
}

// Error implements error.
func (e *CompactedError) Error() string {
	return "the store has compacted the history of prefix " + e.Prefix
}

// LeaseExpiredError reports a lease that has expired or was revoked.
type LeaseExpiredError struct {
	Lease LeaseID
}

// Error implements error.
func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("lease %d has expired", e.Lease)
}

// BusyError reports a call that the store rejected without carrying it out.
type BusyError struct {
	Call string
}

// Error implements error.
func (e *BusyError) Error() string {
	return "the store was busy and rejected " + e.Call
}

// RejectedError reports a call that the store did not carry out and never will as it is, for instance since a value is too large.
type RejectedError struct {
	Call   string
	Detail string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the store rejects %s as it is: %s", e.Call, e.Detail)
}
