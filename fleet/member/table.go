package member

import (
	"net/netip"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Multiples of the exchange interval after which a silent member becomes suspect, becomes dead and is deleted. The
// timeout factor of the table applies to the first two.
const (
	suspectAfterIntervals = 4
	deadAfterIntervals    = 8
	deleteAfterIntervals  = 600
)

// Member is an entry's row, its liveness and when it was last heard from.
type Member struct {
	Row       *schema.Row
	State     State
	LastHeard time.Time
}

// Name returns the member's name.
func (m Member) Name() string {
	return m.Row.Name
}

// Address returns the address on which the member listens for its peers, or the zero value if it is invalid.
func (m Member) Address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(m.Row.Body.Address)
	return a
}

// Table holds the rows of all entries. It is not safe for concurrent use.
type Table struct {
	self          string
	interval      time.Duration
	timeoutFactor int
	rows          map[string]*Member
}

// New returns a table that holds only the entry's own row; interval is the exchange interval.
func New(now time.Time, name string, incarnation uint64, b *schema.RowBody, interval time.Duration) *Table {
	r := &schema.Row{Name: name, Incarnation: incarnation, Sequence: 1, BodySequence: 1, Body: b}
	t := &Table{self: name, interval: interval, timeoutFactor: 1, rows: map[string]*Member{}}
	t.rows[name] = &Member{Row: r, LastHeard: now}
	return t
}

// SetInterval sets the exchange interval, at which heartbeats are expected, and the factor by which the timeouts grow;
// heartbeats that are relayed through other entries need a factor above 1.
func (t *Table) SetInterval(d time.Duration, timeoutFactor int) {
	t.interval = d
	t.timeoutFactor = timeoutFactor
}

// Own returns the entry's own row.
func (t *Table) Own() *schema.Row {
	return t.rows[t.self].Row
}

// Publish advances the entry's own row and reports whether its body changed.
func (t *Table) Publish(now time.Time, b *schema.RowBody) bool {
	o := t.Own()
	r := &schema.Row{Name: o.Name, Incarnation: o.Incarnation, Sequence: o.Sequence + 1, BodySequence: o.BodySequence, Body: o.Body}
	changed := !proto.Equal(o.Body, b)
	if changed {
		r.Body = b
		r.BodySequence = r.Sequence
	}
	t.rows[t.self] = &Member{Row: r, LastHeard: now}
	return changed
}

// Merge stores a received row if it is newer than the stored one, and reports what changed.
func (t *Table) Merge(now time.Time, r *schema.Row) MergeResult {
	if r.Name == t.self {
		return t.supersede(r)
	}
	m := t.rows[r.Name]
	if m != nil && !VersionOf(m.Row).Before(VersionOf(r)) {
		return Unchanged
	}
	n := BodyChanged
	if m != nil && m.Row.Incarnation == r.Incarnation && m.Row.BodySequence == r.BodySequence {
		r.Body = m.Row.Body
		n = Heartbeat
	}
	if r.Body == nil {
		return BodyMissing
	}
	if m != nil && m.State != stateOf(r) {
		n = BodyChanged
	}
	t.rows[r.Name] = &Member{Row: r, LastHeard: now, State: stateOf(r)}
	return n
}

// supersede raises the entry's incarnation above that of a row which peers still hold from an earlier process of
// the same name; otherwise they would ignore this entry's rows.
func (t *Table) supersede(r *schema.Row) MergeResult {
	o := t.Own()
	if !VersionOf(o).Before(VersionOf(r)) {
		return Unchanged
	}
	t.rows[t.self] = &Member{
		Row:       &schema.Row{Name: o.Name, Incarnation: r.Incarnation + 1, Sequence: 1, BodySequence: 1, Body: o.Body},
		LastHeard: t.rows[t.self].LastHeard,
	}
	return BodyChanged
}

func stateOf(r *schema.Row) State {
	if r.Body.Leaving {
		return Left
	}
	return Live
}

// Tick updates the states of silent members, deletes those silent for more than deleteAfterIntervals, and returns the
// members whose state changed, sorted by name.
func (t *Table) Tick(now time.Time) []Member {
	l := []Member{}
	for n, m := range t.rows {
		if n == t.self {
			continue
		}
		d := now.Sub(m.LastHeard)
		if s := t.nextState(m.State, d); s != m.State {
			m.State = s
			l = append(l, *m)
		}
		if d > deleteAfterIntervals*t.interval {
			delete(t.rows, n)
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name() < l[j].Name() })
	return l
}

// nextState returns the state of a member that has been silent for d.
func (t *Table) nextState(s State, d time.Duration) State {
	d /= time.Duration(t.timeoutFactor)
	switch {
	case s == Left:
		return Left
	case d > deadAfterIntervals*t.interval:
		return Dead
	case d > suspectAfterIntervals*t.interval:
		return Suspect
	default:
		return Live
	}
}

// Members returns all members, sorted by name.
func (t *Table) Members() []Member {
	l := make([]Member, 0, len(t.rows))
	for _, m := range t.rows {
		l = append(l, *m)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name() < l[j].Name() })
	return l
}

// WorkSharers returns the members among which work is divided, sorted by name.
func (t *Table) WorkSharers() []Member {
	l := []Member{}
	for _, m := range t.Members() {
		if m.State.SharesWork() && !m.Row.Body.Leaving {
			l = append(l, m)
		}
	}
	return l
}

// Unresponsive returns the names of the suspect and dead members, sorted.
func (t *Table) Unresponsive() []string {
	l := []string{}
	for _, m := range t.Members() {
		if m.State == Suspect || m.State == Dead {
			l = append(l, m.Name())
		}
	}
	return l
}

// IsWatcher reports whether this entry is the one that watches the platform for its data centre: the first live
// member there by name.
func (t *Table) IsWatcher() bool {
	d := t.Own().Body.DataCentre
	for _, m := range t.WorkSharers() {
		if m.Row.Body.DataCentre == d && m.State == Live {
			return m.Name() == t.self
		}
	}
	return true
}

// HasOtherWatcher reports whether another live entry of the data centre is watching the platform.
func (t *Table) HasOtherWatcher() bool {
	d := t.Own().Body.DataCentre
	for _, m := range t.WorkSharers() {
		b := m.Row.Body
		if m.Name() != t.self && b.DataCentre == d && m.State == Live && b.Watching {
			return true
		}
	}
	return false
}

// WithNewerConfig returns the members that have a later configuration revision than the given one, except dead ones.
func (t *Table) WithNewerConfig(revision uint64) []Member {
	l := []Member{}
	for _, m := range t.Members() {
		if m.State != Dead && m.Row.Body.Revision > revision {
			l = append(l, m)
		}
	}
	return l
}
