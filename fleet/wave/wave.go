package wave

import "time"

// Wave asks for the maintenance of some VMs.
type Wave struct {
	Number int
	VMs    []string
	// Time is in which time all should be done, from when the wave was asked for.
	Time time.Duration
	// Most is how many may be down for their maintenance at once.
	Most int
}
