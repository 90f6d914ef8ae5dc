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

// MergeResult is what a delivered row brought.
type MergeResult int

// The kinds of news.
//
//go:generate enumer -type=MergeResult -linecomment -transform=title-lower
const (
	// Unchanged says that the row held is as new.
	Unchanged MergeResult = iota // nothing
	// BodyMissing says that the row's body is wanted first.
	BodyMissing // unknown
	// Heartbeat says only that the entry is there.
	Heartbeat
	// BodyChanged says that what the entry publishes has changed.
	BodyChanged // body
)

// SharesWork says whether a member in the state takes part in dividing work.
func (s State) SharesWork() bool {
	return s <= Suspect
}
