package scheduler

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// previousOwner is what is known of the leases that previous owners have renewed.
type previousOwner struct {
	// previousLostAt is when the previous owner had lost the ownership for certain. previousLeasesExpireAt is when every lease that
	// a previous owner can have renewed has expired, previousLease the longest lease that it can have requested.
	previousLostAt         time.Time
	previousLeasesExpireAt time.Time
	previousLease          time.Duration
	leaseRecord            leaseRecordState
}

const (
	// MaxUnconfirmedRenewal is how long an owner renews server leases after the store last confirmed its ownership. With the
	// leases themselves, runs outlast a store outage of 5.7 s. A successor waits for both.
	MaxUnconfirmedRenewal = 1100 * time.Millisecond
	// maxLeaseDuration bounds the requested leases. They have to outlast a takeover, which takes up to 3 s.
	maxLeaseDuration = 5 * time.Second
	// leaseRenewalPercent is the percentage of the longest lease that is requested at most. A shorter lease lets the tasks
	// of a lost server restart sooner.
	leaseRenewalPercent = 83
	// leaseExpiryPercent is the percentage of a lease's duration after which it has expired even on a server whose clock
	// runs 2% slow and was last read some seconds before the renewal.
	leaseExpiryPercent = 103
	// leaseRecordDelay is how long a server has not answered a new owner before the lease record lists it; one that has
	// answered is listed as soon as it is unreachable. Until the record has been stored without it, a server that answers
	// again gets no renewal.
	leaseRecordDelay = 500 * time.Millisecond
	// leaseRecordInterval is the time between lease records with the same servers, which then have less time left.
	leaseRecordInterval = 500 * time.Millisecond
)

// leaseDuration returns the lease that is requested with each renewal.
func (l Limits) leaseDuration() time.Duration {
	return min(l.MaxLease*leaseRenewalPercent/100, maxLeaseDuration)
}

// longestLease returns the time after which a lease that an order has begun or extended has surely expired.
func (l Limits) longestLease() time.Duration {
	return l.MaxLease*leaseExpiryPercent/100 + leaseExpiryMargin
}

// Predecessor is what an owner knows of the owner before it.
type Predecessor struct {
	// Lease is the longest lease that it requested.
	Lease time.Duration
	// Renewal is how long it can have gone on renewing leases after it had lost the ownership.
	Renewal time.Duration
	// Remaining, if it is longer, is the time from then until all leases have expired.
	Remaining time.Duration
	// LostAt is when it had lost the ownership for certain, zero if that is not known before the takeover.
	LostAt time.Time
}

// SetPredecessor sets how long the leases last that were renewed before the takeover.
func (s *Scheduler) SetPredecessor(p Predecessor) {
	s.previousLease = p.Lease
	s.previousLostAt = s.startedAt
	if !p.LostAt.IsZero() && p.LostAt.Before(s.startedAt) {
		s.previousLostAt = p.LostAt
	}
	s.previousLeasesExpireAt = s.previousLostAt.Add(max(p.Renewal+p.Lease*leaseExpiryPercent/100+leaseExpiryMargin, p.Remaining))
}

// LeaseTerms returns the longest lease that this owner requests and how long it renews leases without a confirmation of
// its ownership.
func (s *Scheduler) LeaseTerms() (lease, renewal time.Duration) {
	return s.limits.leaseDuration(), MaxUnconfirmedRenewal
}

// leaseRecordState is the state of the stored lease record.
type leaseRecordState struct {
	// due is true if the next batch includes a new record.
	due bool
	// writtenAt is when the last record was built, servers the number of servers in it.
	writtenAt time.Time
	servers   int
	// strays is the number of strays in it.
	strays int
}

// updateLeaseRecord requests a new lease record if the servers in it have changed or it is too old.
func (s *Scheduler) updateLeaseRecord(now time.Time) {
	n := 0
	s.operations.Servers += int64(len(s.servers))
	for _, v := range s.servers {
		listed := v.belongsInLeaseRecord(now)
		if listed {
			n++
		}
		if listed != v.leaseRecorded {
			s.leaseRecord.due = true
		}
	}
	if n != s.leaseRecord.servers || s.countRecordedStrays() != s.leaseRecord.strays || n > 0 && now.Sub(s.leaseRecord.writtenAt) >= leaseRecordInterval {
		s.leaseRecord.due = true
	}
}

// belongsInLeaseRecord reports whether the server has runs and is unreachable, for leaseRecordDelay if it has never answered.
func (v *serverState) belongsInLeaseRecord(now time.Time) bool {
	return !v.reachable && len(v.runs) > 0 && !v.terminated && (v.listingClock > 0 || now.Sub(v.unreachableSince) >= leaseRecordDelay)
}

// buildLeaseRecord returns the lease record for the batch with the number.
func (s *Scheduler) buildLeaseRecord(batch uint64, now time.Time) *schema.LeaseRecord {
	m := &schema.LeaseRecord{}
	for _, v := range s.serversByID() {
		m.Strays = append(m.Strays, v.strayRecords()...)
		if !v.belongsInLeaseRecord(now) {
			v.unrecordedBy = batch
			continue
		}
		v.leaseRecorded, v.unrecordedBy = true, 0
		m.Servers = append(m.Servers, &schema.ServerLease{
			Server: v.info.ID, BornMs: v.info.StartedAt.UnixMilli(), RemainingMs: s.remainingLease(v, now).Milliseconds() + 1,
		})
	}
	s.leaseRecord = leaseRecordState{writtenAt: now, servers: len(m.Servers), strays: len(m.Strays)}
	if proto.Size(m) > s.limits.valueBytes() {
		m.Strays = sumStrays(m.Strays)
	}
	return m
}

// leaseRecordCommitted allows the renewal of the leases that the stored record has left out.
func (s *Scheduler) leaseRecordCommitted(batch uint64) {
	for _, v := range s.servers {
		if v.leaseRecorded && v.unrecordedBy == batch {
			v.leaseRecorded = false
			s.needsPlan = true
		}
	}
}

// remainingLease returns the time until the lease of an unreachable server has expired, whoever renewed it.
func (s *Scheduler) remainingLease(v *serverState, now time.Time) time.Duration {
	if v.listingClock == 0 {
		return max(s.previousExpiry(v).Sub(now), 0)
	}
	return max((v.leaseUntil+leaseExpiryMargin-v.minClock(now))*100/(100-maxClockDriftPercent), 0)
}

// previousExpiry returns when the lease that previous owners renewed has expired on a server that this owner has not
// reached.
func (s *Scheduler) previousExpiry(v *serverState) time.Time {
	if v.previousExpiry.IsZero() {
		return s.previousLeasesExpireAt
	}
	return v.previousExpiry
}

// RestoreLeases takes over the lease record of the previous owner, which stored it before it lost the ownership.
func (s *Scheduler) RestoreLeases(m *schema.LeaseRecord) {
	for _, l := range m.GetServers() {
		v := s.inheritedServer(l.Server, time.UnixMilli(l.BornMs))
		if v == nil || v.info.StartedAt.UnixMilli() != l.BornMs {
			continue
		}
		v.leaseRecorded = true
		v.previousExpiry = s.previousLostAt.Add(time.Duration(l.RemainingMs) * time.Millisecond)
	}
	s.restoreStrays(m.GetStrays())
}

// Release returns what an owner that gives up the ownership leaves to the next one: the lease record, and the time until
// the leases of all other servers have expired.
func (s *Scheduler) Release(now time.Time) (*schema.LeaseRecord, time.Duration) {
	remaining := s.limits.leaseDuration()*leaseExpiryPercent/100 + leaseExpiryMargin
	remaining = max(remaining, s.previousLeasesExpireAt.Sub(now))
	return s.buildLeaseRecord(0, now), remaining
}
