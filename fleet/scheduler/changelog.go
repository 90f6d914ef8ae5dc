package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// maxLogEntries is the number of stored log entries from which each new one replaces an old one.
	maxLogEntries = 64
	// maxCleanedEntries is the number of old entries that a new one replaces at most.
	maxCleanedEntries = 2
	// maxLoggedTasks bounds the tasks in an entry, so that it takes some 200 KB at most.
	maxLoggedTasks = 4000
)

// changelog is the state of the stored log of progress. Each commit adds one entry with the changes of any number of
// jobs, so that the number of jobs under way does not limit the rate of commits.
type changelog struct {
	lastSequence uint64
	entries      []logEntry
	// restored holds the logged tasks of the jobs that are not restored yet.
	restored map[string][]*schema.TaskProgress
}

// logEntry is a stored entry with the IDs of the jobs in it.
type logEntry struct {
	sequence uint64
	jobs     []string
}

// taskRecord is the durable state of a task.
type taskRecord struct {
	lastRun, failures int
	// gangFailures and failedRun are those of the gang, in the record of its first task.
	gangFailures, failedRun int

	crashes            int
	earlyCrashes       int
	doubtfulCrashes    int
	isolatedCrashes    int
	suspected          bool
	done               bool
	checkpoint, server string
	startedAt          time.Time
}

func (t *task) record() taskRecord {
	r := taskRecord{
		lastRun: t.lastRun, failures: t.failures, crashes: t.crashes, earlyCrashes: t.earlyCrashes,
		doubtfulCrashes: t.doubtfulCrashes, isolatedCrashes: t.isolatedCrashes, suspected: t.suspected, done: t.done,
	}
	if t == t.step.tasks[0] {
		r.gangFailures, r.failedRun = t.step.gangFailures, t.step.failedRun
	}
	if !t.done {
		r.checkpoint = t.checkpoint
	}
	if t.run != nil {
		r.server, r.startedAt = t.run.server.info.ID, t.run.server.info.StartedAt
	}
	return r
}

// progress returns the record of the task's state for the store.
func (t *task) progress() *schema.TaskProgress {
	t.recorded = t.record()
	return t.recordedProgress()
}

// recordedProgress returns the record of the task's state that the store holds.
func (t *task) recordedProgress() *schema.TaskProgress {
	r := t.recorded
	p := &schema.TaskProgress{
		Occurrence: int32(t.key.Occurrence), Step: int32(t.key.Step), Index: int32(t.key.Index),
		LastRun: int32(r.lastRun), Failures: int32(r.failures), Done: r.done, Checkpoint: r.checkpoint, Server: r.server,
		Crashes: int32(r.crashes), EarlyCrashes: int32(r.earlyCrashes), DoubtfulCrashes: int32(r.doubtfulCrashes), IsolatedCrashes: int32(r.isolatedCrashes), Suspected: r.suspected,
		GangFailures: int32(r.gangFailures), FailedRun: int32(r.failedRun),
	}
	if r.server != "" {
		p.BornMs = r.startedAt.UnixMilli()
	}
	return p
}

// restoreRecord sets the state of a task that the store holds.
func (t *task) restoreRecord(m *schema.TaskProgress) {
	t.recorded = taskRecord{
		lastRun: int(m.LastRun), failures: int(m.Failures), done: m.Done, checkpoint: m.Checkpoint, server: m.Server,
		crashes: int(m.Crashes), earlyCrashes: int(m.EarlyCrashes), doubtfulCrashes: int(m.DoubtfulCrashes), isolatedCrashes: int(m.IsolatedCrashes), suspected: m.Suspected,
		gangFailures: int(m.GangFailures), failedRun: int(m.FailedRun),
	}
	if m.Server != "" {
		t.recorded.startedAt = time.UnixMilli(m.BornMs)
	}
}

// change returns the tasks of a job that differ from what the store holds, or all that are not pending since the start if
// whole is true. It returns nil if there are none. What has failed a job is stored only with its end: a successor that knows that
// the last run has failed, but not that the job has, would start the task again.
func (j *jobState) change(whole bool) *schema.JobChange {
	c := &schema.JobChange{Id: j.job.ID}
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			for _, t := range p.tasks {
				switch {
				case j.phase == job.Failed:
					if t.recorded.lastRun > 0 || t.recorded.done {
						c.Tasks = append(c.Tasks, t.recordedProgress())
					}
				case whole && (t.lastRun > 0 || t.done) || t.record() != t.recorded:
					c.Tasks = append(c.Tasks, t.progress())
				}
			}
		}
	}
	if len(c.Tasks) == 0 {
		return nil
	}
	return c
}

// addChange adds a job's changes to the batch's log entry.
func (s *Scheduler) addChange(b *Batch, j *jobState, whole bool) {
	c := j.change(whole)
	if c == nil {
		return
	}
	if b.Log == nil {
		s.log.lastSequence++
		b.Log = &schema.LogEntry{Sequence: s.log.lastSequence}
		s.log.entries = append(s.log.entries, logEntry{sequence: s.log.lastSequence})
	}
	e := &s.log.entries[len(s.log.entries)-1]
	e.jobs = append(e.jobs, j.job.ID)
	b.Log.Changes = append(b.Log.Changes, c)
	b.loggedTasks += len(c.Tasks)
	if whole {
		j.wholeSince = b.Log.Sequence
	}
}

// cleanLog replaces the oldest entries: what is still needed of them goes into the batch's entry.
func (s *Scheduler) cleanLog(b *Batch) {
	for range maxCleanedEntries {
		if b.Log == nil || len(s.log.entries) <= maxLogEntries {
			return
		}
		e := s.log.entries[0]
		for _, id := range e.jobs {
			if j := s.jobs[id]; j != nil && j.needsLog() && j.wholeSince <= e.sequence {
				s.addChange(b, j, true)
			}
		}
		s.log.entries = s.log.entries[1:]
		b.CleanedEntries = append(b.CleanedEntries, e.sequence)
	}
}

// needsLog reports whether the job's tasks are still needed: until a batch holds the job's end, other than in the log.
func (j *jobState) needsLog() bool {
	return j.stored && (!j.phase.Ended() || j.dirty || j.endLogged)
}

// RestoreLog takes over the log of the previous owner. It must be called before the jobs are restored.
func (s *Scheduler) RestoreLog(l []*schema.LogEntry) {
	slices.SortFunc(l, func(a, b *schema.LogEntry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	s.log.restored = map[string][]*schema.TaskProgress{}
	for _, m := range l {
		e := logEntry{sequence: m.Sequence}
		for _, c := range m.Changes {
			e.jobs = append(e.jobs, c.Id)
			s.log.restored[c.Id] = append(s.log.restored[c.Id], c.Tasks...)
		}
		s.log.entries = append(s.log.entries, e)
		s.log.lastSequence = max(s.log.lastSequence, m.Sequence)
	}
}

// loggedProgress returns the progress of a job with the logged changes applied.
func (s *Scheduler) loggedProgress(id string, p *schema.JobProgress) *schema.JobProgress {
	changes := s.log.restored[id]
	delete(s.log.restored, id)
	if len(changes) == 0 {
		return p
	}
	type key struct{ occurrence, step, index int32 }
	newest := map[key]*schema.TaskProgress{}
	order := []key{}
	for _, t := range append(slices.Clone(p.Tasks), changes...) {
		k := key{t.Occurrence, t.Step, t.Index}
		if newest[k] == nil {
			order = append(order, k)
		}
		newest[k] = t
	}
	r := &schema.JobProgress{Phase: p.Phase, EndedMs: p.EndedMs}
	for _, k := range order {
		r.Tasks = append(r.Tasks, newest[k])
	}
	return r
}
