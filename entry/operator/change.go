package operator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	// maxKeptHeads is the number of heads in the history, to which a rollback is possible.
	maxKeptHeads       = 20
	maxPublishAttempts = 3
	maxResolveAttempts = 5
	retryInterval      = 200 * time.Millisecond
)

// Store is the part of the platform's key-value store that publishing uses. Swap and Delete take effect only if the key
// is at the expected revision.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Swap(ctx context.Context, key string, expect store.Revision, v []byte) (store.Revision, error)
	Delete(ctx context.Context, key string, expect store.Revision) error
	List(ctx context.Context, prefix string) ([]store.Item, error)
}

// Change is a change of the configuration by an operator or the controller.
type Change struct {
	// Base is the revision that the change was made from.
	Base   uint64
	Author string
	Note   string
	// Mark is the idempotency key of the change: a repeated change with the same mark is applied once.
	Mark     string
	Sections config.Sections
	// Refs are used if Sections is nil, to roll back to the sections of an older revision.
	Refs []*schema.SectionRef
	// FromController marks a change by the controller: it replaces the given sections, keeps all others, and requires Base
	// to be the latest revision.
	FromController bool
}

// StaleBaseError reports a change whose base has been superseded.
type StaleBaseError struct {
	Base   uint64
	Active uint64
}

// Error describes the failure in one line.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but revision %d is in force", e.Base, e.Active)
}

// StaleStoreError reports that the store returned a revision older than the active one.
type StaleStoreError struct {
	Store  uint64
	Active uint64
}

// Error describes the failure in one line.
func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("the store has revision %d, below revision %d, which is in force", e.Store, e.Active)
}

// NoConfigurationError reports an action at an entry that has no configuration yet.
type NoConfigurationError struct{}

// Error describes the failure in one line.
func (*NoConfigurationError) Error() string {
	return "this entry has no configuration yet"
}

// UnknownOutcomeError reports a change that may or may not have been accepted.
type UnknownOutcomeError struct {
	Mark   string
	Detail string
}

// Error describes the failure in one line.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted: %s", e.Mark, e.Detail)
}

// Publisher writes changes of the configuration to the store and activates them in this entry.
type Publisher struct {
	store  Store
	active *activeconfig.Config
}

// NewPublisher returns a Publisher for the store and the active configuration.
func NewPublisher(s Store, c *activeconfig.Config) *Publisher {
	return &Publisher{store: s, active: c}
}

// NewMark returns a random mark for a change.
func NewMark() string {
	return strconv.FormatUint(rand.Uint64(), 36)
}

// Publish commits the change to the store, activates it and returns its head. If a change with the same mark was accepted
// before, Publish returns that change's head. It fails with a StaleBaseError, a StaleStoreError, an UnknownOutcomeError or
// an error of the store.
func (p *Publisher) Publish(ctx context.Context, c Change) (*schema.Head, error) {
	for range maxPublishAttempts {
		h, err := p.tryPublish(ctx, c)
		var f *notAppliedError
		if errors.As(err, &f) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return h, p.activate(h, c)
	}
	return nil, trace.Wrap(&UnknownOutcomeError{Mark: c.Mark, Detail: "the store did not answer"})
}

// activate activates the head of an accepted change in this entry, unless a newer one is active already or a section of another
// entry's change has not arrived here. Then the head follows with that section.
func (p *Publisher) activate(h *schema.Head, c Change) error {
	err := p.active.Activate(time.Now(), h, c.Sections.ByDigest())
	var stale *config.StaleError
	var missing *config.MissingSectionError
	if errors.As(err, &stale) || errors.As(err, &missing) {
		return nil
	}
	return err
}

// tryPublish makes one attempt to commit the change. It fails with a notAppliedError if another attempt is safe.
func (p *Publisher) tryPublish(ctx context.Context, c Change) (*schema.Head, error) {
	i, old, err := p.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if old.Mark == c.Mark && c.Mark != "" {
		return old, nil
	}
	if f := p.active.Current().Revision(); old.Revision < f {
		return nil, trace.Wrap(&StaleStoreError{Store: old.Revision, Active: f})
	}
	if !isBaseCurrent(c, old) {
		return p.findAccepted(ctx, old, c)
	}
	h, err := p.prepareHead(ctx, c, i, old)
	if err != nil {
		return nil, err
	}
	b, err := p.writeHead(ctx, h)
	if err != nil {
		return nil, err
	}
	if _, err = p.store.Swap(ctx, config.HeadPointerKey, i.Revision, b); err != nil {
		return p.resolveOutcome(ctx, c, err)
	}
	return h, nil
}

// writeHead writes the head under its digest and returns the encoded pointer to it.
func (p *Publisher) writeHead(ctx context.Context, h *schema.Head) ([]byte, error) {
	b, err := proto.Marshal(h)
	if err != nil {
		return nil, trace.Wrap(err, "encoding the head")
	}
	d := config.ComputeDigest(b)
	if err := p.writeContent(ctx, d, b); err != nil {
		return nil, err
	}
	x, err := proto.Marshal(&schema.HeadPointer{Revision: h.Revision, Digest: d[:], Mark: h.Mark})
	return x, trace.Wrap(err, "encoding the head")
}

// isBaseCurrent reports whether the change is based on the latest revision. For an operator's change, later revisions by the
// controller don't count, since the two change different sections.
func isBaseCurrent(c Change, now *schema.Head) bool {
	if c.FromController {
		return now.Revision == c.Base
	}
	return c.Base >= now.OperatorRevision && c.Base <= now.Revision
}

// findAccepted returns the kept head with the change's mark. If there is none, it fails with a StaleBaseError.
func (p *Publisher) findAccepted(ctx context.Context, now *schema.Head, c Change) (*schema.Head, error) {
	l, err := p.History(ctx, now)
	if err != nil {
		return nil, err
	}
	for _, h := range l {
		if h.Mark == c.Mark && c.Mark != "" {
			return h, nil
		}
	}
	return nil, trace.Wrap(&StaleBaseError{Base: c.Base, Active: now.Revision})
}

// readHead reads the head pointer and the head it references. If there is no pointer yet, the head has revision 0.
func (p *Publisher) readHead(ctx context.Context) (store.Item, *schema.Head, error) {
	i, err := p.store.Get(ctx, config.HeadPointerKey)
	var absent *store.NotFoundError
	if errors.As(err, &absent) {
		return store.Item{Key: config.HeadPointerKey}, &schema.Head{}, nil
	}
	if err != nil {
		return store.Item{}, nil, err
	}
	x, err := config.DecodeHeadPointer(i.Value)
	if err != nil {
		return store.Item{}, nil, err
	}
	h, err := p.readHeadByDigest(ctx, config.DigestFromBytes(x.Digest))
	return i, h, err
}

// readHeadByDigest reads the head with the given digest.
func (p *Publisher) readHeadByDigest(ctx context.Context, d config.Digest) (*schema.Head, error) {
	i, err := p.store.Get(ctx, config.SectionKey(d))
	if err != nil {
		return nil, err
	}
	return config.DecodeHead(i.Value)
}

// prepareHead writes the sections of the change that the old head lacks and returns the new head. It can safely be repeated.
// The previous head of the new one is the latest head by an operator, so that the history leaves out the controller's
// changes.
func (p *Publisher) prepareHead(ctx context.Context, c Change, i store.Item, old *schema.Head) (*schema.Head, error) {
	h := &schema.Head{
		Revision: old.Revision + 1, Sections: c.sectionRefs(old), Mark: c.Mark,
		AcceptedUnixMs: time.Now().UnixMilli(), Author: c.Author, Note: c.Note,
		OperatorRevision: old.Revision + 1,
	}
	if c.FromController {
		h.OperatorRevision = old.OperatorRevision
	}
	have := map[config.Digest]bool{}
	for _, r := range old.Sections {
		have[config.DigestFromBytes(r.Digest)] = true
	}
	for d, b := range c.Sections.ByDigest() {
		if have[d] {
			continue
		}
		if err := p.writeContent(ctx, d, b); err != nil {
			return nil, err
		}
	}
	h.Previous = old.Previous
	if i.Revision > 0 && old.OperatorRevision == old.Revision {
		x, err := config.DecodeHeadPointer(i.Value)
		if err != nil {
			return nil, err
		}
		h.Previous = x.Digest
	}
	return h, nil
}

// sectionRefs returns the sections of the new head: those of the change and the old ones that it doesn't replace. An
// operator's change keeps the state sections of the old head.
func (c Change) sectionRefs(old *schema.Head) []*schema.SectionRef {
	l := c.Refs
	if c.Sections != nil {
		l = c.Sections.Refs()
	}
	kept := []*schema.SectionRef{}
	for _, r := range l {
		if c.FromController || !config.IsStateSection(r.Name) {
			kept = append(kept, r)
		}
	}
	for _, r := range old.Sections {
		_, replaced := c.Sections[r.Name]
		if config.IsStateSection(r.Name) && !replaced || c.FromController && !replaced {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b *schema.SectionRef) int { return strings.Compare(a.Name, b.Name) })
	return slices.CompactFunc(kept, func(a, b *schema.SectionRef) bool { return a.Name == b.Name })
}

// writeContent writes content under its digest. It rewrites content that exists already, so that its store revision is that
// of this change and Collect doesn't delete it.
func (p *Publisher) writeContent(ctx context.Context, d config.Digest, b []byte) error {
	k := config.SectionKey(d)
	expect := store.Revision(0)
	for {
		_, err := p.store.Swap(ctx, k, expect, b)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		i, err := p.store.Get(ctx, k)
		var absent *store.NotFoundError
		if err != nil && !errors.As(err, &absent) {
			return err
		}
		expect = i.Revision
	}
}

// notAppliedError reports that a write did not take effect and can no longer do so.
type notAppliedError struct{}

func (*notAppliedError) Error() string {
	return "the change did not take effect"
}

// resolveOutcome reads the head back to determine whether a failed write of the head pointer took effect. If it has not,
// resolveOutcome rewrites the pointer unchanged, so that a delayed write fails on the pointer's new store revision.
func (p *Publisher) resolveOutcome(ctx context.Context, c Change, cause error) (*schema.Head, error) {
	for range maxResolveAttempts {
		i, now, err := p.readHead(ctx)
		if err == nil && now.Revision != c.Base {
			return p.findAccepted(ctx, now, c)
		}
		if err == nil && i.Revision > 0 {
			if _, err = p.store.Swap(ctx, config.HeadPointerKey, i.Revision, i.Value); err == nil {
				return nil, &notAppliedError{}
			}
		}
		select {
		case <-ctx.Done():
			return nil, trace.Wrap(&UnknownOutcomeError{Mark: c.Mark, Detail: cause.Error()})
		case <-time.After(retryInterval):
		}
	}
	return nil, trace.Wrap(&UnknownOutcomeError{Mark: c.Mark, Detail: cause.Error()})
}

// History returns the head and the kept operators' heads before it, newest first, at most maxKeptHeads in all.
func (p *Publisher) History(ctx context.Context, h *schema.Head) ([]*schema.Head, error) {
	l := []*schema.Head{h}
	for len(h.Previous) > 0 && len(l) < maxKeptHeads {
		x, err := p.readHeadByDigest(ctx, config.DigestFromBytes(h.Previous))
		var absent *store.NotFoundError
		if errors.As(err, &absent) {
			return l, nil
		}
		if err != nil {
			return nil, err
		}
		h = x
		l = append(l, h)
	}
	return l, nil
}

// KeptHeads returns the History of the store's current head, or nil if the store has none.
func (p *Publisher) KeptHeads(ctx context.Context) ([]*schema.Head, error) {
	_, h, err := p.readHead(ctx)
	if err != nil || h.Revision == 0 {
		return nil, err
	}
	return p.History(ctx, h)
}

// Collect deletes the sections that no kept head references and that are older than all kept heads, and returns how many it
// deleted. It spares sections of a change in progress: that change is based on a kept head, so its sections are newer.
func (p *Publisher) Collect(ctx context.Context) (int, error) {
	l, err := p.KeptHeads(ctx)
	if err != nil || len(l) < maxKeptHeads {
		return 0, err
	}
	used := map[string]bool{}
	for _, h := range l {
		used[config.SectionKey(config.DigestFromBytes(h.Previous))] = true
		for _, r := range h.Sections {
			used[config.SectionKey(config.DigestFromBytes(r.Digest))] = true
		}
	}
	items, err := p.store.List(ctx, config.SectionKeyPrefix)
	if err != nil {
		return 0, err
	}
	oldest := revisionOf(items, config.SectionKey(config.DigestFromBytes(l[len(l)-2].Previous)))
	n := 0
	for _, i := range items {
		if used[i.Key] || i.Revision >= oldest {
			continue
		}
		if err := p.store.Delete(ctx, i.Key, i.Revision); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// revisionOf returns the store revision of a key, or 0 if it is not among the items.
func revisionOf(items []store.Item, key string) store.Revision {
	for _, i := range items {
		if i.Key == key {
			return i.Revision
		}
	}
	return 0
}
