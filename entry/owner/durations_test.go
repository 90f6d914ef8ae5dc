package owner_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const durationsKey = "tarragonbank/durations"

// The learned durations must not cost a commit of their own, and a malformed record must not keep an owner from its term.
func TestLearnedDurationsAreStoredWithACommitAndReadByTheNextOwner(t *testing.T) {
	runTest(t, func(g *gomega.WithT, s *cluster) {
		s.lookAhead = true
		s.store.items[durationsKey] = store.Item{Key: durationsKey, Value: []byte("malformed"), Revision: 1}
		o, stop := s.startEntry("e1")
		time.Sleep(time.Second)
		commits := s.store.commitCount()
		time.Sleep(10 * time.Second)
		g.Expect(s.store.commitCount()).To(gomega.Equal(commits))
		g.Expect(submit(o, firstID).Result).To(gomega.Equal(scheduler.Done))
		first, err := s.store.Get(s.ctx, durationsKey)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(first.Value).NotTo(gomega.BeEquivalentTo("malformed"))
		next, _ := s.startEntry("e2")
		stop()
		time.Sleep(2 * time.Second)
		g.Expect(submit(next, secondID).Result).To(gomega.Equal(scheduler.Done))
		second, err := s.store.Get(s.ctx, durationsKey)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(second.Revision).To(gomega.Equal(first.Revision), "at most every 5 s, also over a takeover")
	})
}

func TestDurationsAreNotStoredWithoutLookAhead(t *testing.T) {
	runTest(t, func(g *gomega.WithT, s *cluster) {
		o, _ := s.startEntry("e1")
		time.Sleep(time.Second)
		g.Expect(submit(o, firstID).Result).To(gomega.Equal(scheduler.Done))
		_, err := s.store.Get(s.ctx, durationsKey)
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&store.NotFoundError{}))
	})
}
