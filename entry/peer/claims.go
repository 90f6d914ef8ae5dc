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

// claimTimeout bounds the wait for a peer, after which the entry accesses the store itself.
const claimTimeout = 300 * time.Millisecond

// Decider claims idempotency keys and settles claims.
type Decider interface {
	// Decide applies the operations. If it fails, it is unknown whether they took effect.
	Decide(ctx context.Context, l []claim.Operation) ([]claim.Verdict, error)
}

// Claims forwards the claims of each bucket to the one entry that batches them, which reduces the writes to the store.
type Claims struct {
	node  *Node
	local Decider
}

// NewClaims returns Claims for the node. local accesses the store; it also serves the claims that peers forward to this
// entry.
func NewClaims(n *Node, local Decider) *Claims {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.claimDecider = local
	return &Claims{node: n, local: local}
}

// Decide forwards the operations to the entry that batches their bucket, and accesses the store itself if that entry
// does not answer. All operations must belong to the same bucket. It fails with an UnavailableError, after which the
// operations may have taken effect.
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

// batcherLink returns the link to the entry that batches the bucket, or nil if it is this entry or there is no link.
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

// decideClaims handles a peer's request. A reply without verdicts means that the operations could not be decided.
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
