package mirror

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// Store is what a mirror needs of the store.
type Store interface {
	Range(ctx context.Context, prefix, after string) (store.Page, error)
	Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error)
}

// Sink takes what a mirror sees, from one goroutine.
type Sink interface {
	// Reset takes all items anew; what is not among them is gone.
	Reset(items []store.Item)
	// Changed takes one change.
	Changed(e store.Event)
	// Failed says that the store was not reached; the failure is the first in a row.
	Failed(err error)
}

// Mirror follows one prefix.
type Mirror struct {
	store         Store
	prefix        string
	sink          Sink
	pollTimeout   time.Duration
	lastContactNs atomic.Int64
}

// DefaultPollTimeout bounds one waiting watch, and so the time for which a silent connection hides changes.
const DefaultPollTimeout = time.Second

const (
	// retryInterval is between calls that failed.
	retryInterval = 150 * time.Millisecond
	// responseGrace is how long after its wait a watch may answer; a slow store takes a quarter of a second.
	responseGrace = 700 * time.Millisecond
)

// Option changes a Mirror at its making.
type Option func(*Mirror)

// WithPollTimeout sets how long a watch waits.
func WithPollTimeout(d time.Duration) Option {
	return func(m *Mirror) { m.pollTimeout = d }
}

// New makes a mirror of a prefix.
func New(s Store, prefix string, k Sink, opts ...Option) *Mirror {
	m := &Mirror{store: s, prefix: prefix, sink: k, pollTimeout: DefaultPollTimeout}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Run follows the prefix until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	after := store.Revision(0)
	failed := false
	for ctx.Err() == nil {
		var err error
		if after == 0 {
			after, err = m.readAll(ctx)
		} else {
			after, err = m.poll(ctx, after)
		}
		if err == nil {
			m.lastContactNs.Store(time.Now().UnixNano())
			failed = false
			continue
		}
		if ctx.Err() == nil && !failed {
			m.sink.Failed(err)
		}
		failed = true
		wait.For(ctx, retryInterval)
	}
}

// LastContact is when the store last answered, the zero time if it never did.
func (m *Mirror) LastContact() time.Time {
	n := m.lastContactNs.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// readAll takes all pages; changes after the first page are seen again by the watch.
func (m *Mirror) readAll(ctx context.Context) (store.Revision, error) {
	var l []store.Item
	first := store.Revision(0)
	after := ""
	for {
		p, err := m.store.Range(ctx, m.prefix, after)
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = p.Revision
		}
		l = append(l, p.Items...)
		if !p.HasMore || len(p.Items) == 0 {
			break
		}
		after = p.Items[len(p.Items)-1].Key
	}
	m.sink.Reset(l)
	return first, nil
}

// poll waits for changes; after a gap in the history it asks for reading anew.
func (m *Mirror) poll(ctx context.Context, after store.Revision) (store.Revision, error) {
	c, stop := context.WithTimeout(ctx, m.pollTimeout+responseGrace)
	defer stop()
	l, at, err := m.store.Watch(c, m.prefix, after, m.pollTimeout)
	var gap *store.CompactedError
	if errors.As(err, &gap) {
		return 0, nil
	}
	if err != nil {
		return after, err
	}
	for _, e := range l {
		m.sink.Changed(e)
	}
	return max(after, at), nil
}
