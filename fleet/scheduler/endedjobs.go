package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// endedJobs are the jobs that have ended, in the order of their ends once they are sorted.
type endedJobs struct {
	jobs []*jobState
	// unsorted is true if a restored job has ended before one that was added earlier.
	unsorted bool
}

func (e *endedJobs) add(j *jobState) {
	if n := len(e.jobs); n > 0 && j.endedAt.Before(e.jobs[n-1].endedAt) {
		e.unsorted = true
	}
	e.jobs = append(e.jobs, j)
}

// takeBefore removes and returns the jobs that have ended before t. It stops at one whose end is not stored, which is rare.
func (e *endedJobs) takeBefore(t time.Time) []*jobState {
	if e.unsorted {
		slices.SortStableFunc(e.jobs, func(a, b *jobState) int { return cmp.Compare(a.endedAt.UnixNano(), b.endedAt.UnixNano()) })
		e.unsorted = false
	}
	n := 0
	for n < len(e.jobs) && e.jobs[n].endedAt.Before(t) && e.jobs[n].isEndStored() {
		n++
	}
	l := slices.Clone(e.jobs[:n])
	e.jobs = e.jobs[n:]
	return l
}

// isEndStored reports whether the job has ended and the store has its last version.
func (j *jobState) isEndStored() bool {
	return j.phase.Ended() && j.committedVersion == j.version && !j.dirty && !j.endLogged
}
