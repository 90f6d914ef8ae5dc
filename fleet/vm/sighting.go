package vm

import "github.com/tarragonbank/tarragonbank/fleet/job"

// Standing is what the platform does with a VM at present.
type Standing int

// The standings of a VM.
//
//go:generate enumer -type=Standing -transform=title-lower
const (
	// Up VMs serve their pool, or are off in a standby pool.
	Up Standing = iota
	// Moving VMs are on their way to another pool.
	Moving
	// InUpkeep VMs are down for their maintenance.
	InUpkeep
	// Down VMs have failed.
	Down
)

// Sighting is a VM as the platform's list shows it.
type Sighting struct {
	Name       string
	Pool       string
	Standing   Standing
	DataCentre string
	Labels     []string
	Capacity   job.Size
	// Server is the VM's life as a backend server, empty if it has none.
	Server string
}

// Kind is the label that names the VM's kind, by convention its first one.
func (s *Sighting) Kind() string {
	if len(s.Labels) == 0 {
		return ""
	}
	return s.Labels[0]
}
