package job

import "github.com/tarragonbank/tarragonbank/fleet/schema"

// FromRequest converts a caller's request to a job record. The fields set on acceptance (pool, acceptance time and
// data centre) stay empty.
func FromRequest(q *schema.JobRequest) *schema.JobRecord {
	m := &schema.JobRecord{Id: q.Id, Queue: q.Queue, Payload: q.Payload, Steps: q.Steps}
	if q.Repeat != nil {
		m.Repeats, m.FirstDueMs, m.IntervalMs = q.Repeat.Count, q.Repeat.FirstDueMs, q.Repeat.IntervalMs
	}
	return m
}

// ValidateRequest checks a caller's request; it returns an InvalidError for the first violation.
func ValidateRequest(q *schema.JobRequest) error {
	if q.Queue == "" {
		return &InvalidError{"queue", "not given"}
	}
	if q.Repeat != nil && q.Repeat.Count < 1 {
		return &InvalidError{"repeat.count", "not at least 1"}
	}
	return Validate(FromRequest(q))
}
