package backend

// Mode is how a server behaves.
type Mode int

// The ways to behave.
//
//go:generate enumer -type=Mode -transform=title-lower -linecomment
const (
	Normal Mode = iota
	Failing
	Slow
	Silent
	Truncating
	MismatchedID // crossing
	Overlong
	Refusing
	Leaving
	Down
)
