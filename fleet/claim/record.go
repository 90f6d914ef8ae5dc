package claim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/outcome"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// Retention is how long a claim is remembered.
	Retention = 10 * time.Minute
	// rollAt is the number of claims at which a record's claims become a slice.
	rollAt = 256
)

// Slices are the immutable older claims of a bucket by the id of their slice.
type Slices map[string]map[Key]Status

// Status is what a claim says of its key.
type Status struct {
	Token uint64
	State schema.ClaimState
}

// IndexSlice makes a slice searchable.
func IndexSlice(s *schema.ClaimSlice) map[Key]Status {
	m := make(map[Key]Status, len(s.Claims))
	for _, c := range s.Claims {
		m[Key(c.Key)] = Status{Token: c.Token, State: c.State}
	}
	return m
}

// Missing lists the ids of the record's slices that are not at hand.
func (s Slices) Missing(b *schema.ClaimBucket) []string {
	l := []string{}
	for _, r := range b.Slices {
		if _, ok := s[r.Id]; !ok {
			l = append(l, r.Id)
		}
	}
	return l
}

// Operation takes or settles a claim.
type Operation struct {
	Claim
	// Settle says that the request's outcome is known; otherwise the claim is taken.
	Settle  bool
	Outcome outcome.Outcome
}

// Verdict is the result of an operation: granted, or the outcome of the claim that stands.
type Verdict struct {
	Granted bool
	Outcome outcome.Outcome
}

// Apply works the operations into a copy of the record; changed says whether it must be written.
func Apply(now time.Time, b *schema.ClaimBucket, s Slices, l []Operation) (next *schema.ClaimBucket, v []Verdict, changed bool) {
	next = proto.Clone(b).(*schema.ClaimBucket)
	v = make([]Verdict, len(l))
	for i, o := range l {
		var c bool
		if o.Settle {
			c = settle(now, next, s, o)
			v[i] = Verdict{Granted: true}
		} else {
			v[i], c = take(now, next, s, o.Claim)
		}
		changed = changed || c
	}
	return next, v, changed
}

func take(now time.Time, b *schema.ClaimBucket, s Slices, c Claim) (Verdict, bool) {
	x, found := find(b, s, c.Key)
	if found && x.Token == c.Token {
		return Verdict{Granted: true}, false
	}
	if found && x.State != schema.ClaimState_CLAIM_STATE_NOT_RUN {
		return Verdict{Outcome: OutcomeOf(x.State)}, false
	}
	add(now, b, c, schema.ClaimState_CLAIM_STATE_UNKNOWN)
	return Verdict{Granted: true}, true
}

// settle records an outcome only where the claim stands: a key that another request has stays with it.
func settle(now time.Time, b *schema.ClaimBucket, s Slices, o Operation) bool {
	x, found := find(b, s, o.Key)
	state := StateOf(o.Outcome)
	if !found || x.Token != o.Token || x.State == state {
		return false
	}
	for _, c := range b.Claims {
		if c.Token == o.Token {
			c.State = state
			return true
		}
	}
	add(now, b, o.Claim, state)
	return true
}

func add(now time.Time, b *schema.ClaimBucket, c Claim, s schema.ClaimState) {
	k := c.Key
	b.Claims = append(b.Claims, &schema.Claim{Key: k[:], Token: c.Token, UnixS: now.Unix(), State: s})
}

// find looks for the newest claim of the key.
func find(b *schema.ClaimBucket, s Slices, k Key) (Status, bool) {
	for i := len(b.Claims) - 1; i >= 0; i-- {
		if c := b.Claims[i]; Key(c.Key) == k {
			return Status{Token: c.Token, State: c.State}, true
		}
	}
	for i := len(b.Slices) - 1; i >= 0; i-- {
		if x, ok := s[b.Slices[i].Id][k]; ok {
			return x, true
		}
	}
	return Status{}, false
}

// Rotate moves a full record's claims to a slice that must be written first, and drops slices past the retention.
func Rotate(now time.Time, b *schema.ClaimBucket, id string) (slice *schema.ClaimSlice, dropped []string) {
	kept := []*schema.ClaimSliceRef{}
	for _, r := range b.Slices {
		if now.Sub(time.Unix(r.NewestUnixS, 0)) > Retention {
			dropped = append(dropped, r.Id)
			continue
		}
		kept = append(kept, r)
	}
	b.Slices = kept
	if len(b.Claims) < rollAt {
		return nil, dropped
	}
	slice = &schema.ClaimSlice{Claims: b.Claims}
	b.Slices = append(b.Slices, &schema.ClaimSliceRef{Id: id, NewestUnixS: now.Unix()})
	b.Claims = nil
	return slice, dropped
}

// OutcomeOf is the outcome that a claim's state stands for.
func OutcomeOf(s schema.ClaimState) outcome.Outcome {
	switch s {
	case schema.ClaimState_CLAIM_STATE_RAN:
		return outcome.Ran
	case schema.ClaimState_CLAIM_STATE_NOT_RUN:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

// StateOf is the state that records an outcome.
func StateOf(o outcome.Outcome) schema.ClaimState {
	switch o {
	case outcome.Ran:
		return schema.ClaimState_CLAIM_STATE_RAN
	case outcome.NotRun:
		return schema.ClaimState_CLAIM_STATE_NOT_RUN
	default:
		return schema.ClaimState_CLAIM_STATE_UNKNOWN
	}
}
