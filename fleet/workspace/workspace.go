package workspace

import (
	"crypto/sha256"
	"math"

	"github.com/tarragonbank/tarragonbank/fleet/job"
)

// Workspace is a group of callers that share a weight and a cap.
type Workspace struct {
	Name string
	// Weight is the share of the workspace when capacity is short, relative to the other weights. It is also the rate of
	// jobs per second beyond which the workspace has no claim to capacity.
	Weight float64
	// Cap limits what the workspace may have running on all servers. 0 means that a resource is not limited.
	Cap job.Size
}

// Definition is a workspace as it is configured, with the keys of its callers.
type Definition struct {
	Workspace
	Keys []string
}

// Directory holds the workspaces of a configuration. It keeps digests of the keys, not the keys.
type Directory struct {
	workspaces []*Workspace
	byName     map[string]*Workspace
	byDigest   map[digest]*Workspace
}

// digest is the SHA-256 digest of a key.
type digest [sha256.Size]byte

// New returns a directory of the workspaces. It fails with an InvalidError if a definition is invalid or two of them share a
// name or a key.
func New(l []Definition) (*Directory, error) {
	d := &Directory{byName: map[string]*Workspace{}, byDigest: map[digest]*Workspace{}}
	for i := range l {
		if err := d.add(l[i]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(x Definition) error {
	w := x.Workspace
	switch {
	case w.Name == "":
		return &InvalidError{Reason: "a workspace has no name"}
	case d.byName[w.Name] != nil:
		return &InvalidError{Workspace: w.Name, Reason: "the name is used twice"}
	case math.IsNaN(w.Weight) || math.IsInf(w.Weight, 0) || w.Weight < 0:
		return &InvalidError{Workspace: w.Name, Reason: "the weight is negative or not finite"}
	case w.Cap.CPU < 0 || w.Cap.MemoryMB < 0 || w.Cap.Accelerators < 0:
		return &InvalidError{Workspace: w.Name, Reason: "the cap is negative"}
	}
	for _, k := range x.Keys {
		h := digest(sha256.Sum256([]byte(k)))
		if k == "" {
			return &InvalidError{Workspace: w.Name, Reason: "a key is empty"}
		}
		if o := d.byDigest[h]; o != nil && o != &w {
			return &InvalidError{Workspace: w.Name, Reason: "a key is also a key of " + o.Name}
		}
		d.byDigest[h] = &w
	}
	d.byName[w.Name] = &w
	d.workspaces = append(d.workspaces, &w)
	return nil
}

// Authenticate returns the workspace that a key belongs to, or nil if the key is unknown.
func (d *Directory) Authenticate(key string) *Workspace {
	return d.byDigest[sha256.Sum256([]byte(key))]
}

// ByName returns the workspace with the name, or nil. A nil directory has none.
func (d *Directory) ByName(name string) *Workspace {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// All returns the workspaces in the order of the configuration. The caller must not change them.
func (d *Directory) All() []*Workspace {
	if d == nil {
		return nil
	}
	return d.workspaces
}

// InvalidError reports a definition that cannot be used. It names no key.
type InvalidError struct {
	// Workspace is empty if the workspace has no name.
	Workspace string
	Reason    string
}

// Error names the workspace and what is wrong.
func (e *InvalidError) Error() string {
	if e.Workspace == "" {
		return "invalid workspace: " + e.Reason
	}
	return "invalid workspace " + e.Workspace + ": " + e.Reason
}
