package request

import "fmt"

// HeaderError reports a header that cannot be honoured.
type HeaderError struct {
	Header   string
	Expected string
	Found    string
}

// Error describes the failure in one line.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s: expected %s, found %q", e.Header, e.Expected, e.Found)
}
