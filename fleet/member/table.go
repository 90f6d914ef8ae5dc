package member

import (
	"net/netip"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Multiples of the exchange interval after which a silent member is doubted, given up and forgotten.
const (
	suspectAfterIntervals = 4
	deadAfterIntervals    = 8
	forgetAfterIntervals  = 600
)

// Member is one entry and what is known of it.
type Member struct {
	Row       *schema.Row
	State     State
	LastHeard time.Time
}

// Name is the member's name.
func (m Member) Name() string {
	return m.Row.Name
}

// Address is where the member listens for its peers.
func (m Member) Address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(m.Row.Body.Address)
	return a
}

// Table holds the rows of all entries; its caller serialises the calls.
type Table struct {
	self          string
	interval      time.Duration
	timeoutFactor int
	rows          map[string]*Member
}

// New makes a table with the entry's own row.
func New(now time.Time, name string, incarnation uint64, b *schema.RowBody, interval time.Duration) *Table {
	r := &schema.Row{Name: name, Incarnation: incarnation, Sequence: 1, BodySequence: 1, Body: b}
	t := &Table{self: name, interval: interval, timeoutFactor: 1, rows: map[string]*Member{}}
	t.rows[name] = &Member{Row: r, LastHeard: now}
	return t
}

// SetInterval changes how often members are expected to be heard, and how many times more patient
// than with direct heartbeats the table is with those that come through others.
func (t *Table) SetInterval(d time.Duration, patience int) {
	t.interval = d
	t.timeoutFactor = patience
}

// Own is the entry's own row.
func (t *Table) Own() *schema.Row {
	return t.rows[t.self].Row
}

// Publish publishes the entry's own row anew and says whether its body changed.
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

// Merge takes a row if it is newer than the one held and says what it brought.
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

// supersede outbids rows that others still hold of an earlier process under this name.
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

// Tick doubts, gives up and forgets members that have been silent, and returns those whose state changed.
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
		if d > forgetAfterIntervals*t.interval {
			delete(t.rows, n)
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name() < l[j].Name() })
	return l
}

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

// Members lists all members, sorted by name.
func (t *Table) Members() []Member {
	l := make([]Member, 0, len(t.rows))
	for _, m := range t.rows {
		l = append(l, *m)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name() < l[j].Name() })
	return l
}

// WorkSharers lists the members that take part in dividing work, sorted by name.
func (t *Table) WorkSharers() []Member {
	l := []Member{}
	for _, m := range t.Members() {
		if m.State.SharesWork() && !m.Row.Body.Leaving {
			l = append(l, m)
		}
	}
	return l
}

// Unresponsive lists the members that have fallen silent, sorted by name.
func (t *Table) Unresponsive() []string {
	l := []string{}
	for _, m := range t.Members() {
		if m.State == Suspect || m.State == Dead {
			l = append(l, m.Name())
		}
	}
	return l
}

// IsWatcher says whether the entry is the one to wait on the platform for its data centre.
func (t *Table) IsWatcher() bool {
	d := t.Own().Body.DataCentre
	for _, m := range t.WorkSharers() {
		if m.Row.Body.DataCentre == d && m.State == Live {
			return m.Name() == t.self
		}
	}
	return true
}

// HasOtherWatcher says whether another entry of the data centre has a fresh word from the platform.
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

// WithNewerConfig lists the members with a configuration revision above the given one.
func (t *Table) WithNewerConfig(revision uint64) []Member {
	l := []Member{}
	for _, m := range t.Members() {
		if m.State != Dead && m.Row.Body.Revision > revision {
			l = append(l, m)
		}
	}
	return l
}
