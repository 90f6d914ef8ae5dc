package peer

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/claim"
	"github.com/tarragonbank/tarragonbank/fleet/member"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// claimTimeout bounds the wait for a peer before the entry asks the store itself.
const claimTimeout = 300 * time.Millisecond

// Decider takes and settles claims; it fails where it is not known whether they were taken.
type Decider interface {
	Decide(ctx context.Context, l []claim.Operation) ([]claim.Verdict, error)
}

// Claims has each bucket's claims batched by one entry, so that the store sees few writes.
type Claims struct {
	node  *Node
	local Decider
}

// NewClaims wraps the decider that asks the store, which also serves the peers' requests.
func NewClaims(n *Node, local Decider) *Claims {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.claimDecider = local
	return &Claims{node: n, local: local}
}

// Decide asks the entry that batches the bucket, and the store itself where that entry does not answer.
// All operations must be of one bucket. It fails with an UnavailableError, after which claims may have been taken.
func (c *Claims) Decide(ctx context.Context, l []claim.Operation) ([]claim.Verdict, error) {
	p := c.node.batcherLink(l[0].Key.Bucket())
	if p == nil {
		return c.local.Decide(ctx, l)
	}
	v, err := p.decideClaims(l)
	if err == nil {
		return v, nil
	}
	return c.local.Decide(ctx, l)
}

// batcherLink is the link to the entry that batches the bucket, nil for this entry.
func (n *Node) batcherLink(bucket int) *link {
	n.lock.Lock()
	defer n.lock.Unlock()
	names := []string{}
	for _, m := range n.table.WorkSharers() {
		if m.State == member.Live {
			names = append(names, m.Name())
		}
	}
	return n.links[claim.Batcher(bucket, names)]
}

func (l *link) decideClaims(ops []claim.Operation) ([]claim.Verdict, error) {
	q := &schema.ClaimRequest{}
	for _, o := range ops {
		q.Operations = append(q.Operations, &schema.ClaimOperation{
			Key: o.Key[:], Token: o.Token, Settle: o.Settle, State: claim.StateOf(o.Outcome),
		})
	}
	p, err := l.call(&schema.Envelope{Body: &schema.Envelope_ClaimRequest{ClaimRequest: q}}, claimTimeout)
	if err != nil {
		return nil, err
	}
	r := p.GetClaimReply().GetVerdicts()
	if len(r) != len(ops) {
		return nil, trace.Wrap(&store.UnavailableError{Call: "claim", Detail: "the peer could not reach the store"})
	}
	v := make([]claim.Verdict, len(r))
	for i, x := range r {
		v[i] = claim.Verdict{Granted: x.Granted, Outcome: claim.OutcomeOf(x.State)}
	}
	return v, nil
}

// decideClaims serves a peer's request; a reply without verdicts says that the store did not answer.
func (n *Node) decideClaims(ctx context.Context, q *schema.ClaimRequest) *schema.ClaimReply {
	n.lock.Lock()
	d := n.claimDecider
	n.lock.Unlock()
	r := &schema.ClaimReply{}
	if d == nil {
		return r
	}
	ops := []claim.Operation{}
	for _, o := range q.Operations {
		if len(o.Key) != claim.KeySize {
			return r
		}
		ops = append(ops, claim.Operation{
			Claim:  claim.Claim{Key: claim.Key(o.Key), Token: o.Token},
			Settle: o.Settle, Outcome: claim.OutcomeOf(o.State),
		})
	}
	ctx, stop := context.WithTimeout(ctx, claimTimeout)
	defer stop()
	v, err := d.Decide(ctx, ops)
	if err != nil {
		return r
	}
	for _, x := range v {
		r.Verdicts = append(r.Verdicts, &schema.ClaimVerdict{Granted: x.Granted, State: claim.StateOf(x.Outcome)})
	}
	return r
}
