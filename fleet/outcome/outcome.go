package outcome

// Outcome states whether a request was executed.
type Outcome int

// The outcomes that a response can state.
//
//go:generate enumer -type=Outcome -transform=title-lower
const (
	// Unknown means that the request may or may not have been executed.
	Unknown Outcome = iota
	// Ran means that the request was executed.
	Ran
	// NotRun means that the request was not executed and can be retried safely.
	NotRun
)

// Known reports whether the outcome states if the request was executed.
func (o Outcome) Known() bool {
	return o != Unknown
}
