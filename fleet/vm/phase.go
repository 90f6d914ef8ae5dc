package vm

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Phase is where a VM stands between service and maintenance.
type Phase int

// The phases of a VM.
//
//go:generate enumer -type=Phase -transform=title-lower
const (
	InService Phase = iota
	Draining
	Rebooting
	Failed
	Held
)

// Serves says whether a VM in the phase may be given work.
func (p Phase) Serves() bool {
	return p == InService
}

// State is what the controller has decided for one VM.
type State struct {
	Phase        Phase
	Since        time.Time
	Pool         string
	MovedAt      time.Time
	MaintainedAt time.Time
	BootID       string
	// Reason is why the VM is where it is.
	Reason string
}

// NewState converts a state of the schema.
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

// Schema converts the state back.
func (s State) Schema(name string) *schema.VmState {
	return &schema.VmState{
		Name: name, Phase: schema.VmPhase(s.Phase), SinceUnixMs: toUnixMillis(s.Since), Pool: s.Pool,
		MovedUnixMs: toUnixMillis(s.MovedAt), MaintainedUnixMs: toUnixMillis(s.MaintainedAt), Boot: s.BootID, Reason: s.Reason,
	}
}

func fromUnixMillis(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMilli(n)
}

func toUnixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
