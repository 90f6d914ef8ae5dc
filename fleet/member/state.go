package member

// State is whether an entry is thought to be there.
type State int

// The states of a member, the best first.
//
//go:generate enumer -type=State -transform=title-lower
const (
	Live State = iota
	Suspect
	Left
	Dead
)

// Counts says whether a member in the state takes part in dividing work.
func (s State) Counts() bool {
	return s <= Suspect
}
