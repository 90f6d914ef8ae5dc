package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

// maxListedWorkspaces bounds the workspaces in one reply, which must stay well below the frame size limit between entries.
const maxListedWorkspaces = 1000

// Workspaces returns the configuration of each workspace and what it has running and waiting, sorted by name. A workspace
// that is no longer configured is listed, without weight and cap, while it has work.
func (s *Scheduler) Workspaces(_ time.Time) Reply {
	m := map[string]*schema.WorkspaceStatus{}
	if s.table != nil {
		for _, w := range s.table.Workspaces.All() {
			m[w.Name] = newWorkspaceStatus(w)
		}
	}
	status := func(name string) *schema.WorkspaceStatus {
		if m[name] == nil {
			m[name] = newWorkspaceStatus(&workspace.Workspace{Name: name})
		}
		return m[name]
	}
	for _, j := range s.active {
		if n := j.job.Workspace; n != "" {
			status(n).Jobs++
			status(n).TasksWaiting += j.status().Waiting
		}
	}
	for _, v := range s.servers {
		for _, r := range v.runs {
			if n := r.task.job.Workspace; n != "" {
				addRunning(status(n), r.task.step.step.Size)
			}
		}
	}
	l := []*schema.WorkspaceStatus{}
	for _, w := range m {
		l = append(l, w)
	}
	slices.SortFunc(l, func(a, b *schema.WorkspaceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return Reply{Result: Done, Workspaces: l[:min(len(l), maxListedWorkspaces)]}
}

func newWorkspaceStatus(w *workspace.Workspace) *schema.WorkspaceStatus {
	return &schema.WorkspaceStatus{Name: w.Name, Weight: w.Weight, Cap: resourceAmount(w.Cap), Running: &schema.ResourceAmount{}}
}

// addRunning counts a run with the full size of its task, as the cap does, even if it only uses idle processors.
func addRunning(m *schema.WorkspaceStatus, x job.Size) {
	m.TasksRunning++
	m.Running.CpuMilli += x.CPU
	m.Running.MemoryMb += x.MemoryMB
	m.Running.Accelerators += x.Accelerators
}

func resourceAmount(x job.Size) *schema.ResourceAmount {
	return &schema.ResourceAmount{CpuMilli: x.CPU, MemoryMb: x.MemoryMB, Accelerators: x.Accelerators}
}
