package scheduler

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/backlog"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/usage"
)

// configProof is what is known of the age of the configuration.
type configProof struct {
	// known is true once an age was set, provedAt is the latest time at which the configuration was surely the newest.
	known    bool
	provedAt time.Time
}

// SetConfigAge sets the time since the configuration was last proved to be the newest. Without a call its age is not bounded.
func (s *Scheduler) SetConfigAge(age time.Duration, now time.Time) {
	before := s.configProved(now)
	s.configProof = configProof{known: true, provedAt: now.Add(-age)}
	s.needsPlan = s.needsPlan || !before && s.configProved(now)
}

// configProved reports whether the proof of the configuration is recent enough for tasks of workspaces to start.
func (s *Scheduler) configProved(now time.Time) bool {
	return s.limits.ConfigApply == 0 || !s.configProof.known || now.Sub(s.configProof.provedAt) <= s.limits.ConfigApply
}

// startSize returns the size of the tasks of the step that start at once: all members of a gang, or one task.
func (p *stepState) startSize() job.Size {
	return startSize(p.step)
}

func startSize(p *job.Step) job.Size {
	if p.Gang {
		return p.Size.Times(p.Count)
	}
	return p.Size
}

// allowedByCap reports whether a task of the step, or the whole gang, may be assigned under the cap of its workspace.
func (s *Scheduler) allowedByCap(p *stepState, now time.Time) bool {
	n := p.tasks[0].job.Workspace
	return !s.usage.Enforced(n) || s.configProved(now) && s.usage.Allows(n, p.startSize())
}

// capViolation returns why a stored assignment must not be started, or an empty text if it may. A newer configuration may
// have lowered the cap since it was made.
func (s *Scheduler) capViolation(r *run, now time.Time) string {
	n := r.task.job.Workspace
	switch {
	case !s.usage.Enforced(n):
		return ""
	case !s.configProved(now):
		return "the configuration is not proved to be the newest"
	case !s.usage.Keeps(n, r.task.step.step.Size):
		return "workspace " + n + " is above its cap"
	}
	return ""
}

// explainCap returns what keeps a pending task of a workspace from being assigned, or an empty text.
func (s *Scheduler) explainCap(t *task, now time.Time) string {
	n := t.job.Workspace
	switch {
	case s.allowedByCap(t.step, now):
		return ""
	case !s.configProved(now):
		return "a proof that the configuration is the newest"
	}
	return s.usage.Describe(n, t.step.startSize())
}

// refuseAboveCap returns a refusal if a task or gang of the job can never fit the cap of its workspace, or nil.
func (s *Scheduler) refuseAboveCap(n *job.Job) *Reply {
	for i := range n.Steps {
		if z := startSize(&n.Steps[i]); !s.usage.CanHold(n.Workspace, z) {
			return &Reply{
				Result: Refused, RetryAfter: unplaceableRetryAfter, Cause: CauseCap,
				Reason: fmt.Sprintf("steps[%d] can never start: it waits for %s", i, s.usage.Describe(n.Workspace, z)),
			}
		}
	}
	return nil
}

// refuseForCap returns a refusal if the job cannot be done in time since the accepted work of its workspace needs the cap, or
// nil. work is the job's own work.
func (s *Scheduler) refuseForCap(n *job.Job, due time.Time, overdue bool, work job.Amount, now time.Time) *Reply {
	w := s.usage.Workspace(n.Workspace)
	if w == nil || w.Cap == (job.Size{}) {
		return nil
	}
	limit, needed := w.Cap.Amount().Resources(), work.Resources()
	accepted := s.workspaceDemands(n.Workspace, now)
	for i, c := range limit {
		if c == 0 || needed[i] == 0 {
			continue
		}
		free := max(c-accepted.held.Resources()[i], 0)
		if overdue {
			free *= overdueWorkShare
		}
		supply := backlog.Supply{Now: free, Later: free, From: now}
		if x := backlog.Shortfall(now, accepted.ofResource(i, n.Excess), backlog.Demand{Due: due, Work: needed[i]}, supply); x > 0 {
			return &Reply{
				Result: Refused, Cause: CauseCap, RetryAfter: s.retryAfter(n, time.Duration(x/max(free, 1)*float64(time.Second))),
				Reason: fmt.Sprintf("would be late: the accepted work of workspace %s needs its cap of %s", w.Name, usage.Describe(w.Cap)),
			}
		}
	}
	return nil
}

// capDemands are the demands of a workspace's accepted finite jobs in all pools, and what its long-running tasks hold.
type capDemands struct {
	*cachedDemands
	held job.Amount
}

// workspaceDemands returns the demands of a workspace on its cap, at most cacheLifetime old.
func (s *Scheduler) workspaceDemands(name string, now time.Time) capDemands {
	x, ok := s.capDemandCache[name]
	if ok && now.Sub(x.at) <= cacheLifetime {
		return x
	}
	held, l := job.Amount{}, []demand{}
	for _, j := range s.activeOf[name] {
		switch {
		case j.job.LongRunning():
			held = held.Add(j.job.LongRunningAmount())
		case !j.job.Scheduled():
			l = append(l, s.demandOf(j, now))
		}
	}
	x = capDemands{newCachedDemands(l, now), held}
	s.capDemandCache[name] = x
	return x
}

// addCapDemand adds an accepted job to the demands of its workspace on its cap.
func (s *Scheduler) addCapDemand(d demand) {
	if x, ok := s.capDemandCache[d.job.Workspace]; ok {
		x.add(d)
	}
}

// cappedParts returns, for the workspaces whose open tasks need more than their cap, the part of them that may run at once.
// VMs for the others would be of no use.
func (s *Scheduler) cappedParts(now time.Time) map[string]float64 {
	m := map[string]float64{}
	for n, jobs := range s.activeOf {
		w := s.usage.Workspace(n)
		if w == nil || w.Cap.CPU == 0 && w.Cap.MemoryMB == 0 {
			continue
		}
		total, limit := resources{}, w.Cap.Amount()
		for _, j := range jobs {
			total = total.add(s.openResources(j, true, now)).add(s.openResources(j, false, now))
		}
		part := 1.0
		if limit.Cores > 0 {
			part = min(part, limit.Cores/max(total.cores, limit.Cores))
		}
		if limit.MemoryMB > 0 {
			part = min(part, limit.MemoryMB/max(total.memory, limit.MemoryMB))
		}
		if part < 1 {
			m[n] = part
		}
	}
	return m
}

// times returns the part of the resources that the map holds for the workspace, all of them if it holds none.
func (c resources) times(parts map[string]float64, workspace string) resources {
	f, ok := parts[workspace]
	if !ok {
		return c
	}
	return resources{c.cores * f, c.memory * f}
}
