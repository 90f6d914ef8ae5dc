package wave

import "time"

// Wave asks for the maintenance of some VMs.
type Wave struct {
	Number int
	VMs    []string
	// TimeLimit is in which time all should be done, from when the wave was asked for.
	TimeLimit time.Duration
	// MaxDown is how many may be down for their maintenance at once.
	MaxDown int
}
