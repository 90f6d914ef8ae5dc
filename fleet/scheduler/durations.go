package scheduler

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/duration"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// durationsInterval is the least time between two exports of the learned distributions. They change slowly, and a record
// takes up to 40 KB of the owner's link to the store.
const durationsInterval = 5 * time.Second

// learnDuration adds a completed run from which its whole duration is known to the distributions of its kind of tasks.
func (s *Scheduler) learnDuration(r *run, now time.Time) {
	e := r.task.step.step.Estimate
	if !s.limits.LookAhead || e <= 0 || r.startPercent > 0 || r.inherited {
		return
	}
	s.durations.Record(r.task.kind(), r.server.info.ID, float64(now.Sub(r.startedAt))/float64(e), now)
}

// kind returns the kind of tasks whose durations are like those of the task.
func (t *task) kind() duration.Kind {
	return duration.KindOf(t.job.Queue, t.step.step.Size)
}

// exportDurations returns the learned distributions for the next batch, or nil if those of the last export stand.
func (s *Scheduler) exportDurations(now time.Time) *schema.DurationRecord {
	if !s.limits.LookAhead || now.Sub(s.durationsExportedAt) < durationsInterval {
		return nil
	}
	s.durationsExportedAt = now
	m := s.durations.Export(now)
	for len(m.Distributions) > 0 && proto.Size(m) > s.limits.valueBytes() {
		// The last one has the fewest samples.
		m.Distributions = m.Distributions[:len(m.Distributions)-1]
	}
	return m
}

// RestoreDurations loads the distributions that a previous owner stored, and returns why some of them were left out.
func (s *Scheduler) RestoreDurations(m *schema.DurationRecord, now time.Time) []error {
	if !s.limits.LookAhead {
		return nil
	}
	s.durationsExportedAt = now
	return s.durations.Restore(m, now)
}
