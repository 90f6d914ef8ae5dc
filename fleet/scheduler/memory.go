package scheduler

import (
	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// Estimated memory of a job's parts.
const (
	jobBytes  = 2 << 10
	stepBytes = 1 << 10
	taskBytes = 640
)

// freeSizes is how many times the size of a job must be free for it to be accepted, so that large jobs leave room for small ones.
const freeSizes = 4

// occurrenceBytes estimates the memory of an occurrence of a job.
func occurrenceBytes(n *job.Job) int64 {
	b := int64(len(n.Steps)) * stepBytes
	for i := range n.Steps {
		b += int64(n.Steps[i].Count) * taskBytes
	}
	return b
}

// definitionBytes estimates the memory of a job without its occurrences.
func definitionBytes(n *job.Job) int64 {
	b := jobBytes + int64(len(n.Payload)+len(n.Steps)*stepBytes)
	for i := range n.Steps {
		p := &n.Steps[i]
		b += int64(len(p.Requires) + len(p.DataRack) + len(p.Image) + 8*len(p.After))
	}
	return b
}

// hasMemory reports whether so much memory may be taken.
func (s *Scheduler) hasMemory(bytes int64) bool {
	return s.limits.JobMemoryBytes <= 0 || s.retainedBytes+freeSizes*bytes <= s.limits.JobMemoryBytes
}

// retain counts memory of a job until the job is removed.
func (s *Scheduler) retain(j *jobState, bytes int64) {
	j.retainedBytes += bytes
	s.retainedBytes += bytes
}

// refuseForMemory returns a refusal if the owner has no memory for a job.
func (s *Scheduler) refuseForMemory(n *job.Job) *Reply {
	if s.hasMemory(definitionBytes(n) + occurrenceBytes(n)) {
		return nil
	}
	return &Reply{Result: Refused, Reason: "the owner has no memory for a job of this size", RetryAfter: maxRetryAfter, Cause: CauseMemory}
}

// mayOpen reports whether the next occurrence of a job may be opened: there is memory for it, or no other one is unfinished.
func (s *Scheduler) mayOpen(j *jobState) bool {
	if s.hasMemory(occurrenceBytes(j.job)) {
		return true
	}
	for _, o := range j.unclosed() {
		if o.unfinished > 0 {
			return false
		}
	}
	return true
}
