package view

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	keptHeads = 64
	mostAhead = 1 << 20
)

// View holds the configuration in force, which only ever goes forward.
// Its lock comes before all others of the process.
type View struct {
	current atomic.Pointer[config.Snapshot]
	lock    sync.Mutex
	heads   []*schema.Head
	hooks   []func(*config.Snapshot)
	since   atomic.Int64
}

// New makes a view without a configuration.
func New() *View {
	return &View{}
}

// AheadError reports a revision too far above the one in force to be believed.
type AheadError struct {
	InForce uint64
	Offered uint64
}

// Error describes the failure in one line.
func (e *AheadError) Error() string {
	return fmt.Sprintf("revision %d is too far above revision %d", e.Offered, e.InForce)
}

// Current is the configuration in force, nil for none.
func (v *View) Current() *config.Snapshot {
	return v.current.Load()
}

// Since is when the configuration in force was adopted.
func (v *View) Since() time.Time {
	return time.UnixMilli(v.since.Load())
}

// Subscribe has the hook called with each configuration that is adopted.
func (v *View) Subscribe(f func(*config.Snapshot)) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.hooks = append(v.hooks, f)
}

// Adopt puts a newer configuration in force; sections in force already need not be given.
// It fails with a StaleError, MissingSectionError, CorruptError or AheadError.
func (v *View) Adopt(now time.Time, h *schema.Head, sections map[config.Digest][]byte) error {
	v.lock.Lock()
	defer v.lock.Unlock()
	c := v.Current()
	if err := c.CheckNewer(h); err != nil {
		return err
	}
	if c != nil && h.Revision > c.Revision()+mostAhead {
		return trace.Wrap(&AheadError{InForce: c.Revision(), Offered: h.Revision})
	}
	s, err := config.Compile(h, merged(c, sections))
	if err != nil {
		return err
	}
	if s.Revision() <= c.Revision() {
		panic(fmt.Sprintf("view: revision %d would replace %d", s.Revision(), c.Revision()))
	}
	v.current.Store(s)
	v.since.Store(now.UnixMilli())
	v.heads = append(v.heads, h)
	if len(v.heads) > keptHeads {
		v.heads = v.heads[1:]
	}
	for _, f := range v.hooks {
		f(s)
	}
	return nil
}

func merged(c *config.Snapshot, sections map[config.Digest][]byte) map[config.Digest][]byte {
	m := map[config.Digest][]byte{}
	if c != nil {
		for d, b := range c.EncodedSections {
			m[d] = b
		}
	}
	for d, b := range sections {
		m[d] = b
	}
	return m
}

// HeadSince is the head in force, as a change where the asker's revision is still known.
func (v *View) HeadSince(have uint64) *schema.HeadReply {
	v.lock.Lock()
	defer v.lock.Unlock()
	c := v.Current()
	if c == nil {
		return &schema.HeadReply{}
	}
	for _, h := range v.heads {
		if h.Revision == have {
			return config.Delta(h, c.Head)
		}
	}
	return &schema.HeadReply{Head: c.Head}
}
