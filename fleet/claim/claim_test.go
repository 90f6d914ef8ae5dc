package claim_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonbank/tarragonbank/fleet/claim"
	"github.com/tarragonbank/tarragonbank/fleet/outcome"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestClaim(t *testing.T) {
	suite.Run(t, "claim")
}

var now = time.Unix(1_800_000_000, 0)

func acquire(key string, token uint64) claim.Operation {
	return claim.Operation{Claim: claim.Claim{Key: claim.NewKey("export", key), Token: token}}
}

func settle(key string, token uint64, o outcome.Outcome) claim.Operation {
	x := acquire(key, token)
	x.Settle = true
	x.Outcome = o
	return x
}

var (
	granted = claim.Verdict{Granted: true}
	unknown = claim.Verdict{Outcome: outcome.Unknown}
	ran     = claim.Verdict{Outcome: outcome.Ran}
)

var _ = ginkgo.DescribeTable("Apply in order",
	func(ops []claim.Operation, want []claim.Verdict) {
		got := []claim.Verdict{}
		b := &schema.ClaimBucket{}
		for _, o := range ops {
			var v []claim.Verdict
			b, v, _ = claim.Apply(now, b, claim.Slices{}, []claim.Operation{o})
			got = append(got, v...)
		}
		gomega.Expect(got).To(gomega.Equal(want))
	},
	ginkgo.Entry("grants a key once",
		[]claim.Operation{acquire("a", 1), acquire("a", 2), acquire("b", 3)},
		[]claim.Verdict{granted, unknown, granted}),
	ginkgo.Entry("grants a key again to the request that holds it, which retries after a lost response",
		[]claim.Operation{acquire("a", 1), acquire("a", 1)},
		[]claim.Verdict{granted, granted}),
	ginkgo.Entry("returns the outcome of the first request to a duplicate",
		[]claim.Operation{acquire("a", 1), settle("a", 1, outcome.Ran), acquire("a", 2)},
		[]claim.Verdict{granted, granted, ran}),
	ginkgo.Entry("releases a key whose request did not run",
		[]claim.Operation{acquire("a", 1), settle("a", 1, outcome.NotRun), acquire("a", 2)},
		[]claim.Verdict{granted, granted, granted}),
	ginkgo.Entry("ignores an outcome from a request that does not hold the key",
		[]claim.Operation{acquire("a", 1), settle("a", 1, outcome.Ran), settle("a", 9, outcome.NotRun), acquire("a", 2)},
		[]claim.Verdict{granted, granted, granted, ran}),
	ginkgo.Entry("grants a key whose outcome was reported before the claim",
		[]claim.Operation{settle("a", 1, outcome.NotRun), acquire("a", 1)},
		[]claim.Verdict{granted, granted}),
)

var _ = ginkgo.Describe("Rotate", func() {
	ginkgo.It("keeps rotated claims until the retention has passed", func() {
		rapid.Check(ginkgo.GinkgoT(), checkRotation)
	})
})

// checkRotation claims and settles random keys across many rotations and compares the verdicts with a plain map.
func checkRotation(t *rapid.T) {
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	b := &schema.ClaimBucket{}
	s := claim.Slices{}
	holder := map[string]uint64{}
	for i := range 700 {
		k := string(rune('a' + r.IntN(900)))
		token := uint64(i + 1)
		var v []claim.Verdict
		b, v, _ = claim.Apply(now, b, s, []claim.Operation{acquire(k, token)})
		if v[0].Granted != (holder[k] == 0) {
			t.Fatalf("key %q with holder %d: verdict %v", k, holder[k], v[0])
		}
		if v[0].Granted {
			holder[k] = token
		}
		if r.IntN(4) == 0 && holder[k] != 0 {
			b, _, _ = claim.Apply(now, b, s, []claim.Operation{settle(k, holder[k], outcome.NotRun)})
			holder[k] = 0
		}
		id := string(rune(i))
		if x, _ := claim.Rotate(now, b, id); x != nil {
			s[id] = claim.IndexSlice(x)
		}
	}
	if _, dropped := claim.Rotate(now.Add(2*claim.Retention), b, "last"); len(dropped) != len(s) {
		t.Fatalf("%d slices, %d dropped", len(s), len(dropped))
	}
}

var _ = ginkgo.Describe("Batcher", func() {
	ginkgo.It("moves only the buckets of an entry that has left", func() {
		all := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
		moved := 0
		for i := range 100 * claim.BucketCount {
			before := claim.Batcher(i, all)
			after := claim.Batcher(i, all[:3])
			if before != after && before != "entry-4" {
				moved++
			}
		}
		gomega.Expect(moved).To(gomega.BeZero())
	})
})
