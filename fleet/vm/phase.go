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
	Phase      Phase
	Since      time.Time
	Pool       string
	Moved      time.Time
	Maintained time.Time
	Boot       string
	// Reason is why the VM is where it is.
	Reason string
}

// NewState converts a state of the schema.
func NewState(m *schema.VmState) State {
	return State{
		Phase:      Phase(m.Phase),
		Since:      fromMillis(m.SinceUnixMs),
		Pool:       m.Pool,
		Moved:      fromMillis(m.MovedUnixMs),
		Maintained: fromMillis(m.MaintainedUnixMs),
		Boot:       m.Boot,
		Reason:     m.Reason,
	}
}

// Schema converts the state back.
func (s State) Schema(name string) *schema.VmState {
	return &schema.VmState{
		Name: name, Phase: schema.VmPhase(s.Phase), SinceUnixMs: millis(s.Since), Pool: s.Pool,
		MovedUnixMs: millis(s.Moved), MaintainedUnixMs: millis(s.Maintained), Boot: s.Boot, Reason: s.Reason,
	}
}

func fromMillis(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMilli(n)
}

func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
