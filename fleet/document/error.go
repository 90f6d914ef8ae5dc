package document

import "fmt"

// Position is the position of a key in a document. Line starts at 1 and is 0 if unknown.
type Position struct {
	File string
	Key  string
	Line int
}

// String formats the position as "file:line: key".
func (p Position) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Key)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Key)
}

// SyntaxError reports text that is not valid TOML. Line is 0 if unknown.
type SyntaxError struct {
	File   string
	Line   int
	Detail string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Detail)
}

// UnknownKeyError reports a key that is not in the schema. Expected lists the known keys.
type UnknownKeyError struct {
	Position
	Expected string
}

// Error implements error.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("%s: unknown key, expected one of %s", e.Position, e.Expected)
}

// TypeError reports a value of the wrong type.
type TypeError struct {
	Position
	Expected string
	Found    string
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("%s: expected %s, found %s", e.Position, e.Expected, e.Found)
}

// RangeError reports a value of the right type that is not allowed.
type RangeError struct {
	Position
	Expected string
	Found    string
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s: expected %s, found %q", e.Position, e.Expected, e.Found)
}
