package backend

import "fmt"

// DialError reports that no connection to a backend server could be made; nothing was sent.
type DialError struct {
	VM     string
	Detail string
}

// Error names the VM and the cause.
func (e *DialError) Error() string {
	return fmt.Sprintf("connecting to %s: %s", e.VM, e.Detail)
}

// Sent returns false: no byte of the request was sent.
func (e *DialError) Sent() bool {
	return false
}

// StallError reports that no complete response header was received within the stall timeout.
type StallError struct {
	VM string
	// NewConnection reports whether no earlier request was answered on the connection.
	NewConnection bool
}

// Error names the VM.
func (e *StallError) Error() string {
	return fmt.Sprintf("no answer from %s in time", e.VM)
}

// Sent returns true: bytes of the request may have been sent.
func (e *StallError) Sent() bool {
	return true
}

// BrokenConnectionError reports a connection that failed before the response was complete.
type BrokenConnectionError struct {
	VM     string
	Detail string
	// NoResponse reports whether the connection was new and failed before a complete response header.
	NoResponse bool
}

// Error names the VM and the cause.
func (e *BrokenConnectionError) Error() string {
	return fmt.Sprintf("the connection to %s broke: %s", e.VM, e.Detail)
}

// Sent returns true: bytes of the request may have been sent.
func (e *BrokenConnectionError) Sent() bool {
	return true
}

// InvalidResponseError reports a response that is too long, of unknown length, followed by more data, of another
// request or without a required request ID.
type InvalidResponseError struct {
	VM     string
	Detail string
}

// Error names the VM and the defect.
func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("the answer from %s cannot be trusted: %s", e.VM, e.Detail)
}

// Sent returns true: bytes of the request may have been sent.
func (e *InvalidResponseError) Sent() bool {
	return true
}

// CancelledError reports a request whose context ended, as its caller left or its deadline passed.
type CancelledError struct {
	VM string
	// Started reports whether the request was being sent.
	Started bool
}

// Error names the VM.
func (e *CancelledError) Error() string {
	return fmt.Sprintf("the request to %s was cancelled", e.VM)
}

// Sent reports whether bytes of the request may have been sent.
func (e *CancelledError) Sent() bool {
	return e.Started
}
