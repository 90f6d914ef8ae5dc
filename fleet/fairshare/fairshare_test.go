package fairshare_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonbank/tarragonbank/fleet/fairshare"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestFairshare(t *testing.T) {
	suite.Run(t, "fairshare")
}

var now = time.Unix(1_800_000_000, 0)

// steady returns the work that makes a workspace need the amount all the time.
func steady(a job.Amount) job.Amount {
	return a.Times(fairshare.Window.Seconds())
}

func cores(n float64) job.Amount { return job.Amount{Cores: n} }

var _ = ginkgo.Describe("the division of a pool", func() {
	var p *fairshare.Pool
	ginkgo.BeforeEach(func() { p = fairshare.New() })
	fair := func(capacity job.Amount, names ...string) []float64 {
		x, l := p.Allocate(capacity, now), []float64{}
		for _, n := range names {
			l = append(l, x[n].Fair)
		}
		return l
	}

	ginkgo.It("gives everybody what it offers while there is room", func() {
		p.Offer("a", 1, steady(cores(7)), now)
		p.Offer("b", 1, steady(cores(2)), now)
		gomega.Expect(fair(cores(10), "a", "b")).To(gomega.Equal([]float64{0.7, 0.2}))
	})

	ginkgo.It("gives unused share to the others by weight", func() {
		p.Offer("a", 1, steady(cores(20)), now)
		p.Offer("b", 3, steady(cores(20)), now)
		p.Offer("c", 4, steady(cores(2)), now)
		l := fair(cores(10), "a", "b", "c")
		gomega.Expect(l[0]).To(gomega.BeNumerically("~", 0.2, 1e-9))
		gomega.Expect(l[1]).To(gomega.BeNumerically("~", 0.6, 1e-9))
		gomega.Expect(l[2]).To(gomega.BeNumerically("~", 0.2, 1e-9))
	})

	// Load: one workspace short of memory, one of processors. Of 9 cores and 18 GB, tasks of one core and 4 GB get 12 GB, and
	// tasks of three cores and 1 GB get 6 cores: two thirds each.
	ginkgo.It("is fair in the dominant resource of each", func() {
		p.Offer("a", 1, steady(job.Amount{Cores: 10, MemoryMB: 40}), now)
		p.Offer("b", 1, steady(job.Amount{Cores: 30, MemoryMB: 10}), now)
		for _, f := range fair(job.Amount{Cores: 9, MemoryMB: 18}, "a", "b") {
			gomega.Expect(f).To(gomega.BeNumerically("~", 2.0/3, 1e-9))
		}
	})

	ginkgo.It("lets those that need no scarce resource have all they offer", func() {
		p.Offer("a", 1, steady(job.Amount{Accelerators: 8}), now)
		p.Offer("b", 1, steady(job.Amount{Accelerators: 8}), now)
		p.Offer("c", 0, steady(cores(9)), now)
		gomega.Expect(fair(job.Amount{Cores: 10, Accelerators: 4}, "a", "b", "c")).To(gomega.Equal([]float64{0.5, 0.5, 0.9}))
	})

	ginkgo.It("uses no resource above its capacity and leaves nobody above its demand", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			x, capacity, offered := fairshare.New(), job.Amount{Cores: 10, MemoryMB: 10, Accelerators: 10}, map[string]job.Amount{}
			amount := rapid.Float64Range(0, 30)
			for _, n := range []string{"a", "b", "c", "d"} {
				offered[n] = job.Amount{Cores: amount.Draw(t, "cores"), MemoryMB: amount.Draw(t, "memory"), Accelerators: amount.Draw(t, "accelerators")}
				x.Offer(n, rapid.Float64Range(0, 5).Draw(t, "weight"), steady(offered[n]), now)
			}
			used := job.Amount{}
			for n, s := range x.Allocate(capacity, now) {
				if s.Offered > 0 {
					used = used.Add(offered[n].Times(s.Fair / s.Offered))
				}
				if s.Fair > s.Offered+1e-9 {
					t.Fatalf("%s gets %f of %f", n, s.Fair, s.Offered)
				}
			}
			for _, u := range used.Resources() {
				if u > 10+1e-6 {
					t.Fatalf("%f of 10 used", u)
				}
			}
		})
	})
})

var _ = ginkgo.Describe("a share", func() {
	ginkgo.It("is above what is fair until the use has decayed, and others are expected to need theirs", func() {
		p := fairshare.New()
		p.Offer("a", 1, steady(cores(70)), now)
		p.Accept("a", steady(cores(9)), now)
		p.Offer("b", 1, steady(cores(4)), now)
		x := p.Allocate(cores(10), now)
		gomega.Expect([]bool{x.Above("a"), x.Above("b"), x.Above("c")}).To(gomega.Equal([]bool{true, false, false}))
		gomega.Expect(x["a"].RetryAfter()).To(gomega.BeNumerically("~", 1622*time.Millisecond, time.Millisecond))
		e := x.Expected("a", 2*time.Second, map[string]job.Amount{"b": cores(3)})
		gomega.Expect(e.Cores).To(gomega.BeNumerically("~", 5, 1e-9), "4 cores for 2 s, less 3 core-seconds")
		gomega.Expect(x.Expected("b", 2*time.Second, nil).Cores).To(gomega.BeNumerically("~", 12, 1e-9))
	})

	ginkgo.It("is forgotten after long silence", func() {
		p := fairshare.New()
		p.Offer("a", 1, steady(cores(70)), now)
		gomega.Expect(p.Allocate(cores(10), now.Add(time.Minute))).To(gomega.BeEmpty())
	})
})
