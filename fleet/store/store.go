package store

import "fmt"

// Revision is the store's count of writes at the last change of a key; 0 means absent.
type Revision uint64

// Item is one key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
}

// AbsentError reports a key that the store does not have.
type AbsentError struct {
	Key string
}

// Error describes the failure in one line.
func (e *AbsentError) Error() string {
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
