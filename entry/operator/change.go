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
	maxKeptHeads       = 20
	maxPublishAttempts = 3
	maxResolveAttempts = 5
	retryInterval      = 200 * time.Millisecond
)

// Store is the part of the platform's store that changes need.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Swap(ctx context.Context, key string, expect store.Revision, v []byte) (store.Revision, error)
	Delete(ctx context.Context, key string, expect store.Revision) error
	List(ctx context.Context, prefix string) ([]store.Item, error)
}

// Change is what an operator asks for.
type Change struct {
	// Base is the revision that the operator edited.
	Base   uint64
	Author string
	Note   string
	// Mark identifies the change, so that asking twice changes once.
	Mark     string
	Sections config.Sections
	// Refs are used where Sections is nil, to return to an older configuration.
	Refs []*schema.SectionRef
	// FromController says that the change is the controller's: it replaces some of its sections and no others.
	FromController bool
}

// StaleBaseError reports a change of a configuration that is no longer in force.
type StaleBaseError struct {
	Base   uint64
	Active uint64
}

// Error describes the failure in one line.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but revision %d is in force", e.Base, e.Active)
}

// StaleStoreError reports a store that answers from before the configuration in force.
type StaleStoreError struct {
	Store  uint64
	Active uint64
}

// Error describes the failure in one line.
func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("the store has revision %d, below revision %d, which is in force", e.Store, e.Active)
}

// UnknownOutcomeError reports a change of which it is not known whether it was accepted.
type UnknownOutcomeError struct {
	Mark   string
	Detail string
}

// Error describes the failure in one line.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted: %s", e.Mark, e.Detail)
}

// Publisher has changes accepted by the store and adopted by the view.
type Publisher struct {
	store  Store
	active *activeconfig.Config
}

// NewPublisher makes a publisher.
func NewPublisher(s Store, c *activeconfig.Config) *Publisher {
	return &Publisher{store: s, active: c}
}

// NewMark makes the identity of a change.
func NewMark() string {
	return strconv.FormatUint(rand.Uint64(), 36)
}

// Publish has the change accepted and returns its head.
// It fails with a BaseError, BehindError, UnsettledError or the store's errors.
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

func (p *Publisher) activate(h *schema.Head, c Change) error {
	err := p.active.Activate(time.Now(), h, c.Sections.ByDigest())
	var stale *config.StaleError
	if errors.As(err, &stale) {
		return nil
	}
	return err
}

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

// writeHead writes the head's content and returns the pointer to it.
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

// isBaseCurrent says whether the change was made of what is in force. What the controller has changed
// since does not stand in an operator's way.
func isBaseCurrent(c Change, now *schema.Head) bool {
	if c.FromController {
		return now.Revision == c.Base
	}
	return c.Base >= now.OperatorRevision && c.Base <= now.Revision
}

// findAccepted finds the change among the kept heads; it fails with a BaseError.
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

// readHead reads the pointer in the store and the head it names; an absent one has revision 0.
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

// readHeadByDigest reads a head by the digest of its content.
func (p *Publisher) readHeadByDigest(ctx context.Context, d config.Digest) (*schema.Head, error) {
	i, err := p.store.Get(ctx, config.SectionKey(d))
	if err != nil {
		return nil, err
	}
	return config.DecodeHead(i.Value)
}

// prepareHead writes what the new head names, which is harmless to repeat.
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

// sectionRefs are the sections of the new head: those of the change, and the old ones that it leaves alone.
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

// writeContent writes immutable content, also where it is there already, so that its age is that of the change.
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

// notAppliedError says that a swap did not take effect and no longer can.
type notAppliedError struct{}

func (*notAppliedError) Error() string {
	return "the change did not take effect"
}

// resolveOutcome finds out by reading back whether a swap without a good answer took effect.
// Where it has not, the head is written again as it is, so that a late swap finds it changed.
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

// History lists the head and the operators' heads before it that are kept, the newest first.
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

// KeptHeads is History from the head in force in the store.
func (p *Publisher) KeptHeads(ctx context.Context) ([]*schema.Head, error) {
	_, h, err := p.readHead(ctx)
	if err != nil || h.Revision == 0 {
		return nil, err
	}
	return p.History(ctx, h)
}

// Collect deletes sections that no kept head names and that are older than all kept heads; it returns how many.
// A change in progress is based on a kept head, so what it has written is newer.
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

func revisionOf(items []store.Item, key string) store.Revision {
	for _, i := range items {
		if i.Key == key {
			return i.Revision
		}
	}
	return 0
}
