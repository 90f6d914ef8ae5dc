package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/claim"
	"github.com/tarragonbank/tarragonbank/fleet/outcome"
)

const claimRetry = 500 * time.Millisecond

// Decider takes and settles claims; it fails where it is not known whether they were taken.
type Decider interface {
	Decide(ctx context.Context, l []claim.Operation) ([]claim.Verdict, error)
}

// take claims the request's key; it fails with a claim.DuplicateKeyError where another request has it.
func (x *exchange) take(ctx context.Context) (claim.Claim, error) {
	c := claim.Claim{Key: claim.NewKey(x.service.Name, x.request.Key), Token: rand.Uint64() | 1}
	v, err := x.server.claims.Decide(ctx, []claim.Operation{{Claim: c}})
	if err != nil {
		x.settle(c, outcome.NotRun)
		return c, err
	}
	if !v[0].Granted {
		return c, trace.Wrap(&claim.DuplicateKeyError{Outcome: v[0].Outcome})
	}
	return c, nil
}

// settle records what became of the request that has the claim, without waiting for it.
func (x *exchange) settle(c claim.Claim, o outcome.Outcome) {
	if !o.Known() {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), settleTimeout)
	defer stop()
	_, _ = x.server.claims.Decide(ctx, []claim.Operation{{Claim: c, Settle: true, Outcome: o}})
}

const settleTimeout = 2 * time.Second

func (x *exchange) refuseClaim(err error) {
	var t *claim.DuplicateKeyError
	if !errors.As(err, &t) {
		x.refuse(admission.StoreUnavailable, "the key could not be claimed", claimRetry)
		return
	}
	x.server.log.Add(decision.Record{
		Time: time.Now(), Kind: decision.Claim, Request: x.id, Service: x.service.Name,
		Reason: "key taken, first outcome " + t.Outcome.String(),
	})
	x.duplicate(t.Outcome)
}

// duplicate answers with the outcome of the request that had the key first.
func (x *exchange) duplicate(first outcome.Outcome) {
	if first == outcome.NotRun {
		first = outcome.Unknown
	}
	x.answerOutcome(first, admission.DuplicateKey, "another request has this key", 0)
}
