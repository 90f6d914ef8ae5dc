package vm

import "github.com/tarragonbank/tarragonbank/fleet/job"

// PlatformState is the state that the platform reports for a VM.
type PlatformState int

// The states that the platform reports.
//
//go:generate enumer -type=PlatformState -linecomment -transform=title-lower
const (
	// Up VMs serve their pool, or are switched off in a standby pool.
	Up PlatformState = iota
	// Moving VMs are being moved to another pool.
	Moving
	// InMaintenance VMs are down for maintenance.
	InMaintenance // inUpkeep
	// Down VMs have failed.
	Down
)

// PlatformStatus is a VM's record in the VM list of the platform's cloud API.
type PlatformStatus struct {
	Name       string
	Pool       string
	State      PlatformState
	DataCentre string
	Labels     []string
	Capacity   job.Size
	// ServerID is the ID of the backend server that runs on the VM, empty if none does.
	ServerID string
}

// Kind returns the VM's kind, which by convention is its first label, or an empty string without labels.
func (s *PlatformStatus) Kind() string {
	if len(s.Labels) == 0 {
		return ""
	}
	return s.Labels[0]
}
