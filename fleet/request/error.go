package request

import "fmt"

// HeaderError reports a request header with an invalid value.
type HeaderError struct {
	Header   string
	Expected string
	Found    string
}

// Error names the header, the expected format and the value found.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s: expected %s, found %q", e.Header, e.Expected, e.Found)
}
