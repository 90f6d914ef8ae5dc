package outcome

// Outcome is what is known of a request once it is answered.
type Outcome int

// The outcomes that an answer can state.
//
//go:generate enumer -type=Outcome -transform=title-lower
const (
	Unknown Outcome = iota
	Ran
	NotRun
)

// Known says whether the caller knows if the request ran.
func (o Outcome) Known() bool {
	return o != Unknown
}
