package scheduler

import (
	"fmt"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
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
				Result: Refused, RetryAfter: unplaceableRetryAfter,
				Reason: fmt.Sprintf("steps[%d] can never start: it waits for %s", i, s.usage.Describe(n.Workspace, z)),
			}
		}
	}
	return nil
}
