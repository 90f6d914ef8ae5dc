package operator_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/entry/operator"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestOperator(t *testing.T) {
	suite.Run(t, "operator")
}

// memoryStore is an in-memory Store that can lose the reply to a head write, or delay the write.
type memoryStore struct {
	lock     sync.Mutex
	items    map[string]store.Item
	revision store.Revision
	// loseReply makes the next head write take effect but return an error.
	loseReply bool
	// delayWrite makes the next head write return an error and take effect only when applyDelayed is called.
	delayWrite   bool
	applyDelayed func()
}

func newMemoryStore() *memoryStore {
	return &memoryStore{items: map[string]store.Item{}}
}

func (m *memoryStore) Get(_ context.Context, k string) (store.Item, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	i, ok := m.items[k]
	if !ok {
		return i, trace.Wrap(&store.NotFoundError{Key: k})
	}
	return i, nil
}

func (m *memoryStore) Swap(_ context.Context, k string, expect store.Revision, v []byte) (store.Revision, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if k == config.HeadPointerKey && m.delayWrite {
		m.delayWrite = false
		m.applyDelayed = func() { _, _ = m.swap(k, expect, v) }
		return 0, trace.Wrap(&store.UnavailableError{Call: "write"})
	}
	r, err := m.swap(k, expect, v)
	if err == nil && k == config.HeadPointerKey && m.loseReply {
		m.loseReply = false
		return 0, trace.Wrap(&store.UnavailableError{Call: "write"})
	}
	return r, err
}

func (m *memoryStore) swap(k string, expect store.Revision, v []byte) (store.Revision, error) {
	if m.items[k].Revision != expect {
		return 0, trace.Wrap(&store.ConflictError{Key: k, Expected: expect})
	}
	m.revision++
	m.items[k] = store.Item{Key: k, Value: v, Revision: m.revision}
	return m.revision, nil
}

func (m *memoryStore) Delete(_ context.Context, k string, expect store.Revision) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.items[k].Revision != expect {
		return trace.Wrap(&store.ConflictError{Key: k, Expected: expect})
	}
	delete(m.items, k)
	return nil
}

func (m *memoryStore) List(_ context.Context, prefix string) ([]store.Item, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	l := []store.Item{}
	for k, i := range m.items {
		if strings.HasPrefix(k, prefix) {
			l = append(l, store.Item{Key: k, Revision: i.Revision})
		}
	}
	return l, nil
}

func newChange(base uint64, mark string, maxDown int32) operator.Change {
	s, err := config.Split(config.Source{
		Inventory: &schema.Inventory{},
		Rules:     &schema.Rules{Pools: []*schema.Pool{{Name: "cups", MaxDown: maxDown}}},
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return operator.Change{Base: base, Mark: mark, Sections: s}
}

var _ = ginkgo.Describe("Publish", func() {
	var m *memoryStore
	var c *activeconfig.Config
	var p *operator.Publisher
	ctx := context.Background()

	publish := func(x operator.Change) any {
		h, err := p.Publish(ctx, x)
		if err != nil {
			return trace.Unwrap(err).Error()
		}
		return int(h.Revision)
	}

	ginkgo.BeforeEach(func() {
		m = newMemoryStore()
		c = activeconfig.New()
		p = operator.NewPublisher(m, c)
		gomega.Expect(publish(newChange(0, "first", 0))).To(gomega.Equal(1))
	})

	ginkgo.It("increments the revision and activates each change at once", func() {
		gomega.Expect([]any{publish(newChange(1, "b", 1)), publish(newChange(2, "c", 2)), c.Current().Revision()}).To(gomega.Equal([]any{2, 3, uint64(3)}))
	})

	ginkgo.It("refuses a change with a stale base", func() {
		publish(newChange(1, "b", 1))
		gomega.Expect(publish(newChange(1, "c", 2))).To(gomega.Equal("the change is based on revision 1, but revision 2 is in force"))
	})

	ginkgo.It("applies a repeated change once, also after other changes", func() {
		first := publish(newChange(1, "b", 1))
		publish(newChange(2, "c", 2))
		gomega.Expect([]any{first, publish(newChange(1, "b", 1)), c.Current().Revision()}).To(gomega.Equal([]any{2, 2, uint64(3)}))
	})

	ginkgo.It("reads the head back after a lost reply", func() {
		m.loseReply = true
		gomega.Expect([]any{publish(newChange(1, "b", 1)), c.Current().Revision()}).To(gomega.Equal([]any{2, uint64(2)}))
	})

	ginkgo.It("prevents a delayed write from taking effect after a retry", func() {
		m.delayWrite = true
		first := publish(newChange(1, "b", 1))
		second := publish(newChange(2, "c", 2))
		m.applyDelayed()
		third := publish(newChange(3, "d", 3))
		gomega.Expect([]any{first, second, third}).To(gomega.Equal([]any{2, 3, 4}))
	})

	ginkgo.It("refuses to publish on a store that returns an older revision than the active one", func() {
		old := m.items[config.HeadPointerKey]
		publish(newChange(1, "b", 1))
		m.items[config.HeadPointerKey] = old
		gomega.Expect(publish(newChange(1, "c", 2))).To(gomega.Equal("the store has revision 1, below revision 2, which is in force"))
	})

	ginkgo.It("accepts one of two concurrent changes with the same base", func() {
		done := make(chan any, 2)
		for _, k := range []string{"b", "c"} {
			other := operator.NewPublisher(m, activeconfig.New())
			go func() {
				_, err := other.Publish(ctx, newChange(1, k, int32(len(k))))
				done <- err == nil
			}()
		}
		gomega.Expect([]any{<-done, <-done}).To(gomega.ConsistOf(true, false))
	})

	ginkgo.It("accepts an operator's change after a later change by the controller, and keeps both", func() {
		s := config.Sections{"state/dc-1/r1": []byte{}}
		x := operator.Change{Base: 1, Mark: "controller", Sections: s, FromController: true}
		first, second := publish(x), publish(newChange(1, "b", 1))
		names := []string{}
		for _, x := range c.Current().Head.Sections {
			names = append(names, x.Name)
		}
		gomega.Expect([]any{first, second, names}).To(gomega.Equal([]any{2, 3, []string{"pool/cups", "state/dc-1/r1"}}))
	})

	// A change that was accepted was answered as an internal error by an entry that had not learned of a change before it.
	ginkgo.It("reports a change as accepted at an entry that lacks a section of another entry's change", func() {
		other := operator.NewPublisher(m, activeconfig.New())
		_, err := other.Publish(ctx, newChange(0, "first", 0))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		x := operator.Change{Base: 1, Mark: "controller", Sections: config.Sections{"state/dc-1/r1": []byte{}}, FromController: true}
		gomega.Expect(publish(x)).To(gomega.Equal(2))
		h, err := other.Publish(ctx, newChange(1, "b", 1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(h.Revision).To(gomega.Equal(uint64(3)))
	})

	ginkgo.It("refuses a controller's change after a later change by an operator", func() {
		publish(newChange(1, "b", 1))
		x := operator.Change{Base: 1, Mark: "controller", Sections: config.Sections{"state/dc-1/r1": []byte{}}, FromController: true}
		gomega.Expect(publish(x)).To(gomega.Equal("the change is based on revision 1, but revision 2 is in force"))
	})

	ginkgo.It("deletes only sections that no kept head references", func() {
		for i := range 30 {
			publish(newChange(uint64(i+1), "", int32(i%7+1)))
		}
		kept, err := p.KeptHeads(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		n, err := p.Collect(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		again, err := p.KeptHeads(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		missing := 0
		for _, h := range again {
			for _, r := range h.Sections {
				if _, ok := m.items[config.SectionKey(config.DigestFromBytes(r.Digest))]; !ok {
					missing++
				}
			}
		}
		gomega.Expect([]any{n > 0, len(kept), len(again), missing}).To(gomega.Equal([]any{true, 20, 20, 0}))
	})
})
