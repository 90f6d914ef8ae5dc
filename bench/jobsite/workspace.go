package jobsite

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
	"github.com/tarragonbank/tarragonbank/platform/simulator"
)

// The bounds in the settings of entries if workspaces are in use. They are those of the users' deployments.
const (
	RevokeTime      = 5 * time.Second
	ConfigApplyTime = 3 * time.Second
	// orderLifetime is longer than an order to start a task is valid.
	orderLifetime = 1500 * time.Millisecond
	// untimedApplyLimit replaces the time to apply a configuration in the checks on busy machines.
	untimedApplyLimit = time.Minute
	// keysPerWorkspace is the number of keys that a workspace has at the start.
	keysPerWorkspace = 2
)

// WorkspaceCap is the cap of each workspace at the start: room for a few jobs.
var WorkspaceCap = job.Size{CPU: 24000}

// definedWorkspaces returns n workspaces with keys drawn from the stream.
func definedWorkspaces(n int, random *rand.Rand) []workspace.Definition {
	l := []workspace.Definition{}
	for i := range n {
		d := workspace.Definition{Workspace: workspace.Workspace{Name: fmt.Sprintf("workspace-%d", i+1), Weight: float64(i + 1), Cap: WorkspaceCap}}
		for range keysPerWorkspace {
			d.Keys = append(d.Keys, simulator.NewKey(random))
		}
		l = append(l, d)
	}
	return l
}

// simulatedWorkspaces returns the simulator's options for the site's workspaces.
func (s *Site) simulatedWorkspaces() simulator.Workspaces {
	w := simulator.Workspaces{
		Definitions: cloneDefinitions(s.definitions), RevokeTime: RevokeTime, ConfigApplyTime: ConfigApplyTime, OrderLifetime: orderLifetime,
		ChecksCaps: s.Options.ChecksCaps,
	}
	if s.Options.Untimed {
		w.ApplyLimit = untimedApplyLimit
	}
	return w
}

func cloneDefinitions(l []workspace.Definition) []workspace.Definition {
	r := slices.Clone(l)
	for i := range r {
		r[i].Keys = slices.Clone(r[i].Keys)
	}
	return r
}

// Workspaces returns the names of the workspaces, none if they are not in use.
func (s *Site) Workspaces() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	l := []string{}
	for _, d := range s.definitions {
		l = append(l, d.Name)
	}
	return l
}

// Keys returns the keys of a workspace in the configuration published last, and the withdrawn ones.
func (s *Site) Keys(workspace string) (current, withdrawn []string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, d := range s.definitions {
		if d.Name == workspace {
			current = slices.Clone(d.Keys)
		}
	}
	return current, slices.Clone(s.withdrawn[workspace])
}

// AddKey gives a workspace a new key. It returns an error if the configuration cannot be published.
func (s *Site) AddKey(workspace string) error {
	return s.changeWorkspace(workspace, func(d *workspaceDefinition) { d.Keys = append(d.Keys, simulator.NewKey(s.keyRandom)) })
}

// WithdrawKeys withdraws the oldest keys of a workspace except for the newest ones, which may be none. It returns an error
// if the configuration cannot be published.
func (s *Site) WithdrawKeys(workspace string, keep int) error {
	return s.changeWorkspace(workspace, func(d *workspaceDefinition) {
		n := max(len(d.Keys)-keep, 0)
		s.withdrawn[workspace] = append(s.withdrawn[workspace], d.Keys[:n]...)
		d.Keys = slices.Clone(d.Keys[n:])
	})
}

// SetCap changes the cap of a workspace. It returns an error if the configuration cannot be published.
func (s *Site) SetCap(workspace string, c job.Size) error {
	return s.changeWorkspace(workspace, func(d *workspaceDefinition) { d.Cap = c })
}

// SetWeight changes the weight of a workspace. It returns an error if the configuration cannot be published.
func (s *Site) SetWeight(workspace string, weight float64) error {
	return s.changeWorkspace(workspace, func(d *workspaceDefinition) { d.Weight = weight })
}

type workspaceDefinition = workspace.Definition

// changeWorkspace changes the definition of a workspace and publishes the next version of the configuration.
func (s *Site) changeWorkspace(name string, change func(d *workspaceDefinition)) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	for i := range s.definitions {
		if s.definitions[i].Name == name {
			change(&s.definitions[i])
		}
	}
	s.Table = table(s.Table.Version + 1)
	return trace.Wrap(s.Platform.PublishWorkspaces(s.Table, cloneDefinitions(s.definitions)), "configuring")
}
