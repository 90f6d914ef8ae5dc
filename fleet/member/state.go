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

// News is what a delivered row brought.
type News int

// The kinds of news.
//
//go:generate enumer -type=News -transform=title-lower
const (
	// Nothing says that the row held is as new.
	Nothing News = iota
	// Unknown says that the row's body is wanted first.
	Unknown
	// Heartbeat says only that the entry is there.
	Heartbeat
	// Body says that what the entry publishes has changed.
	Body
)

// Counts says whether a member in the state takes part in dividing work.
func (s State) Counts() bool {
	return s <= Suspect
}
