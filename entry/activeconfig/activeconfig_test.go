package activeconfig_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestConfig(t *testing.T) {
	suite.Run(t, "activeconfig")
}

var now = time.Unix(1_800_000_000, 0)

// makeHeads returns n heads that differ in one section each, and all their sections.
func makeHeads(n int) ([]*schema.Head, map[config.Digest][]byte) {
	heads := []*schema.Head{}
	all := map[config.Digest][]byte{}
	for i := range n {
		s, err := config.Split(config.Source{
			Inventory: &schema.Inventory{},
			Rules:     &schema.Rules{Pools: []*schema.Pool{{Name: "a", MaxDown: int32(i)}, {Name: "b"}}},
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for d, b := range s.ByDigest() {
			all[d] = b
		}
		heads = append(heads, &schema.Head{Revision: uint64(i + 1), Sections: s.Refs()})
	}
	return heads, all
}

// activator handles a received head: correctly, or without the check that revisions increase.
type activator func(c *activeconfig.Config, h *schema.Head, all map[config.Digest][]byte)

func correct(c *activeconfig.Config, h *schema.Head, all map[config.Digest][]byte) {
	_ = c.Activate(now, h, all)
}

// countRegressions delivers heads late, twice, out of order or not at all, and counts how often the active revision
// decreases.
func countRegressions(seed uint64, revision func(*activeconfig.Config) uint64, a activator) int {
	heads, all := makeHeads(12)
	r := rand.New(rand.NewPCG(seed, 1))
	c := activeconfig.New()
	n := 0
	last := uint64(0)
	for range 60 {
		a(c, heads[r.IntN(len(heads))], all)
		if revision(c) < last {
			n++
		}
		last = revision(c)
	}
	return n
}

func activeRevision(c *activeconfig.Config) uint64 {
	return c.Current().Revision()
}

var _ = ginkgo.Describe("the active configuration", func() {
	ginkgo.It("never decreases in revision, whatever is delivered", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			if n := countRegressions(rapid.Uint64().Draw(t, "seed"), activeRevision, correct); n > 0 {
				t.Fatalf("the revision decreased %d times", n)
			}
		})
	})

	ginkgo.It("is found to decrease in revision when the check is left out", func() {
		applied := uint64(0)
		broken := func(_ *activeconfig.Config, h *schema.Head, _ map[config.Digest][]byte) { applied = h.Revision }
		gomega.Expect(countRegressions(1, func(*activeconfig.Config) uint64 { return applied }, broken)).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("refuses a head with missing sections and stays as it is", func() {
		heads, all := makeHeads(2)
		c := activeconfig.New()
		correct(c, heads[0], all)
		err := c.Activate(now, heads[1], nil)
		gomega.Expect([]any{err != nil, activeRevision(c)}).To(gomega.Equal([]any{true, uint64(1)}))
	})

	ginkgo.It("refuses a revision implausibly far ahead", func() {
		heads, all := makeHeads(1)
		c := activeconfig.New()
		correct(c, heads[0], all)
		far := &schema.Head{Revision: 1 << 40, Sections: heads[0].Sections}
		gomega.Expect(c.Activate(now, far, nil)).To(gomega.MatchError(gomega.ContainSubstring("revision 1099511627776 is too far above revision 1")))
	})

	ginkgo.It("is given to a peer as a delta since the revision that it has", func() {
		heads, all := makeHeads(3)
		c := activeconfig.New()
		for _, h := range heads {
			correct(c, h, all)
		}
		since, whole := c.HeadSince(2), c.HeadSince(99)
		gomega.Expect([]any{since.Since, len(since.Head.Sections), whole.Since, len(whole.Head.Sections)}).To(gomega.Equal([]any{uint64(2), 1, uint64(0), 2}))
	})

	ginkgo.It("is passed to subscribers in order of revision", func() {
		heads, all := makeHeads(3)
		c := activeconfig.New()
		seen := []uint64{}
		c.Subscribe(func(s *config.Snapshot) { seen = append(seen, s.Revision()) })
		for _, i := range []int{0, 2, 1, 2} {
			correct(c, heads[i], all)
		}
		gomega.Expect(seen).To(gomega.Equal([]uint64{1, 3}))
	})
})
