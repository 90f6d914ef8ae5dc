package member

// State is the liveness of an entry, as seen by this entry.
type State int

// The states of a member. SharesWork relies on their order.
//
//go:generate enumer -type=State -transform=title-lower
const (
	// Live members were heard from recently.
	Live State = iota
	// Suspect members are overdue, but still included when work is divided.
	Suspect
	// Left members announced that they are leaving.
	Left
	// Dead members have been silent for so long that they are presumed to have failed.
	Dead
)

// MergeResult is what Merge learned from a received row.
type MergeResult int

// The results of Merge.
//
//go:generate enumer -type=MergeResult -linecomment -transform=title-lower
const (
	// Unchanged means that the stored row is at least as new.
	Unchanged MergeResult = iota // nothing
	// BodyMissing means that the row was not stored, because its body is unknown and has to be requested first.
	BodyMissing // unknown
	// Heartbeat means that the row is newer, but what the entry publishes is unchanged.
	Heartbeat
	// BodyChanged means that what the entry publishes, or its state, has changed.
	BodyChanged // body
)

// SharesWork reports whether members in this state are included when work is divided.
func (s State) SharesWork() bool {
	return s <= Suspect
}
