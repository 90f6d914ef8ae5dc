package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/boottime"
	"github.com/tarragonbank/tarragonbank/entry/channel"
	"github.com/tarragonbank/tarragonbank/entry/executor"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// Ownership is what this entry knows of the fleet's owner.
type Ownership interface {
	// Current returns the job service of this entry's term, or nil if it does not own the fleet or has not loaded the jobs.
	Current() owner.JobService
	// OwnershipAge returns how old the store's last confirmation of this entry's ownership is, and false if it is not the
	// owner.
	OwnershipAge() (time.Duration, bool)
	// Known returns the owner record as last read from the store; Revision 0 means that there is none.
	Known() owner.Record
	// Stored reports whether the store has a job, and its workspace. It fails if the store does not answer.
	Stored(ctx context.Context, id string) (stored bool, workspace string, err error)
	// Learn records the owner that another entry has named.
	Learn(r owner.Record)
	// Predecessor returns the address of the owner before this entry, while that should be told of the new owner.
	Predecessor() (netip.AddrPort, bool)
	// StoreContact returns when the store last answered this entry.
	StoreContact() time.Time
	// RecordContact records that another entry called this one, with its strength in cores.
	RecordContact(name string, strength float64, now time.Time)
}

// Executors are the entries that can send the owner's orders to backend servers.
type Executors interface {
	// Join adds an entry until its channel closes. Joining again has no effect.
	Join(c executor.Candidate, x *channel.Channel)
}

// Relay answers calls at this entry if it owns the fleet, and forwards them to the owner otherwise.
type Relay struct {
	ownership Ownership
	self      owner.Identity
	executors Executors
	owner     *ownerConn
	// predecessor is the connection to the owner before this entry.
	predecessor *ownerConn
	// channelOptions are those of all channels to other entries.
	channelOptions []channel.Option
	proof          ConfigProof
	follower       configFollower
	clock          func() time.Duration
}

const (
	// callTimeout bounds a call, here or at the owner, for callers that wait for longer: it spans a takeover and a commit to
	// a slow store.
	callTimeout = 5 * time.Second
	// retryInterval is the time between attempts of a call without an answer.
	retryInterval = 50 * time.Millisecond
	// retryAfter is the retry delay that callers are told while no owner is reached; a takeover takes about 2 s.
	retryAfter   = 1500 * time.Millisecond
	pingInterval = 400 * time.Millisecond
	// ownerCheckInterval is the time between checks whether the owner has changed.
	ownerCheckInterval = 100 * time.Millisecond
	pingTimeout        = 600 * time.Millisecond
	// maxReplyAge is how old the owner's last reply may be while this entry counts as ready. With 1.1 s, the replies of an owner of 3,000
	// servers at its limit were too late, and callers were sent from entry to entry.
	maxReplyAge = 1500 * time.Millisecond
	// maxOwnershipAge is how old the store's confirmation of the ownership may be while this entry counts as ready. An owner
	// that is cut off from the store together with its data centre refuses jobs, and another one is elected once the owner
	// lease has expired, 1.3 s after the last confirmation. A slow store and the interval of pings add up to 0.7 s.
	maxOwnershipAge = 2 * time.Second
	// isolatedAttempts is the number of attempts into which an entry that is cut off divides the time that a caller waits.
	isolatedAttempts = 4
	// maxStoreSilence is how long the store may leave this entry without an answer before the entry counts as cut off from it.
	// The store answers the watch of the owner's key once a second, and a slow one up to 0.7 s later.
	maxStoreSilence = 1800 * time.Millisecond
)

// New returns a relay for this entry. Entries that call it join the executors; handle answers the calls that the owner
// makes on this entry's connection.
func New(o Ownership, self owner.Identity, x Executors, handle channel.Handler, l ...Option) *Relay {
	r := &Relay{ownership: o, self: self, executors: x, owner: &ownerConn{handle: handle}, predecessor: &ownerConn{handle: handle}, clock: boottime.Now, follower: newConfigFollower()}
	for _, f := range l {
		f(r)
	}
	r.owner.options, r.predecessor.options = r.channelOptions, r.channelOptions
	return r
}

// Option configures a new Relay.
type Option func(r *Relay)

// WithOnPanic reports unexpected errors in the handling of a call to f. The call gets no reply.
func WithOnPanic(f func(x any)) Option {
	return func(r *Relay) { r.channelOptions = append(r.channelOptions, channel.WithOnPanic(f)) }
}

// WithAccount counts the time that the coding of frames takes.
func WithAccount(a *processor.Account) Option {
	return func(r *Relay) { r.channelOptions = append(r.channelOptions, channel.WithAccount(a)) }
}

// WithConfigProof passes the proof of this entry's configuration to the entries that ping it, and takes over the owner's proof
// and its newer configurations. So an entry that reaches the owner but not the store goes by the same configuration.
func WithConfigProof(p ConfigProof) Option {
	return func(r *Relay) { r.proof = p }
}

// Call answers a call here or forwards it to the owner, within callTimeout. Failures are part of the reply: Refused means
// that the call was not carried out, OutcomeUnknown that it may have been.
//
// All calls are idempotent, so that one without an answer is repeated, at the next owner if there is a new one. An owner's
// answer settles the earlier attempts too: a job that an earlier owner had not stored before can no longer be stored.
func (r *Relay) Call(ctx context.Context, c *schema.JobCall) scheduler.Reply {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	isolatedUntil := time.Now().Add(isolatedPatience(ctx))
	sent := false
	for {
		x, reached := r.forward(ctx, c)
		switch {
		case reached && x.Result != scheduler.OutcomeUnknown:
			return x
		case !reached && r.isolated() && (sent || c.Kind == schema.JobCall_SUBMIT):
			// Neither a new owner nor the store can tell what became of the call.
			if time.Now().After(isolatedUntil) {
				return scheduler.Reply{Result: scheduler.OutcomeUnknown, RetryAfter: retryAfter, Reason: x.Reason, Cause: x.Cause}
			}
		case !reached && !sent && c.Kind == schema.JobCall_SUBMIT:
			return r.answerFromStore(ctx, c, x)
		case !reached && !sent:
			return x
		default:
			sent = true
		}
		wait.For(ctx, retryInterval)
		if ctx.Err() != nil {
			return scheduler.Reply{Result: scheduler.OutcomeUnknown, RetryAfter: retryAfter, Reason: x.Reason, Cause: x.Cause}
		}
	}
}

// answerFromStore answers a submission that did not reach an owner. An earlier attempt may have been accepted, which only
// the store can tell: the job is accepted if it is stored, refused if it is not, and unknown if the store fails. A stored job
// of another workspace is forbidden.
func (r *Relay) answerFromStore(ctx context.Context, c *schema.JobCall, refused scheduler.Reply) scheduler.Reply {
	stored, workspace, err := r.ownership.Stored(ctx, c.Id)
	switch {
	case err != nil:
		return scheduler.Reply{
			Result: scheduler.OutcomeUnknown, RetryAfter: retryAfter, Reason: refused.Reason + "; " + err.Error(), Cause: scheduler.CauseUnreached,
		}
	case stored && workspace != "" && c.Workspace != "" && workspace != c.Workspace:
		return scheduler.Reply{Result: scheduler.Forbidden}
	case stored:
		return scheduler.Reply{Result: scheduler.Done, Reason: "accepted before"}
	default:
		return refused
	}
}

// isolatedPatience returns for how long an entry that is cut off tries to reach an owner for a call: a share of the time that
// the caller waits. Callers repeat a call of unknown outcome within some 0.2 s, whatever they are told, and four times at most.
// Answered at once, they would have used up their attempts before the balancer sends them to entries that are not cut off.
func isolatedPatience(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d), 0) / isolatedAttempts
}

// isolated reports whether the store does not answer this entry, as if it were cut off.
func (r *Relay) isolated() bool {
	return time.Since(r.ownership.StoreContact()) > maxStoreSilence
}

// forward answers a call here or at the owner; reached is false if no owner can have received it.
func (r *Relay) forward(ctx context.Context, c *schema.JobCall) (x scheduler.Reply, reached bool) {
	if d := r.ownership.Current(); d != nil {
		return Invoke(ctx, d, c), true
	}
	k := r.ownership.Known()
	if k.Revision == 0 || k.Address == r.self.Address {
		return refuseWithoutOwner(scheduler.CauseOwner, "nobody owns the fleet at present"), false
	}
	m, sent, err := r.owner.call(ctx, k.Address, c)
	switch {
	case err == nil && m.Result == notOwner && r.learn(m.Owner, k.Revision):
		return r.forward(ctx, c)
	case err == nil && m.Result == notOwner:
		return refuseWithoutOwner(scheduler.CauseOwner, "the owner has just changed"), false
	case err == nil:
		return decodeReply(m), true
	case !sent:
		return refuseWithoutOwner(scheduler.CauseUnreached, "the owner is not reached: "+err.Error()), false
	default:
		return scheduler.Reply{Result: scheduler.OutcomeUnknown, Reason: "the owner did not answer: " + err.Error(), Cause: scheduler.CauseUnreached}, true
	}
}

// learn records the owner that another entry has named, and reports whether it is a later one than that of the revision.
func (r *Relay) learn(n *schema.OwnerNotice, than store.Revision) bool {
	a, err := netip.ParseAddrPort(n.GetAddress())
	if err != nil || store.Revision(n.GetRevision()) <= than {
		return false
	}
	r.ownership.Learn(owner.Record{Name: n.Name, Address: a, Revision: store.Revision(n.Revision)})
	return r.ownership.Known().Revision > than
}

// notice returns the owner as this entry knows it, nil if it knows none.
func (r *Relay) notice() *schema.OwnerNotice {
	k := r.ownership.Known()
	if k.Revision == 0 {
		return nil
	}
	return &schema.OwnerNotice{Name: k.Name, Address: k.Address.String(), Revision: uint64(k.Revision)}
}

// announce tells the owner before this entry of the new owner. Entries that the store does not answer still send their calls
// there, and learn from its replies.
func (r *Relay) announce(ctx context.Context) {
	a, ok := r.ownership.Predecessor()
	if !ok {
		return
	}
	c, stop := context.WithTimeout(ctx, pingTimeout)
	defer stop()
	// A predecessor that has gone does not answer; the next announcement follows anyway.
	_, _, _ = r.predecessor.call(c, a, &schema.JobCall{Kind: schema.JobCall_ANNOUNCE, Owner: r.notice()})
}

// refuseWithoutOwner refuses a call because no owner is reached; the caller may retry.
func refuseWithoutOwner(c scheduler.Cause, reason string) scheduler.Reply {
	return scheduler.Reply{Result: scheduler.Refused, RetryAfter: retryAfter, Reason: reason, Cause: c}
}

// Invoke calls the owner's method for a call and returns its reply. A ping is Done.
func Invoke(ctx context.Context, d owner.JobService, c *schema.JobCall) scheduler.Reply {
	switch c.Kind {
	case schema.JobCall_SUBMIT:
		return d.Submit(ctx, c.Job)
	case schema.JobCall_CANCEL:
		return d.Cancel(ctx, c.Id, c.Workspace)
	case schema.JobCall_STATE:
		return d.JobPhase(c.Id, c.Workspace)
	case schema.JobCall_PENDING:
		return d.PendingJobs(c.Queue)
	case schema.JobCall_LIST:
		return d.List(c.Queue)
	case schema.JobCall_EXPLAIN:
		return d.Explain(c.Id)
	case schema.JobCall_POOLS:
		return d.Pools()
	case schema.JobCall_WORKSPACES:
		return d.Workspaces()
	case schema.JobCall_PREVIEW:
		return d.Preview(c.Job)
	default:
		return scheduler.Reply{Result: scheduler.Done}
	}
}

// Run pings the owner until the context ends; Ready depends on its replies. A new owner is pinged at once, so that it knows
// its executors.
func (r *Relay) Run(ctx context.Context) {
	t := time.NewTicker(ownerCheckInterval)
	defer t.Stop()
	var pinged store.Revision
	var pingedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		k := r.ownership.Known()
		if k.Revision == pinged && time.Since(pingedAt) < pingInterval {
			continue
		}
		pinged, pingedAt = k.Revision, time.Now()
		r.ping(ctx, k)
		r.announce(ctx)
	}
}

func (r *Relay) ping(ctx context.Context, k owner.Record) {
	if k.Revision == 0 || k.Address == r.self.Address {
		return
	}
	c, stop := context.WithTimeout(ctx, pingTimeout)
	defer stop()
	sent, asked := r.clock(), time.Now()
	m, _, err := r.owner.call(c, k.Address, &schema.JobCall{
		Kind: schema.JobCall_PING, From: r.self.Name, Strength: r.self.Cores, DataCentre: r.self.DataCentre,
	})
	if err != nil {
		// A failed ping leaves the time of the last reply as it is, which Ready checks.
		return
	}
	if m.Result == notOwner {
		r.learn(m.Owner, k.Revision)
	} else {
		r.owner.confirm(asked.Add(-time.Duration(m.OwnershipAgeMs) * time.Millisecond))
	}
	if r.proof != nil {
		// The owner told the age after the ping was sent, so that the proof is not older than this.
		r.proof.Confirm(store.Revision(m.GetConfigRevision()), sent-time.Duration(m.GetConfigAgeMs())*time.Millisecond)
		r.followConfig(ctx, k, store.Revision(m.GetConfigRevision()))
	}
}

// addProof adds the proofs of this entry's ownership and of its configuration to the reply to a ping.
func (r *Relay) addProof(m *schema.JobReply) {
	if a, ok := r.ownership.OwnershipAge(); ok {
		m.OwnershipAgeMs = a.Milliseconds()
	}
	if r.proof == nil {
		return
	}
	v, age := r.proof.Proof()
	m.ConfigRevision, m.ConfigAgeMs = uint64(v), (age + time.Millisecond - 1).Milliseconds()
}

// Ready reports whether this entry owns the fleet or the owner replied within maxReplyAge, and the store has lately
// confirmed that ownership.
func (r *Relay) Ready() bool {
	if a, ok := r.ownership.OwnershipAge(); ok {
		return a < maxOwnershipAge
	}
	return time.Since(r.owner.lastReply()) < maxReplyAge && time.Since(r.owner.confirmedAt()) < maxOwnershipAge
}

// notOwner is the result on the wire of a call to an entry that does not own the fleet; it is no scheduler.Result.
const notOwner = -1

func decodeReply(m *schema.JobReply) scheduler.Reply {
	return scheduler.Reply{
		Result: scheduler.Result(m.Result), Phase: job.Phase(m.Phase), Pending: int(m.Pending),
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond, Reason: m.Reason, Jobs: m.Jobs, Pools: m.Pools, Workspaces: m.Workspaces,
		Preview: m.Preview,
	}
}

func encodeReply(r scheduler.Reply) *schema.JobReply {
	return &schema.JobReply{
		Result: int32(r.Result), Phase: int32(r.Phase), Pending: int32(r.Pending),
		RetryAfterMs: r.RetryAfter.Milliseconds(), Reason: r.Reason, Jobs: r.Jobs, Pools: r.Pools, Workspaces: r.Workspaces,
		Preview: r.Preview,
	}
}
