package job

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Terms are the parts of a queue's configuration that its accepted jobs need after the queue was removed.
type Terms struct {
	// MaxAttempts is the number of failed runs of a task after which the job fails, 0 if it is not known.
	MaxAttempts int
	// Advice is nil if the steps may run on any server.
	Advice *Advice
}

// Advice is the configuration of the advice service for a queue. Zero durations are unknown.
type Advice struct {
	// Base and PerServer are what a request takes, altogether and for each server in it.
	Base, PerServer time.Duration
	// Validity is how long tickets are valid.
	Validity time.Duration
}

// RequestTime returns how long the service works on a request about n servers.
func (a *Advice) RequestTime(n int) time.Duration {
	return a.Base + time.Duration(n)*a.PerServer
}

// Record converts the terms to the schema.
func (t Terms) Record() *schema.JobTerms {
	m := &schema.JobTerms{MaxAttempts: int32(t.MaxAttempts)}
	if a := t.Advice; a != nil {
		m.Advice = &schema.AdviceTerms{BaseUs: a.Base.Microseconds(), PerServerUs: a.PerServer.Microseconds(), ValidityUs: a.Validity.Microseconds()}
	}
	return m
}

// newTerms converts terms of the schema; m is nil for a job of an earlier version.
func newTerms(m *schema.JobTerms) Terms {
	t := Terms{MaxAttempts: int(m.GetMaxAttempts())}
	if a := m.GetAdvice(); a != nil {
		t.Advice = &Advice{Base: microseconds(a.BaseUs), PerServer: microseconds(a.PerServerUs), Validity: microseconds(a.ValidityUs)}
	}
	return t
}

func microseconds(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
