package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// mostListed bounds the jobs in one answer, to keep it well under the bytes of a frame between entries.
const mostListed = 1000

// List tells where the jobs of a queue stand, those of all queues for an empty name, the latest first.
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
	return Reply{Result: Done, Jobs: l[:min(len(l), mostListed)]}
}

// Explain tells where a job and each of its tasks stand, and what those that do not run wait for.
func (s *Scheduler) Explain(id string, now time.Time) Reply {
	j := s.jobs[id]
	if j == nil {
		return Reply{Result: Absent}
	}
	m := j.status()
	for _, o := range j.occurrences {
		for _, t := range o.tasks() {
			m.Tasks = append(m.Tasks, s.explainTask(t, o, now))
		}
	}
	return Reply{Result: Done, Phase: j.shown, Jobs: []*schema.JobStatus{m}}
}

func (j *jobState) status() *schema.JobStatus {
	m := &schema.JobStatus{
		Id: j.job.ID, Queue: j.job.Queue, Pool: j.job.Pool, Phase: j.shown.String(), AcceptedMs: j.job.Accepted.UnixMilli(),
	}
	if j.shown.Ended() {
		m.EndedMs = j.ended.UnixMilli()
	}
	if j.opened < j.job.Occurrences() && !j.shown.Ended() {
		m.NextDueMs = j.job.Due(j.opened).UnixMilli()
	}
	for _, o := range j.occurrences {
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
		if !r.server.heard.IsZero() {
			m.HeardAgeMs = now.Sub(r.server.heard).Milliseconds()
		}
		if r.phase == assigned {
			m.WaitsFor = "the store"
		}
	case t.state.phase.Ended():
		m.State = t.state.phase.String()
	default:
		m.State, m.WaitsFor = "waiting", s.waitsFor(t, o, now)
	}
	return m
}

// waitsFor is why a task has no server.
func (s *Scheduler) waitsFor(t *task, o *occurrence, now time.Time) string {
	if !s.due(t.job, o.number, now) {
		return "its time, " + t.job.Due(o.number).UTC().Format(time.RFC3339Nano)
	}
	if l := t.step.waitedFor(o); len(l) > 0 {
		return fmt.Sprintf("steps %v", l)
	}
	pool := s.poolOf(t.state)
	usable := s.pools(now)[pool]
	if len(usable) == 0 {
		return "a server of pool " + pool + " that takes new work: " + s.unusable(pool, now)
	}
	if q := s.table.ByName(t.job.Queue); q != nil && q.UsesAdvice {
		if p := s.advice[t.key.StepName()]; p == nil || p.pending {
			return "the advice service"
		}
	}
	if best(t, usable, now) == nil {
		return fmt.Sprintf("room on one of %d servers of pool %s", len(usable), pool)
	}
	return "the next look at what waits"
}

// waitedFor are the steps that must be done first and are not.
func (p *stepState) waitedFor(o *occurrence) []int {
	l := []int{}
	for _, a := range p.step.After {
		if o.steps[a].left > 0 {
			l = append(l, a)
		}
	}
	return l
}

// unusable counts the servers of a pool by why they take no new work.
func (s *Scheduler) unusable(pool string, now time.Time) string {
	m := map[string]int{}
	for _, v := range s.servers {
		if v.info.Pool == pool && v.there() {
			m[v.hindrance(s.cordoned[v.info.VM], now)]++
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

// hindrance is why a server takes no new work.
func (v *serverState) hindrance(cordoned bool, now time.Time) string {
	switch {
	case v.info.Draining:
		return "draining"
	case v.misplaced:
		return "at an address that another server has"
	case !v.reachable || now.Sub(v.heard) >= silence:
		return "silent"
	case cordoned:
		return "kept free for maintenance or a move"
	case now.Before(v.pausedTo):
		return "left alone after failures"
	default:
		return "full"
	}
}
