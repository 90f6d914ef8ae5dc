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
	suite.Run(t, "view")
}

var now = time.Unix(1_800_000_000, 0)

// makeHeads makes n heads, each with one changed section.
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

// activator is what takes deliveries: the view itself, or a broken copy of its rule.
type activator func(v *activeconfig.Config, h *schema.Head, all map[config.Digest][]byte)

func correct(v *activeconfig.Config, h *schema.Head, all map[config.Digest][]byte) {
	_ = v.Activate(now, h, all)
}

// countRegressions delivers heads late, twice, out of order or not at all, and counts steps back.
func countRegressions(seed uint64, inForce func(*activeconfig.Config) uint64, a activator) int {
	heads, all := makeHeads(12)
	r := rand.New(rand.NewPCG(seed, 1))
	v := activeconfig.New()
	back := 0
	last := uint64(0)
	for range 60 {
		a(v, heads[r.IntN(len(heads))], all)
		if inForce(v) < last {
			back++
		}
		last = inForce(v)
	}
	return back
}

func activeRevision(v *activeconfig.Config) uint64 {
	return v.Current().Revision()
}

var _ = ginkgo.Describe("a view", func() {
	ginkgo.It("never goes back, whatever is delivered", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			if n := countRegressions(rapid.Uint64().Draw(t, "seed"), activeRevision, correct); n > 0 {
				t.Fatalf("%d steps back", n)
			}
		})
	})

	ginkgo.It("is seen to go back when its rule is broken", func() {
		applied := uint64(0)
		broken := func(_ *activeconfig.Config, h *schema.Head, _ map[config.Digest][]byte) { applied = h.Revision }
		gomega.Expect(countRegressions(1, func(*activeconfig.Config) uint64 { return applied }, broken)).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("refuses a head whose sections are not at hand and keeps what it has", func() {
		heads, all := makeHeads(2)
		v := activeconfig.New()
		correct(v, heads[0], all)
		err := v.Activate(now, heads[1], nil)
		gomega.Expect([]any{err != nil, activeRevision(v)}).To(gomega.Equal([]any{true, uint64(1)}))
	})

	ginkgo.It("refuses a revision too far ahead to be believed", func() {
		heads, all := makeHeads(1)
		v := activeconfig.New()
		correct(v, heads[0], all)
		far := &schema.Head{Revision: 1 << 40, Sections: heads[0].Sections}
		gomega.Expect(v.Activate(now, far, nil)).To(gomega.MatchError(gomega.ContainSubstring("revision 1099511627776 is too far above revision 1")))
	})

	ginkgo.It("gives a peer only what changed since the revision that it has", func() {
		heads, all := makeHeads(3)
		v := activeconfig.New()
		for _, h := range heads {
			correct(v, h, all)
		}
		since, whole := v.HeadSince(2), v.HeadSince(99)
		gomega.Expect([]any{since.Since, len(since.Head.Sections), whole.Since, len(whole.Head.Sections)}).To(gomega.Equal([]any{uint64(2), 1, uint64(0), 2}))
	})

	ginkgo.It("tells its subscribers of each configuration in order", func() {
		heads, all := makeHeads(3)
		v := activeconfig.New()
		seen := []uint64{}
		v.Subscribe(func(s *config.Snapshot) { seen = append(seen, s.Revision()) })
		for _, i := range []int{0, 2, 1, 2} {
			correct(v, heads[i], all)
		}
		gomega.Expect(seen).To(gomega.Equal([]uint64{1, 3}))
	})
})
