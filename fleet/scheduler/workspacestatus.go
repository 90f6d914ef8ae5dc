package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// countRefusal counts a refused submission of a workspace.
func (s *Scheduler) countRefusal(workspace string, c Cause) {
	if !s.usage.Enforced(workspace) {
		return
	}
	if s.refusals[workspace] == nil {
		s.refusals[workspace] = map[Cause]int64{}
	}
	s.refusals[workspace][c]++
}

// maxListedWorkspaces bounds the workspaces in one reply, which must stay well below the frame size limit between entries.
const maxListedWorkspaces = 1000

// Workspaces returns the configuration, the use and the shares of each workspace, sorted by name. Workspaces that are no
// longer configured are listed while they have jobs.
func (s *Scheduler) Workspaces(now time.Time) Reply {
	names := map[string]bool{}
	if s.table != nil {
		for _, w := range s.table.Workspaces.All() {
			names[w.Name] = true
		}
		for n := range s.activeOf {
			names[n] = names[n] || s.usage.Enforced(n)
		}
	}
	l := []*schema.WorkspaceStatus{}
	for n, show := range names {
		if show {
			l = append(l, s.workspaceStatus(n, now))
		}
	}
	slices.SortFunc(l, func(a, b *schema.WorkspaceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return Reply{Result: Done, Workspaces: l[:min(len(l), maxListedWorkspaces)]}
}

func (s *Scheduler) workspaceStatus(name string, now time.Time) *schema.WorkspaceStatus {
	used, runs := s.usage.Used(name)
	m := &schema.WorkspaceStatus{
		Name: name, Running: used.Record(), TasksRunning: int32(runs), Jobs: int32(len(s.activeOf[name])), Refused: map[string]int64{},
	}
	if w := s.usage.Workspace(name); w != nil {
		m.Weight, m.Cap = w.Weight, w.Cap.Record()
	}
	for _, j := range s.activeOf[name] {
		m.TasksWaiting += j.status().Waiting
	}
	for c, n := range s.refusals[name] {
		m.Refused[c.String()] = n
	}
	for p := range s.shares {
		if x, ok := s.allocation(p, now).all[name]; ok {
			m.Shares = append(m.Shares, &schema.WorkspaceShare{Pool: p, Used: x.Used, Fair: x.Fair})
		}
	}
	slices.SortFunc(m.Shares, func(a, b *schema.WorkspaceShare) int { return cmp.Compare(a.Pool, b.Pool) })
	return m
}
