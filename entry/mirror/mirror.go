package mirror

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/boottime"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// Store reads and watches keys; watches are long polls.
type Store interface {
	Range(ctx context.Context, prefix, after string) (store.Page, error)
	Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error)
}

// Sink receives the items and changes under a prefix, all from one goroutine.
type Sink interface {
	// Reset replaces all items by the given ones.
	Reset(items []store.Item)
	// Changed applies one change, which the last Reset may already have contained.
	Changed(e store.Event)
	// Failed reports the first of consecutive failed calls to the store.
	Failed(err error)
}

// Refuser is a Sink that may refuse what it receives.
type Refuser interface {
	// Refused reports whether the sink holds an older state than the one that it was given last.
	Refused() bool
}

// Mirror passes the items under one prefix and their changes to a sink.
type Mirror struct {
	store         Store
	prefix        string
	sink          Sink
	pollTimeout   time.Duration
	lastContactNs atomic.Int64
	// clock returns the time since boot.
	clock func() time.Duration
	// provedAt is the latest time since boot after which the store is known to have held the sink's state, nil if there is none.
	provedAt atomic.Pointer[time.Duration]
	// slowRead is the slow read that is under way, the zero value if there is none. Only Run uses it.
	slowRead reading
}

// DefaultPollTimeout is how long the store holds a watch without changes. It also bounds for how long a silent connection
// can hide changes.
const DefaultPollTimeout = time.Second

const (
	// retryInterval is the time between a failed call and the next one.
	retryInterval = 150 * time.Millisecond
	// responseGrace is how much later than its poll timeout a watch may answer; a slow store takes 250 ms.
	responseGrace = 700 * time.Millisecond
)

// Option configures a Mirror.
type Option func(*Mirror)

// WithPollTimeout sets how long the store holds a watch without changes.
func WithPollTimeout(d time.Duration) Option {
	return func(m *Mirror) { m.pollTimeout = d }
}

// WithClock sets the clock that measures the age of the proof. The default is boottime.Now.
func WithClock(f func() time.Duration) Option {
	return func(m *Mirror) { m.clock = f }
}

// New returns a mirror of a prefix that passes what it reads to the sink.
func New(s Store, prefix string, k Sink, opts ...Option) *Mirror {
	m := &Mirror{store: s, prefix: prefix, sink: k, pollTimeout: DefaultPollTimeout, clock: boottime.Now}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Run follows the prefix until the context ends. It retries failed calls without end.
func (m *Mirror) Run(ctx context.Context) {
	after := store.Revision(0)
	failed := false
	defer m.abandonSlowRead()
	for ctx.Err() == nil {
		var err error
		sent, compacted := m.clock(), false
		if after == 0 {
			after, sent, err = m.readAll(ctx)
		} else {
			after, err = m.poll(ctx, after)
			compacted = after == 0
		}
		if err == nil && !compacted {
			m.recordProof(sent)
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

// LastContact returns when the store last answered, or the zero time if it never did.
func (m *Mirror) LastContact() time.Time {
	n := m.lastContactNs.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// recordProof records that the sink holds what the store held at some moment after the time sent, unless it refused that.
func (m *Mirror) recordProof(sent time.Duration) {
	if r, ok := m.sink.(Refuser); !ok || !r.Refused() {
		m.Confirm(sent)
	}
}

// Confirm records that the sink holds what the store held at some moment after t, a time since boot.
func (m *Mirror) Confirm(t time.Duration) {
	for {
		old := m.provedAt.Load()
		if old != nil && *old >= t || m.provedAt.CompareAndSwap(old, &t) {
			return
		}
	}
}

// ProofAge returns how long ago the last call was sent whose result the sink holds: for a full read, its first page. The
// store's state was the sink's at some moment since. A later Confirm counts in the same way. Without either the age is
// unlimited.
//
// To act on a state and its proof, read the age before the state, so that the state is not older than the proof.
func (m *Mirror) ProofAge() time.Duration {
	t := m.provedAt.Load()
	if t == nil {
		return math.MaxInt64
	}
	return m.clock() - *t
}

// poll waits for changes and returns the revision to continue from. It returns 0, to have all items read again, if the
// store has compacted the changes after the given revision.
func (m *Mirror) poll(ctx context.Context, after store.Revision) (store.Revision, error) {
	c, stop := context.WithTimeout(ctx, m.pollTimeout+responseGrace)
	defer stop()
	l, at, err := m.store.Watch(c, m.prefix, after, m.pollTimeout)
	var compacted *store.CompactedError
	if errors.As(err, &compacted) {
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
