package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// jobState is a job with its course.
type jobState struct {
	job *job.Job
	// phase is what is decided, shown what is stored.
	phase         job.Phase
	reportedPhase job.Phase
	endedAt       time.Time
	// stored says that the job itself is in the store.
	stored bool
	// sent says that a transaction has carried the job, with or without an answer.
	sent    bool
	started bool
	// version counts changes, committed is the newest that the store has.
	version           uint64
	committedVersion  uint64
	dirty             bool
	openedOccurrences int
	occurrences       []*occurrence
	waiters           []waiter
	// cachedWork is the remaining work as it was at workAt.
	cachedWork   float64
	cachedWorkAt time.Time
}

type waiter struct {
	version uint64
	reply   func(Reply)
}

// occurrence is one time that the steps run.
type occurrence struct {
	number int
	steps  []*stepState
	// unfinished counts the steps that are not done.
	unfinished int
	// openedAt is when its first tasks could start.
	openedAt time.Time
}

// stepState is a step of an occurrence.
type stepState struct {
	step  *job.Step
	tasks []*task
	// unfinished counts tasks that are not done, blocked the steps waited for that are not.
	unfinished   int
	pendingSteps int
	// failedRun is the last run of a gang that failed, since each member says so.
	failedRun  int
	checkpoint string
	// durations are the times that tasks of the step took.
	durations []time.Duration
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
	// avoidedServer is the server on which the task last failed or stood still.
	avoidedServer string
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

// isOpen says whether the step's tasks may start.
func (s *stepState) isOpen() bool {
	return s.pendingSteps == 0 && s.unfinished > 0
}

// await answers once the job is stored as it stands now.
func (j *jobState) await(reply func(Reply)) {
	if j.committedVersion == j.version && j.stored {
		reply(Reply{Result: Done, Phase: j.reportedPhase})
		return
	}
	j.waiters = append(j.waiters, waiter{j.version, reply})
}

func (s *Scheduler) addJob(n *job.Job) *jobState {
	j := &jobState{job: n}
	s.jobs[n.ID] = j
	s.active[n.ID] = j
	return j
}

// markDirty has a job's course stored with the next commit.
func (s *Scheduler) markDirty(j *jobState) {
	j.version++
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// openOccurrences adds the occurrences that may start.
func (s *Scheduler) openOccurrences(j *jobState, now time.Time) {
	for j.openedOccurrences < j.job.Occurrences() && s.isDue(j.job, j.openedOccurrences, now) {
		s.openNextOccurrence(j, now)
	}
}

// isDue says whether an occurrence may start; jobs without times may whatever the clock shows.
func (s *Scheduler) isDue(j *job.Job, occurrence int, now time.Time) bool {
	return !j.Timed() || !now.Before(j.Due(occurrence).Add(-s.limits.EarlyStart/2))
}

func (s *Scheduler) openNextOccurrence(j *jobState, now time.Time) {
	o := &occurrence{number: j.openedOccurrences, openedAt: now}
	for i := range j.job.Steps {
		o.steps = append(o.steps, j.newStep(o.number, i))
	}
	o.unfinished = len(o.steps)
	j.occurrences = append(j.occurrences, o)
	j.openedOccurrences++
	s.needsPlan = true
}

func (j *jobState) newStep(occurrence, i int) *stepState {
	p := &stepState{step: &j.job.Steps[i], pendingSteps: len(j.job.Steps[i].After)}
	p.unfinished = p.step.Count
	for n := range p.step.Count {
		p.tasks = append(p.tasks, &task{
			job: j.job, state: j, step: p,
			key: job.Task{Job: j.job.ID, Occurrence: occurrence, Step: i, Index: n},
		})
	}
	return p
}

// findTask is the task with the name, or nil.
func (s *Scheduler) findTask(k job.Task) *task {
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

// finishTask marks a task as done and opens what waited for its step.
func (s *Scheduler) finishTask(t *task, now time.Time) {
	if t.done {
		return
	}
	t.done = true
	t.step.unfinished--
	if t.step.unfinished > 0 {
		return
	}
	o := t.state.occurrences[t.key.Occurrence]
	for _, p := range o.steps {
		for _, a := range p.step.After {
			if a == t.key.Step {
				p.pendingSteps--
			}
		}
	}
	if o.unfinished--; o.unfinished > 0 {
		return
	}
	if s.isComplete(t.state) {
		s.endJob(t.state, job.Completed, now)
	}
}

func (s *Scheduler) isComplete(j *jobState) bool {
	if j.phase.Ended() || j.openedOccurrences < j.job.Occurrences() {
		return false
	}
	for _, o := range j.occurrences {
		if o.unfinished > 0 {
			return false
		}
	}
	return true
}
