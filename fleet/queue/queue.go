package queue

import (
	"strings"
	"time"
)

// Queue takes jobs under a host and a path prefix and has a pool run their tasks.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Pool   string
	// Priority 0 comes first.
	Priority int
	// Attempts is how many failed runs of a task make its job fail.
	Attempts int
	// SlackFactor times a job's chain of work, plus Latency, is the time in which a job should be done.
	SlackFactor   float64
	TargetLatency time.Duration
	// UsesAdvice says that only the advice service knows which servers may run a step.
	UsesAdvice bool
}

// Pool is what the configuration says of a pool.
type Pool struct {
	Name string
	// Standby says that the pool's VMs are off.
	Standby bool
}

// Limits bounds callers' requests.
type Limits struct {
	BodyBytes int64
}

// Table is one version of the configuration.
type Table struct {
	Version uint64
	Queues  []Queue
	Pools   map[string]Pool
	Limits  Limits
	byName  map[string]*Queue
	byHost  map[string][]*Queue
}

// New makes a table that finds queues by name and by host.
func New(version uint64, l []Queue, pools map[string]Pool, limits Limits) *Table {
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
	return t
}

// Find is the queue with the longest prefix of the path under the host, or nil.
func (t *Table) Find(host, path string) *Queue {
	var best *Queue
	for _, q := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// ByName is the queue with the name, or nil.
func (t *Table) ByName(name string) *Queue {
	if t == nil {
		return nil
	}
	return t.byName[name]
}
