package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// maxListedJobs bounds the jobs in one reply, which must stay well below the frame size limit between entries.
const maxListedJobs = 1000

// List returns the status of a queue's jobs, most recently accepted first and at most maxListedJobs of them. An empty
// name selects all queues.
func (s *Scheduler) List(queue string) Reply {
	l := []*schema.JobStatus{}
	for _, j := range s.jobs {
		if queue == "" || j.job.Queue == queue {
			l = append(l, j.status())
		}
	}
	slices.SortFunc(l, func(a, b *schema.JobStatus) int {
		return cmp.Or(cmp.Compare(b.AcceptedMs, a.AcceptedMs), cmp.Compare(a.Id, b.Id))
	})
	return Reply{Result: Done, Jobs: l[:min(len(l), maxListedJobs)]}
}

// Explain returns the status of a job and of each of its tasks, except those of occurrences that are done, with what pending tasks wait for. The result is NotFound
// for an unknown job.
func (s *Scheduler) Explain(id string, now time.Time) Reply {
	j := s.jobs[id]
	if j == nil {
		return Reply{Result: NotFound}
	}
	m := j.status()
	for _, o := range j.unclosed() {
		for _, t := range o.tasks() {
			m.Tasks = append(m.Tasks, s.explainTask(t, o, now))
		}
	}
	return Reply{Result: Done, Phase: j.reportedPhase, Jobs: []*schema.JobStatus{m}}
}

func (j *jobState) status() *schema.JobStatus {
	m := &schema.JobStatus{
		Id: j.job.ID, Queue: j.job.Queue, Pool: j.job.Pool, Phase: j.reportedPhase.String(), AcceptedMs: j.job.AcceptedAt.UnixMilli(),
		Workspace: j.job.Workspace,
	}
	if j.reportedPhase.Ended() {
		m.EndedMs = j.endedAt.UnixMilli()
	}
	if j.openedOccurrences < j.job.Occurrences() && !j.reportedPhase.Ended() {
		m.NextDueMs = j.job.Due(j.openedOccurrences).UnixMilli()
	}
	for _, o := range j.occurrences {
		if len(o.steps) == 0 {
			m.Done += int32(j.job.Tasks())
		}
		for _, t := range o.tasks() {
			switch {
			case t.done:
				m.Done++
			case t.run != nil:
				m.Running++
			default:
				m.Waiting++
			}
		}
	}
	return m
}

func (s *Scheduler) explainTask(t *task, o *occurrence, now time.Time) *schema.TaskStatus {
	m := &schema.TaskStatus{Task: t.key.String(), Run: int32(t.lastRun), Failures: int32(t.failures)}
	switch {
	case t.done:
		m.State = "done"
	case t.run != nil:
		r := t.run
		m.State, m.Server, m.Percent = r.phase.String(), r.server.info.ID, int32(r.percent)
		if !r.server.listedAt.IsZero() {
			m.HeardAgeMs = now.Sub(r.server.listedAt).Milliseconds()
		}
		if r.phase == assigned {
			m.WaitsFor = "the store"
			if r.held {
				m.WaitsFor = "the answers to other start orders"
			}
		}
	case t.state.phase.Ended():
		m.State = t.state.phase.String()
	default:
		m.State, m.WaitsFor = "waiting", s.waitsFor(t, o, now)
	}
	return m
}

// waitsFor returns what a task without a server waits for.
func (s *Scheduler) waitsFor(t *task, o *occurrence, now time.Time) string {
	if !s.isDue(t.job, o.number, now) {
		return "its time, " + t.job.Due(o.number).UTC().Format(time.RFC3339Nano)
	}
	if l := t.step.pendingDependencies(o); len(l) > 0 {
		return fmt.Sprintf("steps %v", l)
	}
	pool := s.poolOf(t.state)
	if r := s.explainCap(t, now); r != "" {
		return r
	}
	usable := s.usableServers(pool, now)
	if len(usable) == 0 {
		return "a server of pool " + pool + " that takes new work: " + s.unusableReasons(pool, now)
	}
	allowed := s.advisedServers(t, usable, now)
	if len(allowed) == 0 {
		return t.step.advice.waitsFor(pool, usable)
	}
	usable = allowed
	if x := s.waitsForReservation(t, pool, now); x != "" {
		return x
	}
	if bestServer(t, usable, now) == nil && t.mayCrashServers() {
		return fmt.Sprintf("a server of pool %s without other tasks, since %d servers crashed under it", pool, t.crashes)
	}
	if b := s.books[pool]; b != nil && bestServer(t, usable, now) != nil {
		return fmt.Sprintf("room beside the %d reservations for large tasks of pool %s", b.Len(), pool)
	}
	if bestServer(t, usable, now) == nil {
		return fmt.Sprintf("room on one of %d servers of pool %s", len(usable), pool)
	}
	return "the next look at what waits"
}

// pendingDependencies returns the indexes of the steps that must complete before this one and have not.
func (p *stepState) pendingDependencies(o *occurrence) []int {
	l := []int{}
	for _, a := range p.step.After {
		if o.steps[a].unfinished > 0 {
			l = append(l, a)
		}
	}
	return l
}

// unusableReasons counts a pool's servers by the reason why they accept no new runs.
func (s *Scheduler) unusableReasons(pool string, now time.Time) string {
	m := map[string]int{}
	for _, v := range s.servers {
		if v.info.Pool == pool && v.exists() {
			m[v.unusableReason(s.cordonedVMs[v.info.VM], now)]++
		}
	}
	l := []string{}
	for k, n := range m {
		l = append(l, fmt.Sprintf("%d %s", n, k))
	}
	if len(l) == 0 {
		return "none is registered"
	}
	slices.Sort(l)
	return strings.Join(l, ", ")
}

// unusableReason returns why a server accepts no new runs.
func (v *serverState) unusableReason(cordoned bool, now time.Time) string {
	switch {
	case v.info.Draining:
		return "draining"
	case v.addressTaken:
		return "at an address that another server has"
	case !v.reachable || now.Sub(v.listedAt) >= listingTimeout:
		return "silent"
	case cordoned:
		return "kept free for maintenance or a move"
	case v.unregisteredStart:
		return "not registered since it restarted"
	case v.unassigned.unsized:
		return "with unknown runs that are being stopped"
	case now.Before(v.pausedUntil):
		return "left alone after failures"
	default:
		return "full"
	}
}
