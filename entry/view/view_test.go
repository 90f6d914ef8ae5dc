package view_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonbank/tarragonbank/entry/view"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestView(t *testing.T) {
	suite.Run(t, "view")
}

var now = time.Unix(1_800_000_000, 0)

// revisions makes n heads, each with one changed section.
func revisions(n int) ([]*schema.Head, map[config.Digest][]byte) {
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

// adopter is what takes deliveries: the view itself, or a broken copy of its rule.
type adopter func(v *view.View, h *schema.Head, all map[config.Digest][]byte)

func correct(v *view.View, h *schema.Head, all map[config.Digest][]byte) {
	_ = v.Adopt(now, h, all)
}

// reverts delivers heads late, twice, out of order or not at all, and counts steps back.
func reverts(seed uint64, inForce func(*view.View) uint64, a adopter) int {
	heads, all := revisions(12)
	r := rand.New(rand.NewPCG(seed, 1))
	v := view.New()
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

func revision(v *view.View) uint64 {
	return v.Current().Revision()
}

var _ = ginkgo.Describe("a view", func() {
	ginkgo.It("never goes back, whatever is delivered", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			if n := reverts(rapid.Uint64().Draw(t, "seed"), revision, correct); n > 0 {
				t.Fatalf("%d steps back", n)
			}
		})
	})

	ginkgo.It("is seen to go back when its rule is broken", func() {
		applied := uint64(0)
		broken := func(_ *view.View, h *schema.Head, _ map[config.Digest][]byte) { applied = h.Revision }
		gomega.Expect(reverts(1, func(*view.View) uint64 { return applied }, broken)).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("refuses a head whose sections are not at hand and keeps what it has", func() {
		heads, all := revisions(2)
		v := view.New()
		correct(v, heads[0], all)
		err := v.Adopt(now, heads[1], nil)
		gomega.Expect([]any{err != nil, revision(v)}).To(gomega.Equal([]any{true, uint64(1)}))
	})

	ginkgo.It("refuses a revision too far ahead to be believed", func() {
		heads, all := revisions(1)
		v := view.New()
		correct(v, heads[0], all)
		far := &schema.Head{Revision: 1 << 40, Sections: heads[0].Sections}
		gomega.Expect(v.Adopt(now, far, nil)).To(gomega.MatchError(gomega.ContainSubstring("revision 1099511627776 is too far above revision 1")))
	})

	ginkgo.It("gives a peer only what changed since the revision that it has", func() {
		heads, all := revisions(3)
		v := view.New()
		for _, h := range heads {
			correct(v, h, all)
		}
		since, whole := v.HeadSince(2), v.HeadSince(99)
		gomega.Expect([]any{since.Since, len(since.Head.Sections), whole.Since, len(whole.Head.Sections)}).To(gomega.Equal([]any{uint64(2), 1, uint64(0), 2}))
	})

	ginkgo.It("tells its subscribers of each configuration in order", func() {
		heads, all := revisions(3)
		v := view.New()
		seen := []uint64{}
		v.Subscribe(func(s *config.Snapshot) { seen = append(seen, s.Revision()) })
		for _, i := range []int{0, 2, 1, 2} {
			correct(v, heads[i], all)
		}
		gomega.Expect(seen).To(gomega.Equal([]uint64{1, 3}))
	})
})
