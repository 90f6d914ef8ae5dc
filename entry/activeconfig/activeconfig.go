package activeconfig

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
	// maxDeltaHeads is how many heads are kept for deltas; a peer that is further behind gets the whole head.
	maxDeltaHeads = 64
	// maxRevisionJump is the largest step from the active revision to the next; a head beyond it is refused as implausible.
	maxRevisionJump = 1 << 20
)

// Config holds the active configuration. Its revision only increases.
//
// Subscribers are called with its lock held, so that this lock is acquired before any other of the process.
type Config struct {
	current       atomic.Pointer[config.Snapshot]
	lock          sync.Mutex
	heads         []*schema.Head
	subscribers   []func(*config.Snapshot)
	activeSinceMs atomic.Int64
}

// New returns a Config without an active configuration.
func New() *Config {
	return &Config{}
}

// RevisionJumpError reports a revision implausibly far above the active one.
type RevisionJumpError struct {
	ActiveRevision  uint64
	OfferedRevision uint64
}

// Error returns both revisions in one line.
func (e *RevisionJumpError) Error() string {
	return fmt.Sprintf("revision %d is too far above revision %d", e.OfferedRevision, e.ActiveRevision)
}

// Current returns the active configuration, or nil if there is none yet.
func (c *Config) Current() *config.Snapshot {
	return c.current.Load()
}

// ActiveSince returns when the active configuration was activated, to the millisecond.
func (c *Config) ActiveSince() time.Time {
	return time.UnixMilli(c.activeSinceMs.Load())
}

// Subscribe registers a function that is called, in order, with each configuration activated from now on.
func (c *Config) Subscribe(f func(*config.Snapshot)) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.subscribers = append(c.subscribers, f)
}

// Activate compiles a newer configuration and makes it the active one. Sections that the active configuration has
// may be omitted. It fails with a StaleError, MissingSectionError, CorruptError or RevisionJumpError.
func (c *Config) Activate(now time.Time, h *schema.Head, sections map[config.Digest][]byte) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	p := c.Current()
	if err := p.CheckNewer(h); err != nil {
		return err
	}
	if p != nil && h.Revision > p.Revision()+maxRevisionJump {
		return trace.Wrap(&RevisionJumpError{ActiveRevision: p.Revision(), OfferedRevision: h.Revision})
	}
	s, err := config.Compile(h, mergeSections(p, sections))
	if err != nil {
		return err
	}
	if s.Revision() <= p.Revision() {
		panic(fmt.Sprintf("activeconfig: revision %d would replace %d", s.Revision(), p.Revision()))
	}
	c.current.Store(s)
	c.activeSinceMs.Store(now.UnixMilli())
	c.heads = append(c.heads, h)
	if len(c.heads) > maxDeltaHeads {
		c.heads = c.heads[1:]
	}
	for _, f := range c.subscribers {
		f(s)
	}
	return nil
}

// mergeSections adds the given sections to those of the previous configuration.
func mergeSections(p *config.Snapshot, sections map[config.Digest][]byte) map[config.Digest][]byte {
	m := map[config.Digest][]byte{}
	if p != nil {
		for d, b := range p.EncodedSections {
			m[d] = b
		}
	}
	for d, b := range sections {
		m[d] = b
	}
	return m
}

// HeadSince returns the active head: as a delta if the head of the peer's revision is still kept, else as a whole.
func (c *Config) HeadSince(have uint64) *schema.HeadReply {
	c.lock.Lock()
	defer c.lock.Unlock()
	s := c.Current()
	if s == nil {
		return &schema.HeadReply{}
	}
	for _, h := range c.heads {
		if h.Revision == have {
			return config.Delta(h, s.Head)
		}
	}
	return &schema.HeadReply{Head: s.Head}
}
