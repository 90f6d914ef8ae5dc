package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/loss"
)

// maxNarrowing is how often the size of batches is halved while the store rejects them. The smallest ones hold a single job.
const maxNarrowing = 8

// undo is what a batch has changed in the scheduler, for a store that rejects it.
type undo struct {
	tasks       []taskChange
	occurrences []occurrenceChange
	// entries are the old log entries from which records were moved, with what they held.
	entries []entryChange
	// loggedEnds are the jobs whose end was added to the log, droppedEnds those whose end was taken from there.
	loggedEnds, droppedEnds []*jobState
	// first is the first job in the batch, the only one in the smallest batches.
	first *jobState
}

type taskChange struct {
	task     *task
	recorded taskRecord
	loggedIn uint64
}

type occurrenceChange struct {
	occurrence *occurrence
	loggedIn   uint64
}

type entryChange struct {
	entry   *logEntry
	changes []loggedChange
}

// narrowed returns a bound of a batch after the rejections of the last ones, at least the given one.
func (s *Scheduler) narrowed(bound, least int) int {
	return max(bound>>s.narrowing, min(bound, least))
}

// BatchRejected takes back a batch that the store will never take. The next ones are smaller, down to a single job. If the store rejects
// that, the job is refused if it is new, and otherwise fails, so that the others go on.
func (s *Scheduler) BatchRejected(b *Batch, now time.Time) {
	s.takeBack(b)
	if s.narrowing < maxNarrowing {
		s.narrowing++
		return
	}
	j := b.undo.first
	switch {
	case j == nil:
	case !j.stored:
		s.refuseUnstored(j, "the store does not take the job", unplaceableRetryAfter, CauseSize, now)
	case !j.phase.Ended():
		s.addDecision(Decision{Job: j.job.ID, Pool: j.job.Pool, Reason: loss.ReasonJobFailed + fmt.Sprintf("the store does not take its progress, of %d occurrences", len(j.unclosed()))})
		s.endJob(j, job.Failed, now)
	default:
		// Its end is tried again after the changes of all others.
		s.dirtyJobs = append(slices.DeleteFunc(s.dirtyJobs, func(x *jobState) bool { return x == j }), j)
	}
}

// takeBack undoes what the batch has changed.
func (s *Scheduler) takeBack(b *Batch) {
	u := &b.undo
	if b.Log != nil {
		s.log.entries = s.log.entries[:len(s.log.entries)-1]
	}
	for _, x := range slices.Backward(u.entries) {
		x.entry.changes = x.changes
		if len(s.log.entries) == 0 || s.log.entries[0] != x.entry {
			s.log.entries = slices.Insert(s.log.entries, 0, x.entry)
		}
	}
	for _, x := range slices.Backward(u.tasks) {
		x.task.recorded, x.task.loggedIn = x.recorded, x.loggedIn
	}
	for _, x := range u.occurrences {
		x.occurrence.loggedIn = x.loggedIn
	}
	for _, x := range b.closed {
		x.occurrence.closed = false
		x.job.closedOccurrences = min(x.job.closedOccurrences, x.occurrence.number)
	}
	for _, j := range u.droppedEnds {
		j.endLogged = true
	}
	s.loggedEnds = append(slices.Clone(u.droppedEnds), s.loggedEnds...)
	for _, j := range u.loggedEnds {
		j.endLogged = false
	}
	s.loggedEnds = slices.DeleteFunc(s.loggedEnds, func(j *jobState) bool { return !j.endLogged })
	for _, m := range b.versions {
		if !m.job.dirty {
			m.job.dirty = true
			s.dirtyJobs = append(s.dirtyJobs, m.job)
		}
	}
	s.removedJobs = append(slices.Clone(b.Removed), s.removedJobs...)
	s.leaseRecord.due = s.leaseRecord.due || b.Leases != nil
}
