package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// maxLogEntries is the number of stored log entries from which each new one replaces an old one.
	maxLogEntries = 64
	// maxCleanedEntries is the number of old entries that a new one replaces at most.
	maxCleanedEntries = 2
)

// changelog is the state of the stored log of progress. Each commit adds one entry with the changes of any number of
// jobs, so that the number of jobs under way does not limit the rate of commits.
type changelog struct {
	lastSequence uint64
	entries      []*logEntry
	// restored holds the logged tasks of the jobs that are not restored yet.
	restored map[string]*restoredLog
}

// restoredLog is what the log has of a job: the records of its tasks, the oldest first, and the sequence numbers of the entries that have
// occurrences as done.
type restoredLog struct {
	tasks []loggedTask
	done  map[int]uint64
}

// logEntry is a stored entry with the tasks in it, as far as they have not been moved to a later one.
type logEntry struct {
	sequence uint64
	changes  []loggedChange
}

// loggedChange holds the tasks of a job in an entry, and the occurrences that it has as done.
type loggedChange struct {
	jobID       string
	tasks       []taskIndex
	occurrences []int32
}

// taskIndex identifies a task of a job.
type taskIndex struct {
	occurrence, step, index int32
}

func indexOf(m *schema.TaskProgress) taskIndex {
	return taskIndex{m.Occurrence, m.Step, m.Index}
}

// loggedTask is the record of a task in the entry with the sequence number, 0 for the job's own record.
type loggedTask struct {
	record   *schema.TaskProgress
	sequence uint64
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

// progressOf returns the record of the task with its key for the store.
func (t *task) progressOf(r taskRecord) *schema.TaskProgress {
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

// restoreRecord sets the state of a task that the store holds, in the log entry with the sequence number.
func (t *task) restoreRecord(m *schema.TaskProgress, sequence uint64) {
	t.loggedIn = sequence
	t.recorded = taskRecord{
		lastRun: int(m.LastRun), failures: int(m.Failures), done: m.Done, checkpoint: m.Checkpoint, server: m.Server,
		crashes: int(m.Crashes), earlyCrashes: int(m.EarlyCrashes), doubtfulCrashes: int(m.DoubtfulCrashes), isolatedCrashes: int(m.IsolatedCrashes), suspected: m.Suspected,
		gangFailures: int(m.GangFailures), failedRun: int(m.FailedRun),
	}
	if m.Server != "" {
		t.recorded.startedAt = time.UnixMilli(m.BornMs)
	}
}

// addChange adds the tasks of a job that differ from what the store holds to the batch's log entry, and reports whether there was room for
// all of them. What has failed a job is stored only with its end: a successor that knows that the last run has failed, but not that the job
// has, would start the task again.
func (s *Scheduler) addChange(b *Batch, j *jobState) bool {
	for _, o := range j.unclosed() {
		if o.closed {
			continue
		}
		if j.job.Scheduled() && o.isOver() {
			if !s.logDone(b, j, o) {
				return false
			}
			o.closed = true
			b.closed = append(b.closed, closedOccurrence{j, o})
			continue
		}
		for _, p := range o.steps {
			for _, t := range p.tasks {
				if t.record() != t.recorded && !s.logTask(b, t, t.record()) {
					return false
				}
			}
		}
	}
	return true
}

// logDone adds to the batch's log entry that all tasks of an occurrence are done, and reports whether there was room for it.
func (s *Scheduler) logDone(b *Batch, j *jobState, o *occurrence) bool {
	if !b.takeRoom(b.changeBytes(j.job.ID) + recordOverhead) {
		return false
	}
	c, m := s.logChange(b, j.job.ID)
	b.undo.occurrences = append(b.undo.occurrences, occurrenceChange{o, o.loggedIn})
	c.occurrences = append(c.occurrences, int32(o.number))
	m.DoneOccurrences = append(m.DoneOccurrences, int32(o.number))
	o.loggedIn = b.Log.Sequence
	return true
}

// logTask adds the record of a task to the batch's log entry, and reports whether there was room for it.
func (s *Scheduler) logTask(b *Batch, t *task, r taskRecord) bool {
	p := t.progressOf(r)
	if !b.takeRoom(b.changeBytes(t.job.ID) + recordBytes(p)) {
		return false
	}
	c, m := s.logChange(b, t.job.ID)
	c.tasks = append(c.tasks, indexOf(p))
	m.Tasks = append(m.Tasks, p)
	b.undo.tasks = append(b.undo.tasks, taskChange{t, t.recorded, t.loggedIn})
	t.recorded, t.loggedIn = r, b.Log.Sequence
	return true
}

// logChange returns the last change in the batch's log entry, a new one if that is not one of the job.
func (s *Scheduler) logChange(b *Batch, id string) (*loggedChange, *schema.JobChange) {
	if b.Log == nil {
		s.log.lastSequence++
		b.Log = &schema.LogEntry{Sequence: s.log.lastSequence}
		s.log.entries = append(s.log.entries, &logEntry{sequence: s.log.lastSequence})
	}
	e := s.log.entries[len(s.log.entries)-1]
	if !b.logsLast(id) {
		e.changes = append(e.changes, loggedChange{jobID: id})
		b.Log.Changes = append(b.Log.Changes, &schema.JobChange{Id: id})
	}
	return &e.changes[len(e.changes)-1], b.Log.Changes[len(b.Log.Changes)-1]
}

// logsLast reports whether the last change in the batch's log entry is one of the job.
func (b *Batch) logsLast(id string) bool {
	n := len(b.Log.GetChanges())
	return n > 0 && b.Log.Changes[n-1].Id == id
}

// changeBytes returns the most bytes that a record of the job takes in the log entry besides its own.
func (b *Batch) changeBytes(id string) int {
	if b.logsLast(id) {
		return 0
	}
	return changeOverhead + len(id)
}

// cleanLog replaces the oldest entries: what is still needed of them goes into the batch's entry, as far as that has room for it.
func (s *Scheduler) cleanLog(b *Batch) {
	b.room += b.reserve
	b.reserve = 0
	for range maxCleanedEntries {
		if b.Log == nil || len(s.log.entries) <= maxLogEntries {
			return
		}
		e := s.log.entries[0]
		b.undo.entries = append(b.undo.entries, entryChange{e, slices.Clone(e.changes)})
		if !s.moveTasks(b, e) {
			return
		}
		s.log.entries = s.log.entries[1:]
		b.CleanedEntries = append(b.CleanedEntries, e.sequence)
	}
}

// moveTasks moves what is still needed of an old entry into the batch's entry, and reports whether that had room for all of it. The tasks
// are moved as they are stored: what has changed since is in this batch or a later one.
func (s *Scheduler) moveTasks(b *Batch, e *logEntry) bool {
	for len(e.changes) > 0 {
		c := &e.changes[0]
		j := s.jobs[c.jobID]
		for j != nil && j.needsLog() && len(c.occurrences) > 0 {
			if o := j.occurrenceAt(c.occurrences[0]); o != nil && o.loggedIn == e.sequence && !s.logDone(b, j, o) {
				return false
			}
			c.occurrences = c.occurrences[1:]
		}
		for j != nil && j.needsLog() && len(c.tasks) > 0 {
			if t := j.taskAt(c.tasks[0]); t != nil && t.loggedIn == e.sequence && !s.logTask(b, t, t.recorded) {
				return false
			}
			c.tasks = c.tasks[1:]
		}
		e.changes = e.changes[1:]
	}
	return true
}

// needsLog reports whether the job's tasks are still needed: until a batch holds the job's end, other than in the log.
func (j *jobState) needsLog() bool {
	return j.stored && (!j.phase.Ended() || j.dirty || j.endLogged)
}

// RestoreLog takes over the log of the previous owner. It must be called before the jobs are restored.
func (s *Scheduler) RestoreLog(l []*schema.LogEntry) {
	slices.SortFunc(l, func(a, b *schema.LogEntry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	s.log.restored = map[string]*restoredLog{}
	for _, m := range l {
		e := &logEntry{sequence: m.Sequence}
		for _, c := range m.Changes {
			e.changes = append(e.changes, s.restoreChange(c, m.Sequence))
		}
		s.log.entries = append(s.log.entries, e)
		s.log.lastSequence = max(s.log.lastSequence, m.Sequence)
	}
}

// restoreChange takes over a change of a job in the log entry with the sequence number.
func (s *Scheduler) restoreChange(c *schema.JobChange, sequence uint64) loggedChange {
	r := s.log.restored[c.Id]
	if r == nil {
		r = &restoredLog{done: map[int]uint64{}}
		s.log.restored[c.Id] = r
	}
	x := loggedChange{jobID: c.Id, occurrences: c.DoneOccurrences}
	for _, p := range c.Tasks {
		x.tasks = append(x.tasks, indexOf(p))
		r.tasks = append(r.tasks, loggedTask{p, sequence})
	}
	for _, n := range c.DoneOccurrences {
		r.done[int(n)] = sequence
	}
	return x
}

// takeRestored returns the newest record of each of a job's tasks, from the job's own record and the log, and the occurrences that the log
// has as done.
func (s *Scheduler) takeRestored(id string, p *schema.JobProgress) (tasks []loggedTask, done map[int]uint64) {
	logged := s.log.restored[id]
	delete(s.log.restored, id)
	if logged == nil {
		logged = &restoredLog{}
	}
	newest := make(map[taskIndex]int, len(p.Tasks)+len(logged.tasks))
	add := func(t loggedTask) {
		i, found := newest[indexOf(t.record)]
		if !found {
			i = len(tasks)
			newest[indexOf(t.record)] = i
			tasks = append(tasks, t)
		}
		tasks[i] = t
	}
	for _, m := range p.Tasks {
		add(loggedTask{record: m})
	}
	for _, t := range logged.tasks {
		add(t)
	}
	return tasks, logged.done
}
