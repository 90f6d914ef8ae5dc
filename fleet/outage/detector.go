package outage

import "time"

const (
	// minFailure is how long a commit is without an answer before the store can count as away. A lost answer is resolved
	// sooner.
	minFailure = 350 * time.Millisecond
	// maxSilence is how long the store may leave all calls unanswered before it counts as away. Leases are renewed every 150 ms,
	// so that answers of a store that takes 0.3 s are no further apart than this when it turns slow.
	maxSilence = 500 * time.Millisecond
	// maxFailure is how long a commit may be without an answer although the store answers other calls. It may turn writes away.
	maxFailure = 1200 * time.Millisecond
)

// Detector follows the commits and the answers of a store. The zero value has seen neither.
type Detector struct {
	failingSince, answeredAt time.Time
}

// Answered records an answer of the store to any call.
func (d *Detector) Answered(now time.Time) {
	if now.After(d.answeredAt) {
		d.answeredAt = now
	}
}

// CommitPending records that the commit that was sent at the given time is still without an answer.
func (d *Detector) CommitPending(sentAt time.Time) {
	if d.failingSince.IsZero() {
		d.failingSince = sentAt
	}
}

// Committed records that the store has committed, and reports whether an earlier commit was recorded as pending.
func (d *Detector) Committed(now time.Time) bool {
	pending := !d.failingSince.IsZero()
	d.failingSince = time.Time{}
	d.Answered(now)
	return pending
}

// Away reports whether new jobs should be refused because the store does not commit them.
func (d *Detector) Away(now time.Time) bool {
	if d.failingSince.IsZero() {
		return false
	}
	failing := now.Sub(d.failingSince)
	return failing >= maxFailure || failing >= minFailure && now.Sub(d.answeredAt) >= maxSilence
}
