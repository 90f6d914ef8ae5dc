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
	keptHeads    = 20
	publishTries = 3
	settleTries  = 5
	settlePause  = 200 * time.Millisecond
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
	// Stateful says that the change is the controller's: it replaces some of its sections and no others.
	Stateful bool
}

// BaseError reports a change of a configuration that is no longer in force.
type BaseError struct {
	Base    uint64
	InForce uint64
}

// Error describes the failure in one line.
func (e *BaseError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but revision %d is in force", e.Base, e.InForce)
}

// BehindError reports a store that answers from before the configuration in force.
type BehindError struct {
	Store   uint64
	InForce uint64
}

// Error describes the failure in one line.
func (e *BehindError) Error() string {
	return fmt.Sprintf("the store has revision %d, below revision %d, which is in force", e.Store, e.InForce)
}

// UnsettledError reports a change of which it is not known whether it was accepted.
type UnsettledError struct {
	Mark   string
	Detail string
}

// Error describes the failure in one line.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted: %s", e.Mark, e.Detail)
}

// Publisher has changes accepted by the store and adopted by the view.
type Publisher struct {
	store Store
	view  *activeconfig.Config
}

// NewPublisher makes a publisher.
func NewPublisher(s Store, v *activeconfig.Config) *Publisher {
	return &Publisher{store: s, view: v}
}

// NewMark makes the identity of a change.
func NewMark() string {
	return strconv.FormatUint(rand.Uint64(), 36)
}

// Publish has the change accepted and returns its head.
// It fails with a BaseError, BehindError, UnsettledError or the store's errors.
func (p *Publisher) Publish(ctx context.Context, c Change) (*schema.Head, error) {
	for range publishTries {
		h, err := p.attempt(ctx, c)
		var f *fencedError
		if errors.As(err, &f) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return h, p.adopt(h, c)
	}
	return nil, trace.Wrap(&UnsettledError{Mark: c.Mark, Detail: "the store did not answer"})
}

func (p *Publisher) adopt(h *schema.Head, c Change) error {
	err := p.view.Activate(time.Now(), h, c.Sections.ByDigest())
	var stale *config.StaleError
	if errors.As(err, &stale) {
		return nil
	}
	return err
}

func (p *Publisher) attempt(ctx context.Context, c Change) (*schema.Head, error) {
	i, old, err := p.head(ctx)
	if err != nil {
		return nil, err
	}
	if old.Mark == c.Mark && c.Mark != "" {
		return old, nil
	}
	if f := p.view.Current().Revision(); old.Revision < f {
		return nil, trace.Wrap(&BehindError{Store: old.Revision, InForce: f})
	}
	if !based(c, old) {
		return p.accepted(ctx, old, c)
	}
	h, err := p.prepare(ctx, c, i, old)
	if err != nil {
		return nil, err
	}
	b, err := p.point(ctx, h)
	if err != nil {
		return nil, err
	}
	if _, err = p.store.Swap(ctx, config.HeadPointerKey, i.Revision, b); err != nil {
		return p.settle(ctx, c, err)
	}
	return h, nil
}

// point writes the head's content and returns the pointer to it.
func (p *Publisher) point(ctx context.Context, h *schema.Head) ([]byte, error) {
	b, err := proto.Marshal(h)
	if err != nil {
		return nil, trace.Wrap(err, "encoding the head")
	}
	d := config.ComputeDigest(b)
	if err := p.keep(ctx, d, b); err != nil {
		return nil, err
	}
	x, err := proto.Marshal(&schema.HeadPointer{Revision: h.Revision, Digest: d[:], Mark: h.Mark})
	return x, trace.Wrap(err, "encoding the head")
}

// based says whether the change was made of what is in force. What the controller has changed
// since does not stand in an operator's way.
func based(c Change, now *schema.Head) bool {
	if c.Stateful {
		return now.Revision == c.Base
	}
	return c.Base >= now.OperatorRevision && c.Base <= now.Revision
}

// accepted finds the change among the kept heads; it fails with a BaseError.
func (p *Publisher) accepted(ctx context.Context, now *schema.Head, c Change) (*schema.Head, error) {
	l, err := p.History(ctx, now)
	if err != nil {
		return nil, err
	}
	for _, h := range l {
		if h.Mark == c.Mark && c.Mark != "" {
			return h, nil
		}
	}
	return nil, trace.Wrap(&BaseError{Base: c.Base, InForce: now.Revision})
}

// head reads the pointer in the store and the head it names; an absent one has revision 0.
func (p *Publisher) head(ctx context.Context) (store.Item, *schema.Head, error) {
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
	h, err := p.read(ctx, config.DigestFromBytes(x.Digest))
	return i, h, err
}

// read reads a head by the digest of its content.
func (p *Publisher) read(ctx context.Context, d config.Digest) (*schema.Head, error) {
	i, err := p.store.Get(ctx, config.SectionKey(d))
	if err != nil {
		return nil, err
	}
	return config.DecodeHead(i.Value)
}

// prepare writes what the new head names, which is harmless to repeat.
func (p *Publisher) prepare(ctx context.Context, c Change, i store.Item, old *schema.Head) (*schema.Head, error) {
	h := &schema.Head{
		Revision: old.Revision + 1, Sections: c.refs(old), Mark: c.Mark,
		AcceptedUnixMs: time.Now().UnixMilli(), Author: c.Author, Note: c.Note,
		OperatorRevision: old.Revision + 1,
	}
	if c.Stateful {
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
		if err := p.keep(ctx, d, b); err != nil {
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

// refs are the sections of the new head: those of the change, and the old ones that it leaves alone.
func (c Change) refs(old *schema.Head) []*schema.SectionRef {
	l := c.Refs
	if c.Sections != nil {
		l = c.Sections.Refs()
	}
	kept := []*schema.SectionRef{}
	for _, r := range l {
		if c.Stateful || !config.IsStateSection(r.Name) {
			kept = append(kept, r)
		}
	}
	for _, r := range old.Sections {
		_, replaced := c.Sections[r.Name]
		if config.IsStateSection(r.Name) && !replaced || c.Stateful && !replaced {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b *schema.SectionRef) int { return strings.Compare(a.Name, b.Name) })
	return slices.CompactFunc(kept, func(a, b *schema.SectionRef) bool { return a.Name == b.Name })
}

// keep writes immutable content, also where it is there already, so that its age is that of the change.
func (p *Publisher) keep(ctx context.Context, d config.Digest, b []byte) error {
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

// fencedError says that a swap did not take effect and no longer can.
type fencedError struct{}

func (*fencedError) Error() string {
	return "the change did not take effect"
}

// settle finds out by reading back whether a swap without a good answer took effect.
// Where it has not, the head is written again as it is, so that a late swap finds it changed.
func (p *Publisher) settle(ctx context.Context, c Change, cause error) (*schema.Head, error) {
	for range settleTries {
		i, now, err := p.head(ctx)
		if err == nil && now.Revision != c.Base {
			return p.accepted(ctx, now, c)
		}
		if err == nil && i.Revision > 0 {
			if _, err = p.store.Swap(ctx, config.HeadPointerKey, i.Revision, i.Value); err == nil {
				return nil, &fencedError{}
			}
		}
		select {
		case <-ctx.Done():
			return nil, trace.Wrap(&UnsettledError{Mark: c.Mark, Detail: cause.Error()})
		case <-time.After(settlePause):
		}
	}
	return nil, trace.Wrap(&UnsettledError{Mark: c.Mark, Detail: cause.Error()})
}

// History lists the head and the operators' heads before it that are kept, the newest first.
func (p *Publisher) History(ctx context.Context, h *schema.Head) ([]*schema.Head, error) {
	l := []*schema.Head{h}
	for len(h.Previous) > 0 && len(l) < keptHeads {
		x, err := p.read(ctx, config.DigestFromBytes(h.Previous))
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

// Kept is History from the head in force in the store.
func (p *Publisher) Kept(ctx context.Context) ([]*schema.Head, error) {
	_, h, err := p.head(ctx)
	if err != nil || h.Revision == 0 {
		return nil, err
	}
	return p.History(ctx, h)
}

// Collect deletes sections that no kept head names and that are older than all kept heads; it returns how many.
// A change in progress is based on a kept head, so what it has written is newer.
func (p *Publisher) Collect(ctx context.Context) (int, error) {
	l, err := p.Kept(ctx)
	if err != nil || len(l) < keptHeads {
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
