package platform

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	// watchTimeout is how long the platform holds a watch open without a change.
	watchTimeout = 5 * time.Second
	// inactiveInterval is how often an inactive watcher checks whether it has become active.
	inactiveInterval = 250 * time.Millisecond
	errorBackoff     = 500 * time.Millisecond
	// freshnessLimit exceeds watchTimeout, so that a watch without changes doesn't count as lost contact.
	freshnessLimit = 6 * time.Second
	pollInterval   = 500 * time.Millisecond
	// peerTimeout is how long the watcher waits for peers to deliver a new configuration before it reads it from the store.
	peerTimeout       = 250 * time.Millisecond
	peerCheckInterval = 10 * time.Millisecond
)

// Logger records decisions without blocking.
type Logger interface {
	Add(r decision.Record)
}

// Watcher follows the configuration and the list of VMs at the platform. It activates new configurations and reports
// changes of the VMs that are leaving.
type Watcher struct {
	client           *Client
	config           *activeconfig.Config
	log              Logger
	isActive         func() bool
	onLeavingChanged func()
	listInterval     time.Duration
	polling          bool

	lock        sync.Mutex
	lastContact time.Time
	listedAt    time.Time
	machines    []Machine
	leaving     []string
}

// Machines returns the platform's list of VMs as last read, and when that was.
func (w *Watcher) Machines() ([]Machine, time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.machines, w.listedAt
}

// WatcherOption configures a Watcher.
type WatcherOption func(*Watcher)

// WithPolling makes the watcher read the head pointer at a fixed interval instead of watching it.
func WithPolling() WatcherOption {
	return func(w *Watcher) { w.polling = true }
}

// NewWatcher returns a Watcher that calls the platform only while isActive returns true, reads the list of VMs every
// listInterval, and calls onLeavingChanged after the set of leaving VMs has changed.
func NewWatcher(c *Client, a *activeconfig.Config, l Logger, listInterval time.Duration, isActive func() bool, onLeavingChanged func(), opts ...WatcherOption) *Watcher {
	w := &Watcher{client: c, config: a, log: l, isActive: isActive, onLeavingChanged: onLeavingChanged, listInterval: listInterval}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Run watches until the context is cancelled.
func (w *Watcher) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.runLoop(ctx, w.watchHead)
	}()
	w.runLoop(ctx, w.readMachines)
	<-done
}

// Fresh reports whether the platform has answered within the last 6 s.
func (w *Watcher) Fresh() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return !w.lastContact.IsZero() && time.Since(w.lastContact) < freshnessLimit
}

// LastContact returns when the platform last answered, or the zero time if it never did.
func (w *Watcher) LastContact() time.Time {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.lastContact
}

// Leaving returns the names of the VMs that are leaving according to the platform's list, sorted.
func (w *Watcher) Leaving() []string {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.leaving
}

// runLoop calls step while the watcher is active, and pauses between calls for the time that step returns.
func (w *Watcher) runLoop(ctx context.Context, step func(context.Context) (time.Duration, error)) {
	for ctx.Err() == nil {
		pause := inactiveInterval
		if w.isActive() {
			d, err := step(ctx)
			pause = d
			if err != nil {
				pause = errorBackoff
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (w *Watcher) recordContact() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.lastContact = time.Now()
}

// watchHead reads the head pointer and then watches it, activating each new head.
func (w *Watcher) watchHead(ctx context.Context) (time.Duration, error) {
	i, err := w.client.Get(ctx, config.HeadPointerKey)
	var absent *store.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		return 0, err
	}
	w.recordContact()
	if err := w.activate(ctx, i); err != nil {
		return 0, err
	}
	if w.polling {
		return pollInterval, nil
	}
	after := i.Revision
	for w.isActive() && ctx.Err() == nil {
		l, _, err := w.client.Watch(ctx, config.HeadPointerKey, after, watchTimeout)
		if err != nil {
			return 0, err
		}
		w.recordContact()
		for _, x := range l {
			after = max(after, x.Revision)
			if err := w.activate(ctx, x); err != nil {
				return 0, err
			}
		}
	}
	return 0, nil
}

// activate reads and activates the head that the pointer references, unless peers deliver it first.
func (w *Watcher) activate(ctx context.Context, i store.Item) error {
	if len(i.Value) == 0 {
		return nil
	}
	x, err := config.DecodeHeadPointer(i.Value)
	if err != nil {
		return err
	}
	if !w.waitForPeers(ctx, x.Revision) {
		return nil
	}
	y, err := w.client.Get(ctx, config.SectionKey(config.DigestFromBytes(x.Digest)))
	if err != nil {
		return err
	}
	h, err := config.DecodeHead(y.Value)
	if err != nil {
		return err
	}
	s, err := w.client.Sections(ctx, w.config.Current().Missing(h, nil))
	if err != nil {
		return err
	}
	err = w.config.Activate(time.Now(), h, s)
	var stale *config.StaleError
	if errors.As(err, &stale) {
		return nil
	}
	if err == nil {
		w.log.Add(decision.Record{Time: time.Now(), Kind: decision.Config, Reason: "read from the platform's store", Revision: h.Revision})
	}
	return err
}

// waitForPeers waits up to peerTimeout for peers to deliver the revision, and reports whether it must still be read from the
// store. It doesn't wait if there is no active configuration.
func (w *Watcher) waitForPeers(ctx context.Context, revision uint64) bool {
	deadline := time.Now().Add(peerTimeout)
	for w.config.Current().Revision() < revision {
		if w.config.Current() == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return true
		}
		time.Sleep(peerCheckInterval)
	}
	return false
}

// Sections reads the sections with the given digests from the store. It fails as Get does.
func (c *Client) Sections(ctx context.Context, l []config.Digest) (map[config.Digest][]byte, error) {
	r := map[config.Digest][]byte{}
	for _, d := range l {
		i, err := c.Get(ctx, config.SectionKey(d))
		if err != nil {
			return nil, err
		}
		r[d] = i.Value
	}
	return r, nil
}

// readMachines reads the list of VMs, which lags behind their actual state.
func (w *Watcher) readMachines(ctx context.Context) (time.Duration, error) {
	m, err := w.client.Machines(ctx)
	if err != nil {
		return 0, err
	}
	l := []string{}
	for _, x := range m {
		if x.Leaving {
			l = append(l, x.Name)
		}
	}
	slices.Sort(l)
	w.lock.Lock()
	w.lastContact = time.Now()
	w.listedAt = w.lastContact
	w.machines = m
	changed := !slices.Equal(l, w.leaving)
	w.leaving = l
	w.lock.Unlock()
	if changed {
		w.onLeavingChanged()
	}
	return w.listInterval, nil
}
