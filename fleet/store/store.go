package store

import "fmt"

// Revision is the store's count of writes at the last change of a key; 0 means absent.
type Revision uint64

// Item is one key with its value.
type Item struct {
	// Lease is the lease that keeps the key, 0 for none.
	Lease    LeaseID
	Key      string
	Value    []byte
	Revision Revision
}

// NotFoundError reports a key that the store does not have.
type NotFoundError struct {
	Key string
}

// Error describes the failure in one line.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("the store has no key %s", e.Key)
}

// ConflictError reports a key that changed since it was read.
type ConflictError struct {
	Key      string
	Expected Revision
}

// Error describes the failure in one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s is no longer at revision %d", e.Key, e.Expected)
}

// UnavailableError reports a call without an answer; a write may have taken effect.
type UnavailableError struct {
	Call   string
	Detail string
}

// Error describes the failure in one line.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the store did not answer %s: %s", e.Call, e.Detail)
}

// LeaseID names a lease of the store; 0 means none.
type LeaseID uint64

// Event is a change of a key; Removed says that the key is gone.
type Event struct {
	Item
	Deleted bool
}

// Page is a part of a range of keys; After continues it where More says that there is more.
type Page struct {
	Items    []Item
	HasMore  bool
	Revision Revision
}

// Write sets a key, kept for as long as the lease where one is named.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is all or nothing: it takes effect only if all expected keys stand at their revisions.
type Transaction struct {
	Expected map[string]Revision
	Writes   []Write
	Deletes  []string
}

// PreconditionFailedError reports a transaction that did not take effect, with the expected keys as they stand.
type PreconditionFailedError struct {
	Items map[string]Item
}

// Error describes the failure in one line.
func (e *PreconditionFailedError) Error() string {
	return "the store's keys have changed since they were read"
}

// CompactedError reports a watch whose history the store has dropped.
type CompactedError struct {
	Prefix string
}

// Error describes the failure in one line.
func (e *CompactedError) Error() string {
	return "the store has dropped the history of " + e.Prefix
}

// LeaseExpiredError reports a lease that has ended.
type LeaseExpiredError struct {
	Lease LeaseID
}

// Error describes the failure in one line.
func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("lease %d has ended", e.Lease)
}

// BusyError reports a call that the store turned away and did not carry out.
type BusyError struct {
	Call string
}

// Error describes the failure in one line.
func (e *BusyError) Error() string {
	return "the store turned away " + e.Call
}
