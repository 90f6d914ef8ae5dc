package member

import "github.com/tarragonbank/tarragonbank/fleet/schema"

// SentRows is what one peer has been given over one connection.
type SentRows struct {
	rows            map[string]*schema.Row
	requestedBodies map[string]bool
}

// NewSentRows starts a record for a new connection.
func NewSentRows() *SentRows {
	return &SentRows{rows: map[string]*schema.Row{}, requestedBodies: map[string]bool{}}
}

// RequestBodies notes that the peer lacks the bodies of the named entries.
func (s *SentRows) RequestBodies(names []string) {
	for _, n := range names {
		s.requestedBodies[n] = true
		delete(s.rows, n)
	}
}

// Rows lists what to send: the entry's own row, and of the others what relay asks for and is new.
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

// delta leaves out the body that the peer has.
func delta(last, r *schema.Row) *schema.Row {
	d := &schema.Row{Name: r.Name, Incarnation: r.Incarnation, Sequence: r.Sequence, BodySequence: r.BodySequence, Body: r.Body}
	if last != nil && last.Incarnation == r.Incarnation && last.BodySequence == r.BodySequence {
		d.Body = nil
	}
	return d
}
