package vm

import "github.com/tarragonbank/tarragonbank/fleet/job"

// PlatformState is what the platform does with a VM at present.
type PlatformState int

// The standings of a VM.
//
//go:generate enumer -type=PlatformState -linecomment -transform=title-lower
const (
	// Up VMs serve their pool, or are off in a standby pool.
	Up PlatformState = iota
	// Moving VMs are on their way to another pool.
	Moving
	// InMaintenance VMs are down for their maintenance.
	InMaintenance // inUpkeep
	// Down VMs have failed.
	Down
)

// PlatformStatus is a VM as the platform's list shows it.
type PlatformStatus struct {
	Name       string
	Pool       string
	State      PlatformState
	DataCentre string
	Labels     []string
	Capacity   job.Size
	// ServerID is the VM's life as a backend server, empty if it has none.
	ServerID string
}

// Kind is the label that names the VM's kind, by convention its first one.
func (s *PlatformStatus) Kind() string {
	if len(s.Labels) == 0 {
		return ""
	}
	return s.Labels[0]
}
