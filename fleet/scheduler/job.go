package scheduler

import (
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// jobState is a job with its progress.
type jobState struct {
	job *job.Job
	// phase is the current phase, reportedPhase the phase that callers see, which follows only what is stored.
	phase         job.Phase
	reportedPhase job.Phase
	endedAt       time.Time
	// stored is true once the job record is in the store.
	stored bool
	// sent is true once a transaction has included the job, whether or not it was answered.
	sent    bool
	started bool
	// countedPending is true while the job is among its queue's pending jobs.
	countedPending bool
	// version counts the changes, committedVersion is the newest version in the store.
	version          uint64
	committedVersion uint64
	dirty            bool
	// endLogged is true while the log alone has the job's end.
	endLogged         bool
	openedOccurrences int
	occurrences       []*occurrence
	// closedOccurrences is the number of the first ones that are closed. restoredDone holds, while the job is restored, the sequence numbers of
	// the log entries that have occurrences as done.
	closedOccurrences int
	restoredDone      map[int]uint64
	// heldRuns are the runs whose start orders wait for the window of unanswered ones.
	heldRuns []*run
	// retainedBytes is the estimated memory of the job.
	retainedBytes int64
	waiters       []waiter
	// cachedWork is the remaining work in core-seconds, computed at cachedWorkAt.
	cachedWork   float64
	cachedWorkAt time.Time
	// cachedAmount is the remaining work in all resources, of a workspace's job.
	cachedAmount job.Amount
}

// waiter is a caller that is answered once a version of the job is stored.
type waiter struct {
	version uint64
	reply   func(Reply)
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	number int
	steps  []*stepState
	// unfinished counts the steps that are not done.
	unfinished int
	// openedAt is when its first tasks could start.
	openedAt time.Time
	// closed is true once a batch has recorded in one line that all tasks are done, loggedIn is the sequence number of the log entry with it.
	// Once that is stored the occurrence has no steps any more.
	closed   bool
	loggedIn uint64
}

// stepState is a step of an occurrence.
type stepState struct {
	step  *job.Step
	tasks []*task
	// unfinished counts the tasks that are not done, pendingSteps the steps that must be done first and are not, pendingTasks the tasks
	// that wait for a server or for those steps.
	unfinished   int
	pendingSteps int
	pendingTasks int
	// awaited is true while the step is among those that wait.
	awaited bool
	// gangFailures counts the failed runs of the gang, each once however many members failed; failedRun is the number of the
	// last of them.
	gangFailures, failedRun int

	checkpoint string
	// checkpointTooLarge is true once a checkpoint was too large to be stored.
	checkpointTooLarge bool

	advice   stepAdvice
	outcomes *outcomes
	speeds   speeds
	// foreseenEnd is when the step's tasks are foreseen to end if they are placed in the present pass.
	foreseenEnd time.Time
}

// task is one task of a step in an occurrence.
type task struct {
	job     *job.Job
	state   *jobState
	key     job.Task
	step    *stepState
	done    bool
	run     *run
	lastRun int
	// failures counts the runs that ended as failed; in a gang, those of the task itself.
	failures   int
	checkpoint string
	// crashes counts the servers that crashed while they ran the task, earlyCrashes those of them on which it had just begun,
	// doubtfulCrashes the servers that may have crashed before they began it, isolatedCrashes the servers of both kinds that
	// were to run nothing else, unexplained those that fell silent.
	crashes, earlyCrashes, doubtfulCrashes, isolatedCrashes, unexplained int
	// suspected is true while the task should run alone, since it may have crashed a server; suspectedAt is when that last
	// happened.
	suspected   bool
	suspectedAt time.Time
	// crashedVM is the VM of the last server that crashed.
	crashedVM string
	// abandoned are the runs, by number, that this owner gave up while their server was unreachable, and whose end it has not
	// seen.
	abandoned map[int]*run
	// recorded is the state that the store holds once the last batch is stored, loggedIn the sequence number of the log entry with it, 0 if
	// it is in the job's own record.
	recorded taskRecord
	loggedIn uint64
	// avoidedServer is the ID of the server on which the task last failed, stalled or was slow.
	avoidedServer string
	// quickFailures counts the consecutive failed runs of a long-running task that were never proven, restartAt is when it may be
	// placed again.
	quickFailures int
	restartAt     time.Time
	// straggled is true once a run was stopped for being slow; the next run is left to finish, since the task itself may
	// be long.
	straggled bool
}

func (o *occurrence) tasks() []*task {
	l := []*task{}
	for _, s := range o.steps {
		l = append(l, s.tasks...)
	}
	return l
}

// isOver reports whether all tasks are done and no server has a run of them.
func (o *occurrence) isOver() bool {
	if o.unfinished > 0 {
		return false
	}
	for _, p := range o.steps {
		for _, t := range p.tasks {
			if t.run != nil {
				return false
			}
		}
	}
	return true
}

// unclosed returns the occurrences from the first one on that is not closed.
func (j *jobState) unclosed() []*occurrence {
	for j.closedOccurrences < len(j.occurrences) && j.occurrences[j.closedOccurrences].closed {
		j.closedOccurrences++
	}
	return j.occurrences[j.closedOccurrences:]
}

// dropClosed frees the memory of an occurrence once the store has it as done.
func (s *Scheduler) dropClosed(j *jobState, o *occurrence) {
	o.steps = nil
	s.retain(j, -occurrenceBytes(j.job))
}

// isOpen reports whether the step has unfinished tasks that may start.
func (s *stepState) isOpen() bool {
	return s.pendingSteps == 0 && s.unfinished > 0
}

// hasWaitingTask reports whether a task of the job could start and has no server.
func (j *jobState) hasWaitingTask() bool {
	for _, o := range j.unclosed() {
		for _, p := range o.steps {
			if p.waits() {
				return true
			}
		}
	}
	return false
}

// await calls reply once the current version of the job is stored.
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
	s.retain(j, definitionBytes(n))
	s.activate(j)
	return j
}

// markDirty includes a job's progress in the next commit.
func (s *Scheduler) markDirty(j *jobState) {
	j.version++
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// openOccurrences opens the occurrences that are due, as far as there is memory for them.
func (s *Scheduler) openOccurrences(j *jobState, now time.Time) {
	for j.openedOccurrences < j.job.Occurrences() && s.isDue(j.job, j.openedOccurrences, now) && s.mayOpen(j) {
		s.openNextOccurrence(j, now)
	}
}

// isDue reports whether an occurrence may start. Jobs that are not scheduled are always due, whatever the clocks of the
// entries show.
func (s *Scheduler) isDue(j *job.Job, occurrence int, now time.Time) bool {
	return !j.Scheduled() || !now.Before(j.Due(occurrence).Add(-s.limits.EarlyStart/2))
}

func (s *Scheduler) openNextOccurrence(j *jobState, now time.Time) {
	o := &occurrence{number: j.openedOccurrences, openedAt: now}
	j.openedOccurrences++
	j.occurrences = append(j.occurrences, o)
	if o.loggedIn, o.closed = j.restoredDone[o.number]; o.closed {
		return
	}
	for i := range j.job.Steps {
		o.steps = append(o.steps, j.newStep(o.number, i))
	}
	o.unfinished = len(o.steps)
	s.retain(j, occurrenceBytes(j.job))
	s.awaitSteps(o)
}

func (j *jobState) newStep(occurrence, i int) *stepState {
	p := &stepState{step: &j.job.Steps[i], pendingSteps: len(j.job.Steps[i].After), outcomes: &outcomes{job: j.job.ID}}
	p.unfinished, p.pendingTasks = p.step.Count, p.step.Count
	for n := range p.step.Count {
		p.tasks = append(p.tasks, &task{
			job: j.job, state: j, step: p,
			key: job.Task{Job: j.job.ID, Occurrence: occurrence, Step: i, Index: n},
		})
	}
	return p
}

// findTask returns the task with the name, or nil.
func (s *Scheduler) findTask(k job.Task) *task {
	j := s.jobs[k.Job]
	if j == nil {
		return nil
	}
	return j.taskAt(taskIndex{int32(k.Occurrence), int32(k.Step), int32(k.Index)})
}

// findStep returns the job and the step of the task with the name, nil if there are none. It finds them also for a task that is done and whose
// occurrence is closed.
func (s *Scheduler) findStep(k job.Task) (*jobState, *job.Step) {
	j := s.jobs[k.Job]
	if j == nil || k.Step < 0 || k.Step >= len(j.job.Steps) {
		return nil, nil
	}
	return j, &j.job.Steps[k.Step]
}

// taskAt returns the task with the indexes, or nil.
func (j *jobState) taskAt(x taskIndex) *task {
	o := j.occurrenceAt(x.occurrence)
	if o == nil || x.step < 0 || int(x.step) >= len(o.steps) || x.index < 0 || int(x.index) >= len(o.steps[x.step].tasks) {
		return nil
	}
	return o.steps[x.step].tasks[x.index]
}

// occurrenceAt returns the occurrence with the number, or nil if there is none.
func (j *jobState) occurrenceAt(n int32) *occurrence {
	if n < 0 || int(n) >= len(j.occurrences) {
		return nil
	}
	return j.occurrences[n]
}

// finishTask marks a task as done. When that ends its step, the steps after it are unblocked; when it ends the last
// step of the last occurrence, the job completes.
func (s *Scheduler) finishTask(t *task, now time.Time) {
	if t.done {
		return
	}
	t.setDone()
	t.step.unfinished--
	if t.step.unfinished > 0 {
		return
	}
	t.step.advice = stepAdvice{}
	o := t.state.occurrences[t.key.Occurrence]
	for _, p := range o.steps {
		for _, a := range p.step.After {
			if a == t.key.Step {
				p.pendingSteps--
			}
		}
	}
	s.awaitSteps(o)
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
	for _, o := range j.unclosed() {
		if o.unfinished > 0 {
			return false
		}
	}
	return true
}
