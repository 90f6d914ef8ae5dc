package member

import "github.com/tarragonbank/tarragonbank/fleet/schema"

// SentRows records which rows a peer has received over one connection, so that unchanged rows and bodies are not
// sent again.
type SentRows struct {
	rows            map[string]*schema.Row
	requestedBodies map[string]bool
}

// NewSentRows returns an empty record for a new connection.
func NewSentRows() *SentRows {
	return &SentRows{rows: map[string]*schema.Row{}, requestedBodies: map[string]bool{}}
}

// RequestBodies records that the peer lacks the bodies of the named entries.
func (s *SentRows) RequestBodies(names []string) {
	for _, n := range names {
		s.requestedBodies[n] = true
		delete(s.rows, n)
	}
}

// Rows returns the rows to send to a peer and records them as sent: the entry's own row, and the rows of other
// entries that relay selects or whose bodies the peer requested, except dead ones. Each row is included only if it is
// newer than the one last sent.
func (t *Table) Rows(s *SentRows, relay func(name string) bool) []*schema.Row {
	l := []*schema.Row{}
	for _, m := range t.Members() {
		n := m.Name()
		if n != t.self && (m.State == Dead || !relay(n) && !s.requestedBodies[n]) {
			continue
		}
		last := s.rows[n]
		if last != nil && !VersionOf(last).Before(VersionOf(m.Row)) {
			continue
		}
		s.rows[n] = m.Row
		delete(s.requestedBodies, n)
		l = append(l, delta(last, m.Row))
	}
	return l
}

// delta omits the body if the peer already has it.
func delta(last, r *schema.Row) *schema.Row {
	d := &schema.Row{Name: r.Name, Incarnation: r.Incarnation, Sequence: r.Sequence, BodySequence: r.BodySequence, Body: r.Body}
	if last != nil && last.Incarnation == r.Incarnation && last.BodySequence == r.BodySequence {
		d.Body = nil
	}
	return d
}
