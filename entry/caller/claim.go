package caller

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/claim"
	"github.com/tarragonbank/tarragonbank/fleet/outcome"
)

const claimRetry = 500 * time.Millisecond

// Claims lets each request key be sent once by all entries together.
type Claims interface {
	// Take fails with a claim.TakenError where another request has the key.
	Take(ctx context.Context, service, key string) (claim.Claim, error)
	// Settle says what became of the request that has the claim.
	Settle(c claim.Claim, o outcome.Outcome)
}

func (x *exchange) refuseClaim(err error) {
	var t *claim.TakenError
	if !errors.As(err, &t) {
		x.refuse(admission.StoreAway, "the key could not be claimed", claimRetry)
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
