package job

import (
	"fmt"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	idLength = 16
	// MaxPayloadBytes limits the payload that a job passes to its tasks.
	MaxPayloadBytes = 4000
	// MaxSteps limits the steps of a job.
	MaxSteps   = 256
	maxTasks   = 4096
	maxRepeats = 10000
	// maxResourceAmount limits each resource of a task, so that the sum over all tasks of a job fits in 64 bits.
	maxResourceAmount = 1 << 40
	// maxMillis limits times to about 139 years, so that they fit in a time.Duration.
	maxMillis = 1 << 42
)

// InvalidError reports a job that failed validation, with the offending field and the reason.
type InvalidError struct {
	Field  string
	Reason string
}

// Error describes the failure in one line.
func (e *InvalidError) Error() string {
	return e.Field + ": " + e.Reason
}

// Validate checks a submitted job; it returns an InvalidError for the first violation.
func Validate(m *schema.JobRecord) error {
	switch {
	case !validID(m.Id):
		return &InvalidError{"id", "not 16 hexadecimal digits"}
	case len(m.Payload) > MaxPayloadBytes:
		return &InvalidError{"payload", fmt.Sprintf("longer than %d bytes", MaxPayloadBytes)}
	case len(m.Steps) == 0 || len(m.Steps) > MaxSteps:
		return &InvalidError{"steps", fmt.Sprintf("not 1 to %d of them", MaxSteps)}
	case m.Repeats < 0 || m.Repeats > maxRepeats:
		return &InvalidError{"repeat", fmt.Sprintf("not 0 to %d times", maxRepeats)}
	case m.Repeats > 1 && m.IntervalMs <= 0:
		return &InvalidError{"repeat", "has no interval"}
	case m.IntervalMs < 0 || m.IntervalMs > maxMillis/maxRepeats || m.FirstDueMs < 0 || m.FirstDueMs > maxMillis:
		return &InvalidError{"repeat", "a time out of range"}
	}
	tasks := 0
	for i, s := range m.Steps {
		if err := validateStep(i, s); err != nil {
			return err
		}
		if tasks += int(s.Count); tasks > maxTasks {
			return &InvalidError{"steps", fmt.Sprintf("more than %d tasks", maxTasks)}
		}
	}
	return nil
}

func validateStep(i int, s *schema.StepRecord) error {
	place := fmt.Sprintf("steps[%d]", i)
	if s.Count < 1 || s.Count > maxTasks {
		return &InvalidError{place, fmt.Sprintf("not 1 to %d tasks", maxTasks)}
	}
	if s.CpuMilli < 0 || s.MemoryMb < 0 || s.Accelerators < 0 || s.EstimateMs < 0 || s.AntiAffinity < 0 || s.TargetMs < 0 {
		return &InvalidError{place, "a negative number"}
	}
	if max(s.CpuMilli, s.MemoryMb, s.Accelerators) > maxResourceAmount || max(s.EstimateMs, s.TargetMs) > maxMillis {
		return &InvalidError{place, "a number out of range"}
	}
	for _, a := range s.After {
		if a < 0 || int(a) >= i {
			return &InvalidError{place, fmt.Sprintf("waits for step %d, which is not an earlier one", a)}
		}
	}
	return nil
}

func validID(s string) bool {
	if len(s) != idLength {
		return false
	}
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
