package usage

import (
	"fmt"
	"maps"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

// Ledger holds the sum of the sizes of all runs that each workspace may have. A run counts with the full size of its task,
// also if the task reserves no processors.
type Ledger struct {
	accounts   map[string]*account
	workspaces map[string]*workspace.Workspace
	enforced   bool
}

// account is what one workspace has running.
type account struct {
	used job.Size
	runs int
	// unsized counts the runs whose size is not known.
	unsized int
}

// New returns an empty ledger, which enforces no caps.
func New() *Ledger {
	return &Ledger{accounts: map[string]*account{}, workspaces: map[string]*workspace.Workspace{}}
}

// SetWorkspaces sets the workspaces of the newest configuration; nil means that workspaces are not in use. A workspace that
// is missing keeps its last known cap and weight.
func (l *Ledger) SetWorkspaces(d *workspace.Directory) {
	l.enforced = d != nil
	for _, w := range d.All() {
		l.workspaces[w.Name] = w
	}
}

// Enforced reports whether caps apply to the tasks of the workspace.
func (l *Ledger) Enforced(name string) bool {
	return l.enforced && name != ""
}

// Workspace returns the last known definition of a workspace, or nil if there was none or workspaces are not in use.
func (l *Ledger) Workspace(name string) *workspace.Workspace {
	if !l.enforced {
		return nil
	}
	return l.workspaces[name]
}

// Clone returns a copy that changes independently of l.
func (l *Ledger) Clone() *Ledger {
	c := &Ledger{accounts: make(map[string]*account, len(l.accounts)), workspaces: maps.Clone(l.workspaces), enforced: l.enforced}
	for n, a := range l.accounts {
		x := *a
		c.accounts[n] = &x
	}
	return c
}

// Add counts a run of a workspace. Runs without a workspace are not counted.
func (l *Ledger) Add(name string, s job.Size) {
	if name == "" {
		return
	}
	a := l.account(name)
	a.used = a.used.Add(s)
	a.runs++
}

// Remove counts a run no longer.
func (l *Ledger) Remove(name string, s job.Size) {
	if name == "" {
		return
	}
	a := l.account(name)
	a.used = a.used.Sub(s)
	a.runs--
}

func (l *Ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{}
		l.accounts[name] = a
	}
	return a
}

// Used returns the sum of the sizes of the workspace's runs, and their number.
func (l *Ledger) Used(name string) (job.Size, int) {
	a := l.accounts[name]
	if a == nil {
		return job.Size{}, 0
	}
	return a.used, a.runs
}

// Allows reports whether the start of tasks with the total size s keeps the workspace within its cap. A resource that the
// tasks do not need does not matter. While the size of a run is unknown, a workspace with a cap starts nothing.
func (l *Ledger) Allows(name string, s job.Size) bool {
	w := l.Workspace(name)
	if w == nil || w.Cap == (job.Size{}) {
		return true
	}
	a := l.accounts[name]
	if a == nil {
		return within(s, s, w.Cap)
	}
	return a.unsized == 0 && within(a.used.Add(s), s, w.Cap)
}

// Keeps reports whether a run of the size s, which is counted already, leaves the workspace within its cap.
func (l *Ledger) Keeps(name string, s job.Size) bool {
	w := l.Workspace(name)
	if w == nil || w.Cap == (job.Size{}) {
		return true
	}
	a := l.account(name)
	return a.unsized == 0 && within(a.used, s, w.Cap)
}

// CanHold reports whether tasks with the total size s fit the workspace's cap when nothing else runs.
func (l *Ledger) CanHold(name string, s job.Size) bool {
	w := l.Workspace(name)
	return w == nil || within(s, s, w.Cap)
}

// within reports whether the total stays within the limit in each resource that s needs. A limit of 0 is none.
func within(total, s, limit job.Size) bool {
	fits := func(total, s, limit int64) bool { return limit == 0 || s == 0 || total <= limit }
	return fits(total.CPU, s.CPU, limit.CPU) && fits(total.MemoryMB, s.MemoryMB, limit.MemoryMB) &&
		fits(total.Accelerators, s.Accelerators, limit.Accelerators)
}

// Describe returns what tasks of the total size s wait for, with the use and the cap of the workspace.
func (l *Ledger) Describe(name string, s job.Size) string {
	c := job.Size{}
	if w := l.Workspace(name); w != nil {
		c = w.Cap
	}
	u, _ := l.Used(name)
	return fmt.Sprintf("the cap of workspace %s: %s used, %s needed, cap %s", name, Describe(u), Describe(s), Describe(c))
}

// Describe returns the size as a text.
func Describe(s job.Size) string {
	return fmt.Sprintf("%d mCPU/%d MB/%d accelerators", s.CPU, s.MemoryMB, s.Accelerators)
}
