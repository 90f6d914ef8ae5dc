package team

import "github.com/tarragonbank/tarragonbank/fleet/schema"

// Team is a group of callers with a part of each pool's slots, from 0 to 1.
type Team struct {
	Name  string
	Quota float64
}

// New converts a team of the schema.
func New(m *schema.Team) Team {
	return Team{Name: m.Name, Quota: m.Quota}
}
