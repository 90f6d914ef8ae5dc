package vm

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Phase is a VM's position in the maintenance cycle. Its numbers are those of schema.VmPhase.
type Phase int

// The phases of a VM.
//
//go:generate enumer -type=Phase -transform=title-lower
const (
	// InService VMs receive requests.
	InService Phase = iota
	// Draining VMs receive no new requests and finish those in progress before the reboot.
	Draining
	// Rebooting VMs have been ordered to reboot and have not come back.
	Rebooting
	// Failed VMs did not come back from a reboot in time.
	Failed
	// Held VMs were taken out of service by an operator and stay out until the operator undoes it.
	Held
)

// Serves reports whether a VM in this phase may receive requests.
func (p Phase) Serves() bool {
	return p == InService
}

// State is the controller's recorded decision for one VM.
type State struct {
	Phase Phase
	// Since is when the VM entered its phase.
	Since time.Time
	// Pool is the pool that the VM is lent to, empty while it is in its home pool.
	Pool string
	// MovedAt is when the VM last changed pools, MaintainedAt when its last maintenance ended or, before the first
	// one, when the VM was first seen.
	MovedAt      time.Time
	MaintainedAt time.Time
	// BootID identifies the boot that was running when the reboot was ordered; a different one shows that the VM
	// has rebooted.
	BootID string
	// Reason explains the last decision to operators.
	Reason string
}

// NewState converts a VM state of the schema.
func NewState(m *schema.VmState) State {
	return State{
		Phase:        Phase(m.Phase),
		Since:        fromUnixMillis(m.SinceUnixMs),
		Pool:         m.Pool,
		MovedAt:      fromUnixMillis(m.MovedUnixMs),
		MaintainedAt: fromUnixMillis(m.MaintainedUnixMs),
		BootID:       m.Boot,
		Reason:       m.Reason,
	}
}

// Schema converts the state of the named VM to the schema.
func (s State) Schema(name string) *schema.VmState {
	return &schema.VmState{
		Name: name, Phase: schema.VmPhase(s.Phase), SinceUnixMs: toUnixMillis(s.Since), Pool: s.Pool,
		MovedUnixMs: toUnixMillis(s.MovedAt), MaintainedUnixMs: toUnixMillis(s.MaintainedAt), Boot: s.BootID, Reason: s.Reason,
	}
}

// fromUnixMillis converts Unix milliseconds; 0 is the zero time.
func fromUnixMillis(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMilli(n)
}

// toUnixMillis converts to Unix milliseconds; the zero time is 0.
func toUnixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
