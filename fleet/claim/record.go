package claim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/outcome"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// Retention is the minimum time for which a claim is kept.
	Retention = 10 * time.Minute
	// rotationThreshold is the number of claims in a record at which Rotate moves them to a slice.
	rotationThreshold = 256
)

// Slices holds the older claims of a bucket by slice ID.
type Slices map[string]map[Key]Status

// Status is the token and the state of the newest claim of a key.
type Status struct {
	Token uint64
	State schema.ClaimState
}

// IndexSlice returns the claims of a slice by key.
func IndexSlice(s *schema.ClaimSlice) map[Key]Status {
	m := make(map[Key]Status, len(s.Claims))
	for _, c := range s.Claims {
		m[Key(c.Key)] = Status{Token: c.Token, State: c.State}
	}
	return m
}

// Missing returns the IDs of the slices that the record references and s does not contain.
func (s Slices) Missing(b *schema.ClaimBucket) []string {
	l := []string{}
	for _, r := range b.Slices {
		if _, ok := s[r.Id]; !ok {
			l = append(l, r.Id)
		}
	}
	return l
}

// Operation claims a key or records the outcome of the request that holds it.
type Operation struct {
	Claim
	// Settle records Outcome on the claim; otherwise the operation claims the key.
	Settle  bool
	Outcome outcome.Outcome
}

// Verdict is the result of an operation. If the operation is not granted, Outcome is that of the request that holds
// the claim.
type Verdict struct {
	Granted bool
	Outcome outcome.Outcome
}

// Apply applies the operations in order to a copy of the record and returns the copy with one verdict for each
// operation. It reports in changed whether the copy differs from the record and must be written.
func Apply(now time.Time, b *schema.ClaimBucket, s Slices, l []Operation) (next *schema.ClaimBucket, v []Verdict, changed bool) {
	next = proto.Clone(b).(*schema.ClaimBucket)
	v = make([]Verdict, len(l))
	for i, o := range l {
		var c bool
		if o.Settle {
			c = settle(now, next, s, o)
			v[i] = Verdict{Granted: true}
		} else {
			v[i], c = acquire(now, next, s, o.Claim)
		}
		changed = changed || c
	}
	return next, v, changed
}

func acquire(now time.Time, b *schema.ClaimBucket, s Slices, c Claim) (Verdict, bool) {
	x, found := findNewest(b, s, c.Key)
	if found && x.Token == c.Token {
		return Verdict{Granted: true}, false
	}
	if found && x.State != schema.ClaimState_CLAIM_STATE_NOT_RUN {
		return Verdict{Outcome: OutcomeOf(x.State)}, false
	}
	appendClaim(now, b, c, schema.ClaimState_CLAIM_STATE_UNKNOWN)
	return Verdict{Granted: true}, true
}

// settle records the outcome of a claim and reports whether the record changed. It ignores the operation if another
// request holds the key, so that a late outcome can't release that request's claim.
func settle(now time.Time, b *schema.ClaimBucket, s Slices, o Operation) bool {
	x, found := findNewest(b, s, o.Key)
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
	appendClaim(now, b, o.Claim, state)
	return true
}

func appendClaim(now time.Time, b *schema.ClaimBucket, c Claim, s schema.ClaimState) {
	k := c.Key
	b.Claims = append(b.Claims, &schema.Claim{Key: k[:], Token: c.Token, UnixS: now.Unix(), State: s})
}

// findNewest returns the status of the newest claim of the key.
func findNewest(b *schema.ClaimBucket, s Slices, k Key) (Status, bool) {
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

// Rotate removes expired slices from the record and returns their IDs in dropped. If the record is full, it also moves
// the record's claims to a new slice with the given ID; the caller must write that slice before the record.
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
	if len(b.Claims) < rotationThreshold {
		return nil, dropped
	}
	slice = &schema.ClaimSlice{Claims: b.Claims}
	b.Slices = append(b.Slices, &schema.ClaimSliceRef{Id: id, NewestUnixS: now.Unix()})
	b.Claims = nil
	return slice, dropped
}

// OutcomeOf returns the outcome that corresponds to the state of a claim.
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

// StateOf returns the claim state that corresponds to an outcome.
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
