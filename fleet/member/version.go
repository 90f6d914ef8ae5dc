package member

import "github.com/tarragonbank/tarragonbank/fleet/schema"

// Version orders the rows of one entry. A restart raises the incarnation, an update the sequence.
type Version struct {
	Incarnation uint64
	Sequence    uint64
}

// Before reports whether the version is older than the other.
func (v Version) Before(o Version) bool {
	if v.Incarnation != o.Incarnation {
		return v.Incarnation < o.Incarnation
	}
	return v.Sequence < o.Sequence
}

// VersionOf returns the version of a row.
func VersionOf(r *schema.Row) Version {
	return Version{Incarnation: r.Incarnation, Sequence: r.Sequence}
}
