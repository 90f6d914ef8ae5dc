package queue

import (
	"strings"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

// Queue accepts jobs under a host and a path prefix; their tasks run in a pool.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Pool   string
	// Priority 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// SlackFactor times the expected duration of a job's critical path, plus LatencyAllowance, is the job's target
	// duration.
	SlackFactor      float64
	LatencyAllowance time.Duration
	// Advice is nil if a step may run on any server, and the advice service does not decide about it.
	Advice *job.Advice
	// Public reports whether calls to the queue need no key of a workspace.
	Public bool
}

// Terms returns the terms of the jobs that the queue accepts.
func (q *Queue) Terms() job.Terms {
	return job.Terms{MaxAttempts: q.MaxAttempts, Advice: q.Advice}
}

// Pool is the configuration of a pool.
type Pool struct {
	Name string
	// Standby reports whether the pool's VMs are switched off.
	Standby bool
}

// Limits bounds callers' requests.
type Limits struct {
	// BodyBytes is the maximum size of a request body, HeaderBytes that of a header with the request line. 0 stands for a default.
	BodyBytes   int64
	HeaderBytes int64
}

// Table is one version of the configuration of queues and pools.
type Table struct {
	Version uint64
	Queues  []Queue
	Pools   map[string]Pool
	Limits  Limits
	// Workspaces holds the workspaces that share the fleet. It is nil if workspaces are not in use, and calls need no key
	// then.
	Workspaces *workspace.Directory
	byName     map[string]*Queue
	byHost     map[string][]*Queue
}

// Option configures a new Table.
type Option func(t *Table)

// WithWorkspaces sets the workspaces that share the fleet.
func WithWorkspaces(d *workspace.Directory) Option {
	return func(t *Table) { t.Workspaces = d }
}

// New creates a table that indexes queues by name and by host.
func New(version uint64, l []Queue, pools map[string]Pool, limits Limits, opts ...Option) *Table {
	t := &Table{
		Version: version, Queues: l, Pools: pools, Limits: limits,
		byName: map[string]*Queue{}, byHost: map[string][]*Queue{},
	}
	for i := range t.Queues {
		q := &t.Queues[i]
		t.byName[q.Name] = q
		h := strings.ToLower(q.Host)
		t.byHost[h] = append(t.byHost[h], q)
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Find returns the queue of the host with the longest prefix that matches the path, or nil. Case is ignored in hosts.
func (t *Table) Find(host, path string) *Queue {
	var best *Queue
	for _, q := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// ByName returns the queue with the name, or nil. A nil table has no queues.
func (t *Table) ByName(name string) *Queue {
	if t == nil {
		return nil
	}
	return t.byName[name]
}
