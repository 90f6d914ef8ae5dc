package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// jobState is a job with its course.
type jobState struct {
	job *job.Job
	// phase is what is decided, shown what is stored.
	phase job.Phase
	shown job.Phase
	ended time.Time
	// stored says that the job itself is in the store.
	stored bool
	// sent says that a transaction has carried the job, with or without an answer.
	sent  bool
	begun bool
	// version counts changes, committed is the newest that the store has.
	version     uint64
	committed   uint64
	dirty       bool
	opened      int
	occurrences []*occurrence
	waiters     []waiter
	// work is the remaining work as it was at workAt.
	work   float64
	workAt time.Time
}

type waiter struct {
	version uint64
	reply   func(Reply)
}

// occurrence is one time that the steps run.
type occurrence struct {
	number int
	steps  []*stepState
	// left counts the steps that are not done.
	left int
	// opened is when its first tasks could start.
	opened time.Time
}

// stepState is a step of an occurrence.
type stepState struct {
	step  *job.Step
	tasks []*task
	// left counts tasks that are not done, blocked the steps waited for that are not.
	left    int
	blocked int
	// failedRun is the last run of a gang that failed, since each member says so.
	failedRun  int
	checkpoint string
	// took are the times that tasks of the step took.
	took []time.Duration
}

// task is one task of an occurrence.
type task struct {
	job        *job.Job
	state      *jobState
	key        job.Task
	step       *stepState
	done       bool
	run        *run
	lastRun    int
	failures   int
	checkpoint string
	// avoided is the server on which the task last failed or stood still.
	avoided string
	// straggled says that a run was given up because it was slow; a second one is left to finish.
	straggled bool
}

func (o *occurrence) tasks() []*task {
	l := []*task{}
	for _, s := range o.steps {
		l = append(l, s.tasks...)
	}
	return l
}

// open says whether the step's tasks may start.
func (s *stepState) open() bool {
	return s.blocked == 0 && s.left > 0
}

// await answers once the job is stored as it stands now.
func (j *jobState) await(reply func(Reply)) {
	if j.committed == j.version && j.stored {
		reply(Reply{Result: Done, Phase: j.shown})
		return
	}
	j.waiters = append(j.waiters, waiter{j.version, reply})
}

func (s *Scheduler) add(n *job.Job) *jobState {
	j := &jobState{job: n}
	s.jobs[n.ID] = j
	s.active[n.ID] = j
	return j
}

// mark has a job's course stored with the next commit.
func (s *Scheduler) mark(j *jobState) {
	j.version++
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// open adds the occurrences that may start.
func (s *Scheduler) open(j *jobState, now time.Time) {
	for j.opened < j.job.Occurrences() && s.due(j.job, j.opened, now) {
		s.openNext(j, now)
	}
}

// due says whether an occurrence may start; jobs without times may whatever the clock shows.
func (s *Scheduler) due(j *job.Job, occurrence int, now time.Time) bool {
	return !j.Scheduled() || !now.Before(j.Due(occurrence).Add(-s.bounds.Early/2))
}

func (s *Scheduler) openNext(j *jobState, now time.Time) {
	o := &occurrence{number: j.opened, opened: now}
	for i := range j.job.Steps {
		o.steps = append(o.steps, j.newStep(o.number, i))
	}
	o.left = len(o.steps)
	j.occurrences = append(j.occurrences, o)
	j.opened++
	s.unplanned = true
}

func (j *jobState) newStep(occurrence, i int) *stepState {
	p := &stepState{step: &j.job.Steps[i], blocked: len(j.job.Steps[i].After)}
	p.left = p.step.Count
	for n := range p.step.Count {
		p.tasks = append(p.tasks, &task{
			job: j.job, state: j, step: p,
			key: job.Task{Job: j.job.ID, Occurrence: occurrence, Step: i, Index: n},
		})
	}
	return p
}

// find is the task with the name, or nil.
func (s *Scheduler) find(k job.Task) *task {
	j := s.jobs[k.Job]
	if j == nil || k.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[k.Occurrence]
	if k.Step >= len(o.steps) || k.Index >= len(o.steps[k.Step].tasks) {
		return nil
	}
	return o.steps[k.Step].tasks[k.Index]
}

// finish marks a task as done and opens what waited for its step.
func (s *Scheduler) finish(t *task, now time.Time) {
	if t.done {
		return
	}
	t.done = true
	t.step.left--
	if t.step.left > 0 {
		return
	}
	o := t.state.occurrences[t.key.Occurrence]
	for _, p := range o.steps {
		for _, a := range p.step.After {
			if a == t.key.Step {
				p.blocked--
			}
		}
	}
	if o.left--; o.left > 0 {
		return
	}
	if s.complete(t.state) {
		s.end(t.state, job.Completed, now)
	}
}

func (s *Scheduler) complete(j *jobState) bool {
	if j.phase.Ended() || j.opened < j.job.Occurrences() {
		return false
	}
	for _, o := range j.occurrences {
		if o.left > 0 {
			return false
		}
	}
	return true
}
