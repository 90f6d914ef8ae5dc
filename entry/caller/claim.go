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

// defaultRetryAfter is the retry delay that callers are told if the store or the backend servers failed.
const defaultRetryAfter = 500 * time.Millisecond

// Decider claims and settles idempotency keys. If it fails, it is unknown whether the operations were applied.
type Decider interface {
	Decide(ctx context.Context, l []claim.Operation) ([]claim.Verdict, error)
}

// claimKey claims the request's idempotency key. It fails with a claim.DuplicateKeyError if another request holds
// the key. After any other error it tries to release the key, since the claim may have been applied.
func (x *exchange) claimKey(ctx context.Context) (claim.Claim, error) {
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

// settle records the outcome of the request that holds the claim, unless it is unknown. It has a timeout of its
// own, since the request's context may have ended. Errors are ignored; the claim's outcome then stays unknown.
func (x *exchange) settle(c claim.Claim, o outcome.Outcome) {
	if !o.Known() {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), settleTimeout)
	defer stop()
	_, _ = x.server.claims.Decide(ctx, []claim.Operation{{Claim: c, Settle: true, Outcome: o}})
}

const settleTimeout = 2 * time.Second

// refuseClaim responds to a request whose key could not be claimed.
func (x *exchange) refuseClaim(err error) {
	var t *claim.DuplicateKeyError
	if !errors.As(err, &t) {
		x.refuse(admission.StoreUnavailable, "the key could not be claimed", defaultRetryAfter)
		return
	}
	x.server.log.Add(decision.Record{
		Time: time.Now(), Kind: decision.Claim, Request: x.id, Service: x.service.Name,
		Reason: "key taken, first outcome " + t.Outcome.String(),
	})
	x.refuseDuplicate(t.Outcome)
}

// refuseDuplicate responds with the outcome of the first request that had the key. NotRun is not expected, since such a key
// is granted again; it is reported as Unknown.
func (x *exchange) refuseDuplicate(first outcome.Outcome) {
	if first == outcome.NotRun {
		first = outcome.Unknown
	}
	x.respondOutcome(first, admission.DuplicateKey, "another request has this key", 0)
}
