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
	maxKeptHeads    = 64
	maxRevisionJump = 1 << 20
)

// Config holds the configuration in force, which only ever goes forward.
// Its lock comes before all others of the process.
type Config struct {
	current       atomic.Pointer[config.Snapshot]
	lock          sync.Mutex
	heads         []*schema.Head
	subscribers   []func(*config.Snapshot)
	activeSinceMs atomic.Int64
}

// New makes a view without a configuration.
func New() *Config {
	return &Config{}
}

// RevisionJumpError reports a revision too far above the one in force to be believed.
type RevisionJumpError struct {
	Active  uint64
	Offered uint64
}

// Error describes the failure in one line.
func (e *RevisionJumpError) Error() string {
	return fmt.Sprintf("revision %d is too far above revision %d", e.Offered, e.Active)
}

// Current is the configuration in force, nil for none.
func (v *Config) Current() *config.Snapshot {
	return v.current.Load()
}

// ActiveSince is when the configuration in force was adopted.
func (v *Config) ActiveSince() time.Time {
	return time.UnixMilli(v.activeSinceMs.Load())
}

// Subscribe has the hook called with each configuration that is adopted.
func (v *Config) Subscribe(f func(*config.Snapshot)) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.subscribers = append(v.subscribers, f)
}

// Activate puts a newer configuration in force; sections in force already need not be given.
// It fails with a StaleError, MissingSectionError, CorruptError or AheadError.
func (v *Config) Activate(now time.Time, h *schema.Head, sections map[config.Digest][]byte) error {
	v.lock.Lock()
	defer v.lock.Unlock()
	c := v.Current()
	if err := c.CheckNewer(h); err != nil {
		return err
	}
	if c != nil && h.Revision > c.Revision()+maxRevisionJump {
		return trace.Wrap(&RevisionJumpError{Active: c.Revision(), Offered: h.Revision})
	}
	s, err := config.Compile(h, mergeSections(c, sections))
	if err != nil {
		return err
	}
	if s.Revision() <= c.Revision() {
		panic(fmt.Sprintf("view: revision %d would replace %d", s.Revision(), c.Revision()))
	}
	v.current.Store(s)
	v.activeSinceMs.Store(now.UnixMilli())
	v.heads = append(v.heads, h)
	if len(v.heads) > maxKeptHeads {
		v.heads = v.heads[1:]
	}
	for _, f := range v.subscribers {
		f(s)
	}
	return nil
}

func mergeSections(c *config.Snapshot, sections map[config.Digest][]byte) map[config.Digest][]byte {
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
func (v *Config) HeadSince(have uint64) *schema.HeadReply {
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
