package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

// Restore takes a job as the store has it; p is its course, nil where it has not changed since the first commit.
func (s *Scheduler) Restore(m *schema.JobRecord, p *schema.JobProgress, now time.Time) {
	j := s.add(job.New(m))
	j.stored = true
	if p == nil {
		p = m.Progress
	}
	if p == nil {
		p = &schema.JobProgress{}
	}
	j.phase = job.Phase(p.Phase)
	if j.phase.Ended() {
		j.ended = time.UnixMilli(p.EndedMs)
		j.shown = j.phase
		delete(s.active, j.job.ID)
		return
	}
	s.open(j, now)
	for _, t := range p.Tasks {
		s.restoreTask(j, t, now)
	}
	s.reopen(j, now)
	j.show()
	s.unplanned = true
}

func (s *Scheduler) restoreTask(j *jobState, m *schema.TaskProgress, now time.Time) {
	for j.opened <= int(m.Occurrence) && j.opened < j.job.Occurrences() {
		s.openNext(j, now)
	}
	t := s.find(job.Task{Job: j.job.ID, Occurrence: int(m.Occurrence), Step: int(m.Step), Index: int(m.Index)})
	if t == nil {
		return
	}
	j.begun = true
	t.lastRun = int(m.LastRun)
	t.failures = int(m.Failures)
	t.checkpoint = m.Checkpoint
	if m.Checkpoint != "" {
		t.step.checkpoint = m.Checkpoint
	}
	t.done = m.Done
	if m.Server == "" {
		return
	}
	v := s.inherit(m.Server, time.UnixMilli(m.BornMs))
	if v == nil {
		return
	}
	r := &run{task: t, number: t.lastRun, server: v, phase: unsure, inherited: true, pace: fullPace, progressed: now, began: now}
	t.run = r
	v.take(r)
}

// inherit is the life of the server to which an earlier owner assigned a run, or nil if a later one has begun.
func (s *Scheduler) inherit(id string, born time.Time) *serverState {
	v := s.servers[id]
	if v == nil {
		v = &serverState{info: server.Server{ID: id, StartedAt: born}, runs: map[job.Task]*run{}}
		s.servers[id] = v
		s.ordered = nil
	}
	if v.info.StartedAt.After(born) {
		return nil
	}
	return v
}

// reopen works out what is left after the tasks were restored.
func (s *Scheduler) reopen(j *jobState, now time.Time) {
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			for _, t := range p.tasks {
				if t.done {
					p.left--
				}
			}
			if p.left == 0 {
				o.left--
			}
		}
		for _, p := range o.steps {
			for _, a := range p.step.After {
				if o.steps[a].left == 0 {
					p.blocked--
				}
			}
		}
	}
	if s.complete(j) {
		s.end(j, job.Completed, now)
	}
}
