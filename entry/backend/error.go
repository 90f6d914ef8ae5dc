package backend

import "fmt"

// DialError reports a backend server that could not be connected to; nothing was sent.
type DialError struct {
	VM     string
	Detail string
}

// Error describes the failure in one line.
func (e *DialError) Error() string {
	return fmt.Sprintf("connecting to %s: %s", e.VM, e.Detail)
}

// Sent says that no byte of the request left.
func (e *DialError) Sent() bool {
	return false
}

// StallError reports a connection on which no answer came in time.
type StallError struct {
	VM string
	// NewConnection says that the connection was new.
	NewConnection bool
}

// Error describes the failure in one line.
func (e *StallError) Error() string {
	return fmt.Sprintf("no answer from %s in time", e.VM)
}

// Sent says that bytes of the request may have left.
func (e *StallError) Sent() bool {
	return true
}

// BrokenConnectionError reports a connection that ended before the answer was whole.
type BrokenConnectionError struct {
	VM     string
	Detail string
	// NoResponse says that the connection was new and ended without a byte of an answer.
	NoResponse bool
}

// Error describes the failure in one line.
func (e *BrokenConnectionError) Error() string {
	return fmt.Sprintf("the connection to %s broke: %s", e.VM, e.Detail)
}

// Sent says that bytes of the request may have left.
func (e *BrokenConnectionError) Sent() bool {
	return true
}

// InvalidResponseError reports an answer that is not a whole answer to the request.
type InvalidResponseError struct {
	VM     string
	Detail string
}

// Error describes the failure in one line.
func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("the answer from %s cannot be trusted: %s", e.VM, e.Detail)
}

// Sent says that bytes of the request may have left.
func (e *InvalidResponseError) Sent() bool {
	return true
}

// CancelledError reports a request whose caller left or whose deadline passed.
type CancelledError struct {
	VM      string
	Started bool
}

// Error describes the failure in one line.
func (e *CancelledError) Error() string {
	return fmt.Sprintf("the request to %s was cancelled", e.VM)
}

// Sent says whether bytes of the request may have left.
func (e *CancelledError) Sent() bool {
	return e.Started
}
