package scheduler

import (
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// Restore adds a job from the store after a takeover. p is its progress, or nil if the progress within the job record
// is the newest.
func (s *Scheduler) Restore(m *schema.JobRecord, p *schema.JobProgress, now time.Time) {
	j := s.addJob(job.New(m))
	j.stored = true
	if p == nil {
		p = m.Progress
	}
	if p == nil {
		p = &schema.JobProgress{}
	}
	tasks, done := s.takeRestored(m.Id, p)
	j.phase = job.Phase(p.Phase)
	if j.phase.Ended() {
		j.endedAt = time.UnixMilli(p.EndedMs)
		j.reportedPhase = j.phase
		s.deactivate(j)
		s.ended.add(j)
		return
	}
	s.restoreDone(j, done, now)
	s.openOccurrences(j, now)
	for _, t := range tasks {
		s.restoreTask(j, t.record, t.sequence, now)
	}
	j.restoredDone = nil
	s.recountUnfinished(j, now)
	j.updateReportedPhase()
	s.countPendingJob(j)
	s.seedShare(j, now)
	s.needsPlan = true
}

// RestoreEnded adds an ended job from its stored progress. The result is false if the job has not ended.
func (s *Scheduler) RestoreEnded(id string, p *schema.JobProgress, now time.Time) bool {
	if !job.Phase(p.Phase).Ended() {
		return false
	}
	s.Restore(&schema.JobRecord{Id: id, Queue: p.Queue, Pool: p.Pool, AcceptedMs: p.AcceptedMs, Workspace: p.Workspace}, p, now)
	return true
}

// restoreDone opens a job's occurrences up to the last one that is done. Those are closed and take no memory.
func (s *Scheduler) restoreDone(j *jobState, done map[int]uint64, now time.Time) {
	j.restoredDone = done
	for n := range done {
		for j.openedOccurrences <= n && j.openedOccurrences < j.job.Occurrences() {
			s.openNextOccurrence(j, now)
		}
	}
	j.started = j.started || len(done) > 0
}

func (s *Scheduler) restoreTask(j *jobState, m *schema.TaskProgress, sequence uint64, now time.Time) {
	for j.openedOccurrences <= int(m.Occurrence) && j.openedOccurrences < j.job.Occurrences() {
		s.openNextOccurrence(j, now)
	}
	t := s.findTask(job.Task{Job: j.job.ID, Occurrence: int(m.Occurrence), Step: int(m.Step), Index: int(m.Index)})
	if t == nil {
		return
	}
	// An assignment alone does not tell whether its start order has arrived: the first listing does.
	j.started = j.started || m.Done || m.Failures > 0 || m.Crashes > 0 || m.Checkpoint != ""
	t.restoreRecord(m, sequence)
	t.lastRun = int(m.LastRun)
	t.failures = int(m.Failures)
	if t == t.step.tasks[0] {
		t.step.gangFailures, t.step.failedRun = int(m.GangFailures), int(m.FailedRun)
	}
	t.crashes, t.earlyCrashes = int(m.Crashes), int(m.EarlyCrashes)
	t.doubtfulCrashes, t.isolatedCrashes = int(m.DoubtfulCrashes), int(m.IsolatedCrashes)
	t.suspected, t.suspectedAt = m.Suspected, now
	t.checkpoint = m.Checkpoint
	if m.Checkpoint != "" {
		t.step.checkpoint = m.Checkpoint
	}
	if m.Done {
		t.setDone()
	}
	if m.Server == "" {
		return
	}
	v := s.inheritedServer(m.Server, time.UnixMilli(m.BornMs))
	if v == nil {
		return
	}
	s.inheritRun(t, v, t.lastRun, false, s.previousLostAt.Add(orderDeliveryMargin), now)
}

// inheritedServer returns the server incarnation to which a previous owner assigned a run, adding it if it is unknown or
// later than the known one. If a later incarnation is known, that may have the run, unless it has listed its runs.
func (s *Scheduler) inheritedServer(id string, startedAt time.Time) *serverState {
	v := s.servers[id]
	switch {
	case v == nil:
		return s.addServer(server.Server{ID: id, StartedAt: startedAt}, s.startedAt)
	case v.info.StartedAt.Equal(startedAt):
		return v
	case startedAt.After(v.info.StartedAt):
		s.restarts[id]++
		w := s.addServer(server.Server{ID: id, StartedAt: startedAt, Restarts: s.restarts[id]}, s.startedAt)
		s.handOver(v, w, s.startedAt)
		return w
	case v.listingClock > 0:
		return nil
	}
	s.expectEarlierOrders(v, s.startedAt)
	return v
}

// finishGang marks all tasks of a gang as done if one is, since they end together. The previous owner may have stored the end of only some
// of them.
func (p *stepState) finishGang() {
	if !p.step.Gang || !slices.ContainsFunc(p.tasks, func(t *task) bool { return t.done }) {
		return
	}
	for _, t := range p.tasks {
		t.setDone()
	}
}

// recountUnfinished counts the unfinished steps and tasks after the tasks were restored, and completes the job if there
// are none.
func (s *Scheduler) recountUnfinished(j *jobState, now time.Time) {
	for _, o := range j.unclosed() {
		for _, p := range o.steps {
			p.finishGang()
			for _, t := range p.tasks {
				if t.done {
					p.unfinished--
				}
			}
			if p.unfinished == 0 {
				o.unfinished--
			}
		}
		for _, p := range o.steps {
			for _, a := range p.step.After {
				if o.steps[a].unfinished == 0 {
					p.pendingSteps--
				}
			}
		}
		s.awaitSteps(o)
	}
	if s.isComplete(j) {
		s.endJob(j, job.Completed, now)
	}
}
