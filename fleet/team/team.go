package team

import "github.com/tarragonbank/tarragonbank/fleet/schema"

// Team is a group of callers. Quota is the share of each pool's slots, from 0 to 1, that the team may use while
// others need them.
type Team struct {
	Name  string
	Quota float64
}

// New converts a team of the schema.
func New(m *schema.Team) Team {
	return Team{Name: m.Name, Quota: m.Quota}
}
