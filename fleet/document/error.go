package document

import "fmt"

// Position is where in a document a failure stands; a Line of 0 is unknown.
type Position struct {
	File string
	Key  string
	Line int
}

// String formats the place as file:line: key.
func (p Position) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Key)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Key)
}

// SyntaxError reports text that is not TOML.
type SyntaxError struct {
	File   string
	Line   int
	Detail string
}

// Error describes the failure in one line.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Detail)
}

// UnknownKeyError reports a key that the schema does not have.
type UnknownKeyError struct {
	Position
	Expected string
}

// Error describes the failure in one line.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("%s: unknown key, expected one of %s", e.Position, e.Expected)
}

// TypeError reports a value of the wrong type.
type TypeError struct {
	Position
	Expected string
	Found    string
}

// Error describes the failure in one line.
func (e *TypeError) Error() string {
	return fmt.Sprintf("%s: expected %s, found %s", e.Position, e.Expected, e.Found)
}

// RangeError reports a value that is not allowed.
type RangeError struct {
	Position
	Expected string
	Found    string
}

// Error describes the failure in one line.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s: expected %s, found %q", e.Position, e.Expected, e.Found)
}
