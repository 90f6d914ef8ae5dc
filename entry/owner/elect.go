package owner

import (
	"context"
	"errors"
	"hash/fnv"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/mirror"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	keyPrefix      = "tarragonbank/"
	ownerKey       = keyPrefix + "owner"
	commitMarkKey  = keyPrefix + "mark"
	jobPrefix      = keyPrefix + "job/"
	progressPrefix = keyPrefix + "course/"
	logPrefix      = keyPrefix + "log/"
	// leasesKey holds the lease record, releaseKey the release of an owner that gave up the ownership by itself.
	leasesKey = keyPrefix + "leases"
	// durationsKey holds the learned distributions of task durations.
	durationsKey = keyPrefix + "durations"
	// termKey names the last owner like ownerKey, but outlives its lease. Its revision is that owner's fencing token.
	termKey    = keyPrefix + "term"
	releaseKey = keyPrefix + "released"

	// ownerLeaseTTL is how long the ownership outlives a failed owner. It is shorter than a third of a server's lease, so
	// that runs outlast the gap.
	ownerLeaseTTL = 1300 * time.Millisecond
	// renewInterval allows for several lost renewals within ownerLeaseTTL and scheduler.MaxUnconfirmedRenewal.
	renewInterval = 150 * time.Millisecond
	// storeTimeout bounds a call to the store, which takes 250 ms when it is slow.
	storeTimeout = time.Second
	// electionInterval is the time between checks of the ownership while no change is reported.
	electionInterval = 500 * time.Millisecond
	// electionSlots is the number of slots, electionSlotInterval apart, over which the entries spread their first
	// attempts.
	electionSlots        = 8
	electionSlotInterval = 15 * time.Millisecond
)

// Run acquires the ownership whenever it is free, and serves the terms, until the context ends.
func (o *Owner) Run(ctx context.Context) {
	m := mirror.New(o.deps.Store, ownerKey, ownerSink{o})
	o.ownerKey.Store(m)
	go m.Run(ctx)
	for ctx.Err() == nil {
		o.awaitWakeup(ctx)
		k, ok := o.canAcquire(m)
		if !ok {
			continue
		}
		if k.Revision == 0 {
			wait.For(ctx, o.lowCoresDelay()+o.slotDelay())
		}
		if _, still := o.canAcquire(m); still {
			o.acquireAndServe(ctx, k)
		}
	}
}

// StoreContact returns when the store last answered the watch of the owner's key, or the zero time if it never did.
func (o *Owner) StoreContact() time.Time {
	if m := o.ownerKey.Load(); m != nil {
		return m.LastContact()
	}
	return time.Time{}
}

func (o *Owner) awaitWakeup(ctx context.Context) {
	t := time.NewTimer(electionInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-o.wakeup:
	case <-t.C:
	}
}

// canAcquire returns the known owner record and whether this entry may replace it: the ownership is free, or held by an
// earlier process of this entry.
func (o *Owner) canAcquire(m *mirror.Mirror) (Record, bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.leaving || o.table == nil || m.LastContact().IsZero() {
		return Record{}, false
	}
	return o.known, o.known.Revision == 0 || o.known.Name == o.self.Name
}

// slotDelay returns this entry's delay before its attempt. It is derived from the name, so that few entries compete at
// the same time.
func (o *Owner) slotDelay() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o.self.Name))
	return time.Duration(h.Sum32()%electionSlots) * electionSlotInterval
}

// acquisition is the result of taking the ownership. askedAt is when the call was sent that started the owner lease.
// released is the release of the previous owner, nil if that did not give up the ownership by itself. vacantSince is when
// this entry knew that the previous owner had lost the ownership, zero if that may have been at any time before this one.
type acquisition struct {
	token       store.Revision
	lease       store.LeaseID
	askedAt     time.Time
	released    *schema.OwnerRelease
	vacantSince time.Time
	// predecessor is the address of the previous owner, the zero value if it is not known.
	predecessor netip.AddrPort
}

// acquireAndServe tries to acquire the ownership and, if it succeeds, serves the term until it ends.
func (o *Owner) acquireAndServe(ctx context.Context, k Record) {
	c, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	a := acquisition{askedAt: time.Now()}
	previous := make(chan previousTerm, 1)
	go func() { previous <- o.readPreviousTerm(c) }()
	var err error
	if a.lease, err = o.deps.Store.Grant(c, ownerLeaseTTL); err != nil {
		o.logDecision(decision.Dependency, "owner lease not granted: "+err.Error(), k.Revision)
		wait.For(ctx, electionInterval)
		return
	}
	if err := o.acquire(ctx, k, <-previous, &a); err != nil {
		o.logDecision(decision.Ownership, "ownership not acquired: "+err.Error(), k.Revision)
		o.revokeLease(a.lease)
		wait.For(ctx, electionSlotInterval)
		return
	}
	o.logDecision(decision.Ownership, "taken", a.token)
	r := newTerm(o, k, a)
	r.run(ctx)
	o.setTerm(nil)
	o.clearOwnRecord(a.token)
	if r.voluntary.Load() {
		r.release()
	}
	o.revokeLease(a.lease)
}

// clearOwnRecord treats this entry's record as removed after its term, until the store reports otherwise.
func (o *Owner) clearOwnRecord(token store.Revision) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.known.Revision <= token && o.known.Name == o.self.Name {
		o.known = Record{}
		o.vacancy = vacancy{revision: token, since: time.Now()}
	}
}

func (o *Owner) revokeLease(l store.LeaseID) {
	c, stop := context.WithTimeout(context.Background(), storeTimeout)
	defer stop()
	if err := o.deps.Store.Revoke(c, l); err != nil {
		o.logDecision(decision.Dependency, "owner lease not revoked, it will expire: "+err.Error(), 0)
	}
}

// acquire replaces the owner record by compare-and-swap and sets its revision, the fencing token of the new term. It
// removes the release of the previous owner, which says nothing about later ones.
func (o *Owner) acquire(ctx context.Context, k Record, last previousTerm, a *acquisition) error {
	if last.err != nil {
		return last.err
	}
	b, err := proto.Marshal(&schema.OwnerRecord{
		Name: o.self.Name, Address: o.self.Address.String(), TakenMs: time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	c, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	t := store.Transaction{
		Expected: map[string]store.Revision{ownerKey: k.Revision, releaseKey: last.releaseRevision, termKey: last.revision},
		Writes:   []store.Write{{Key: ownerKey, Value: b, Lease: a.lease}, {Key: termKey, Value: b}},
	}
	if last.releaseRevision != 0 {
		t.Deletes = []string{releaseKey}
	}
	a.token, err = o.deps.Store.Transact(c, t)
	var unknown *store.UnavailableError
	if errors.As(err, &unknown) {
		a.token, err = o.verifyAcquired(ctx, k, a.lease, err)
	}
	a.predecessor = last.address
	if err == nil && k.Revision == 0 {
		a.released = last.release
		a.vacantSince = o.vacantSince(last.revision)
	}
	return err
}

// vacantSince returns when this entry knew that the last owner, whose token is given, had lost the ownership, or zero if
// it did not learn that. No earlier owner can have been confirmed since.
func (o *Owner) vacantSince(token store.Revision) time.Time {
	o.lock.Lock()
	defer o.lock.Unlock()
	if token == 0 || o.vacancy.revision != token {
		return time.Time{}
	}
	return o.vacancy.since
}

// previousTerm is what the store tells of the previous owner: its token and its release, with the revision of that. They
// are 0 and nil if there are none.
type previousTerm struct {
	revision        store.Revision
	address         netip.AddrPort
	release         *schema.OwnerRelease
	releaseRevision store.Revision
	err             error
}

func (o *Owner) readPreviousTerm(ctx context.Context) previousTerm {
	last := make(chan store.Item, 1)
	failed := make(chan error, 1)
	go func() {
		i, err := o.readOptional(ctx, termKey)
		failed <- err
		last <- i
	}()
	i, err := o.readOptional(ctx, releaseKey)
	if err = errors.Join(err, <-failed); err != nil {
		return previousTerm{err: err}
	}
	record := <-last
	p := previousTerm{revision: record.Revision, address: ownerAddress(record), releaseRevision: i.Revision}
	if i.Revision == 0 {
		return p
	}
	m := &schema.OwnerRelease{}
	if err := proto.Unmarshal(i.Value, m); err != nil {
		o.logDecision(decision.Ownership, "malformed release: "+err.Error(), i.Revision)
		return p
	}
	p.release = m
	return p
}

// ownerAddress returns the address in an owner record, the zero value if there is none or it is malformed. The watch of the
// owner's key logs malformed records.
func ownerAddress(i store.Item) netip.AddrPort {
	m := &schema.OwnerRecord{}
	if i.Revision == 0 || proto.Unmarshal(i.Value, m) != nil {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

// readOptional reads a key once. The item has no revision if the key does not exist.
func (o *Owner) readOptional(ctx context.Context, key string) (store.Item, error) {
	i, err := o.deps.Store.Get(ctx, key)
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		return store.Item{}, nil
	}
	return i, err
}

// release gives the ownership back after the term has ended, with what the next owner needs to know of the leases. If the
// call fails, the owner lease is revoked all the same, and the next owner waits for longer.
func (r *term) release() {
	now := time.Now()
	leases, remaining := r.scheduler.Release(now)
	t := store.Transaction{Expected: map[string]store.Revision{ownerKey: r.token}, Deletes: []string{ownerKey}}
	err := addWrite(&t, leasesKey, leases)
	if err == nil {
		err = addWrite(&t, releaseKey, &schema.OwnerRelease{RemainingMs: remaining.Milliseconds() + 1})
	}
	if err == nil {
		c, stop := context.WithTimeout(context.Background(), storeTimeout)
		defer stop()
		_, err = r.owner.deps.Store.Transact(c, t)
	}
	if err != nil {
		r.owner.logDecision(decision.Ownership, "ownership not released: "+err.Error(), r.token)
		return
	}
	r.owner.logDecision(decision.Ownership, "released", r.token)
}

// verifyAcquired reads the owner key after a transaction without an answer. The transaction took effect if the key holds
// the lease that only this attempt has written.
func (o *Owner) verifyAcquired(ctx context.Context, k Record, l store.LeaseID, cause error) (store.Revision, error) {
	c, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	i, err := o.deps.Store.Get(c, ownerKey)
	if err != nil || i.Revision <= k.Revision || i.Lease != l {
		return 0, cause
	}
	return i.Revision, nil
}

func (o *Owner) setTerm(r *term) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.term = r
}

// ownerSink applies the changes of the owner key.
type ownerSink struct{ owner *Owner }

// Reset applies a full read of the key.
func (s ownerSink) Reset(l []store.Item) {
	for _, i := range l {
		if i.Key == ownerKey {
			s.Changed(store.Event{Item: i})
			return
		}
	}
	s.setRecord(Record{})
}

// Changed applies one change of the key.
func (s ownerSink) Changed(e store.Event) {
	if e.Key != ownerKey {
		return
	}
	if e.Deleted {
		if e.Revision < s.owner.Known().Revision {
			// The record that was removed has been replaced already.
			return
		}
		s.setRecord(Record{})
		s.owner.endTermBefore(e.Revision)
		return
	}
	m := &schema.OwnerRecord{}
	if err := proto.Unmarshal(e.Value, m); err != nil {
		s.owner.logDecision(decision.Ownership, "malformed owner record: "+err.Error(), e.Revision)
		return
	}
	a, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		s.owner.logDecision(decision.Ownership, "malformed address in the owner record: "+err.Error(), e.Revision)
		return
	}
	s.setRecord(Record{Name: m.Name, Address: a, Revision: e.Revision, TakenAt: time.UnixMilli(m.TakenMs)})
	if m.Name != s.owner.self.Name {
		s.owner.endTermBefore(e.Revision)
	}
}

// Failed logs that the store cannot be reached.
func (s ownerSink) Failed(err error) {
	s.owner.logDecision(decision.Dependency, "watching the owner key failed: "+err.Error(), s.owner.Known().Revision)
}

func (s ownerSink) setRecord(r Record) {
	s.owner.lock.Lock()
	changed := s.owner.known != r
	if changed && r.Revision == 0 {
		s.owner.vacancy = vacancy{revision: s.owner.known.Revision, since: time.Now()}
	}
	s.owner.known, s.owner.learned = r, Record{}
	s.owner.lock.Unlock()
	if changed {
		s.owner.logDecision(decision.Ownership, "owner is now "+r.Name, r.Revision)
		s.owner.wake()
	}
}

// endTermBefore ends this entry's term if it began before the revision.
func (o *Owner) endTermBefore(at store.Revision) {
	o.lock.Lock()
	r := o.term
	o.lock.Unlock()
	if r != nil && r.token < at {
		r.stepDown("the store names another owner or none")
	}
}
