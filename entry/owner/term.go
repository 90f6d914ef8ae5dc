package owner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/mirror"
	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/fleet/loss"
	"github.com/tarragonbank/tarragonbank/fleet/outage"
	"github.com/tarragonbank/tarragonbank/fleet/overload"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// term is one period of this entry's ownership. token is its fencing token: the revision of the owner record.
type term struct {
	owner *Owner
	token store.Revision
	lease store.LeaseID

	// lock guards the scheduler, applied and pollers. It is released before orders are sent.
	lock      sync.Mutex
	scheduler *scheduler.Scheduler
	// applied is closed, and replaced, when the scheduler is told that a batch is stored.
	applied chan struct{}
	// ready is true once the stored jobs are loaded.
	ready atomic.Bool
	// confirmedAt is when the store last confirmed the ownership.
	confirmedAt atomic.Pointer[time.Time]
	startedAt   time.Time
	// previousAddress is the address of the previous owner, the zero value if it is not known.
	previousAddress netip.AddrPort
	// released is the release of the previous owner, nil if there is none. previousEnded is true if that owner renews no
	// lease any more.
	released      *schema.OwnerRelease
	previousEnded bool
	// vacantSince is when the previous owner had lost the ownership, zero if that is not known.
	vacantSince time.Time
	// voluntary is true once this entry gives up the ownership by itself.
	voluntary atomic.Bool
	// renewalsFailing is true from a failed renewal of the owner lease, which is logged, to the next one that succeeds.
	renewalsFailing atomic.Bool
	// pollers are the IDs of the servers that a goroutine polls.
	pollers        map[string]bool
	goroutines     sync.WaitGroup
	ctx            context.Context
	stop           context.CancelFunc
	commitRequests chan struct{}
	commitTimeout  adaptiveTimeout
	// storeLock guards what is known of the store: whether commits fail, and whether new jobs are refused because of it.
	storeLock        sync.Mutex
	store            outage.Detector
	commitsFailing   bool
	storeUnavailable bool
	// orderTimeout is the timeout of orders to servers.
	orderTimeout adaptiveTimeout
	// orders are those to start and stop runs.
	orders orderQueue
	// pollTurns spreads the polls of servers that have not answered lately.
	pollTurns pollTurns
	// reportedAt, operations, those of the scheduler at the last report, and delays and throughput belong to the goroutine of tick. overloaded is true while new jobs are refused because this
	// process has too little processor.
	reportedAt time.Time
	operations scheduler.Operations
	delays     overload.Detector
	throughput throughputMeter
	overloaded atomic.Bool
}

const (
	// tickInterval is the time between calls of the scheduler's Tick.
	tickInterval = 100 * time.Millisecond
	// MaxConfirmationAge is how old the store's confirmation may be for orders that cannot be fenced.
	MaxConfirmationAge = time.Second
	// minPreviousTerm is twice as long as owners, also those of earlier versions, renew leases without a confirmation.
	minPreviousTerm = 4 * time.Second
)

// previousOwnerEnded reports whether no previous owner can renew a server lease from now on. That holds if the last one
// was an earlier process of this entry on the same address, which has therefore ended, and had owned the fleet for longer
// than its own predecessor could have kept renewing.
func (o *Owner) previousOwnerEnded(previous Record, now time.Time) bool {
	return previous.Name == o.self.Name && previous.Address == o.self.Address &&
		now.Sub(previous.TakenAt) > minPreviousTerm
}

// newTerm returns a term that follows the previous owner's; run serves it.
func newTerm(o *Owner, previous Record, a acquisition) *term {
	now := time.Now()
	r := &term{
		owner: o, token: a.token, lease: a.lease, startedAt: now, released: a.released, vacantSince: a.vacantSince, previousAddress: a.predecessor,
		previousEnded: a.released != nil || o.previousOwnerEnded(previous, now),
		scheduler:     scheduler.New(o.limits, now), applied: make(chan struct{}), pollers: map[string]bool{},
		commitRequests: make(chan struct{}, 1),
		commitTimeout:  adaptiveTimeout{minimum: minCommitTimeout, maximum: storeTimeout},
		orderTimeout:   adaptiveTimeout{minimum: minOrderTimeout, maximum: maxOrderTimeout},
		orders:         orderQueue{limit: o.deps.MaxOrders},
		pollTurns:      newPollTurns(o.self.Cores),
		throughput:     throughputMeter{learned: overload.NewThroughput(o.self.Cores)},
	}
	r.confirmOwnership(a.askedAt)
	return r
}

// confirmOwnership records that the store has confirmed the ownership in answer to a call that was sent at t. The owner
// lease runs from the arrival of such a call, so the age of a confirmation counts from then.
func (r *term) confirmOwnership(t time.Time) {
	if old := r.confirmedAt.Load(); old == nil || t.After(*old) {
		r.confirmedAt.Store(&t)
	}
}

// confirmationAge returns how long ago the store confirmed the ownership. The monotonic clock stops while the machine is
// suspended and the wall clock may be set, so the longer of the two durations counts.
func (r *term) confirmationAge() time.Duration {
	t := *r.confirmedAt.Load()
	return max(time.Since(t), time.Now().Round(0).Sub(t.Round(0)))
}

// accepting reports whether the term answers callers.
func (r *term) accepting() bool {
	return r.ready.Load() && r.ctx.Err() == nil
}

// run serves the term until another entry owns the fleet, the lease expires, this entry steps down or the context ends.
func (r *term) run(ctx context.Context) {
	r.ctx, r.stop = context.WithCancel(ctx)
	defer r.goroutines.Wait()
	defer r.stop()
	o := r.owner
	o.lock.Lock()
	if o.leaving {
		o.lock.Unlock()
		return
	}
	o.term = r
	table := o.table
	o.lock.Unlock()
	r.scheduler.SetTable(table)
	r.spawn(r.renew)
	mark, err := r.load(r.ctx)
	if err != nil {
		o.logDecision(decision.Ownership, loss.ReasonTermEnded+", stored jobs not read: "+err.Error(), r.token)
		return
	}
	r.limitUrgentPolls()
	r.pollRemembered()
	r.spawn(func() { mirror.New(o.deps.Store, o.deps.Registry.Prefix(), registrationSink{r}).Run(r.ctx) })
	r.ready.Store(true)
	o.deps.Metrics.Gauge("owns", 1)
	defer o.setGauges(&schema.PoolStatus{})
	defer o.deps.Metrics.Gauge("owns", 0)
	o.logDecision(decision.Ownership, loss.ReasonTermStarted, r.token)
	if o.deps.Controller != nil {
		r.spawn(func() { o.deps.Controller.Run(r.ctx, controllerTerm{r}) })
	}
	r.spawn(r.tick)
	r.commitBatches(r.ctx, mark)
}

func (r *term) spawn(f func()) {
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		f()
	}()
}

// stepDown ends the term and logs the reason.
func (r *term) stepDown(reason string) {
	if r.ctx == nil || r.ctx.Err() != nil {
		return
	}
	r.owner.logDecision(decision.Ownership, loss.ReasonTermEnded+": "+reason, r.token)
	r.stop()
}

// leave ends the term by this entry's own decision, so that the next owner need not wait for the owner lease to expire.
func (r *term) leave(reason string) {
	r.voluntary.Store(true)
	r.stepDown(reason)
}

// renew renews the owner lease every renewInterval, without waiting for the answers: one that is lost must not delay the next
// confirmation.
func (r *term) renew() {
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-t.C:
			r.spawn(r.renewOnce)
		}
	}
}

func (r *term) renewOnce() {
	c, stop := context.WithTimeout(r.ctx, storeTimeout)
	defer stop()
	began := time.Now()
	err := r.owner.deps.Store.KeepAlive(c, r.lease)
	var expired *store.LeaseExpiredError
	switch {
	case err == nil:
		r.storeAnswered()
		r.renewalsFailing.Store(false)
		r.confirmOwnership(began)
	case errors.As(err, &expired):
		r.stepDown("the owner lease has expired")
	case r.ctx.Err() == nil && !r.renewalsFailing.Swap(true):
		r.owner.logDecision(decision.Dependency, "owner lease not renewed: "+err.Error(), r.token)
	}
}

// update changes the scheduler's state, sends the orders that follow and requests a commit. Its time counts for the activity.
func (r *term) update(a processor.Activity, f func(s *scheduler.Scheduler, now time.Time)) {
	r.sendOrders(r.apply(a, f))
	r.requestCommit()
}

// apply changes the scheduler's state and returns the orders that follow. A panic ends the term, since the state may be
// half changed then; the next term, here or at another entry, begins from what is stored.
func (r *term) apply(a processor.Activity, f func(s *scheduler.Scheduler, now time.Time)) scheduler.Orders {
	r.lock.Lock()
	defer r.lock.Unlock()
	defer r.owner.deps.Account.Since(a, time.Now())
	defer func() {
		if x := recover(); x != nil {
			r.stepDown(fmt.Sprintf("unexpected error: %v at %s", x, debug.Stack()))
		}
	}()
	if r.ctx != nil && r.ctx.Err() != nil {
		return scheduler.Orders{}
	}
	now := time.Now()
	r.observeConfigAge(now)
	f(r.scheduler, now)
	return r.scheduler.TakeOrders()
}

// observeConfigAge tells the scheduler the present age of the configuration, so that no decision uses an older one.
func (r *term) observeConfigAge(now time.Time) {
	if f := r.owner.deps.ConfigAge; f != nil {
		r.scheduler.SetConfigAge(f(), now)
	}
}

func (r *term) requestCommit() {
	select {
	case r.commitRequests <- struct{}{}:
	default:
	}
}

func (r *term) tick() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	defer r.owner.workspaces.endTerm()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-t.C:
			r.detectOverload(time.Now())
			r.boundStarts(time.Now())
			r.limitUrgentPolls()
			r.update(processor.Tick, func(s *scheduler.Scheduler, now time.Time) { s.Tick(now) })
			r.handOverToLarger(time.Now())
			r.reportGauges(time.Now())
		}
	}
}

// detectOverload refuses new jobs from when this process is overloaded until it keeps up again.
func (r *term) detectOverload(now time.Time) {
	r.delays.Observe(tickInterval, now)
	if o := r.delays.Overloaded(); r.overloaded.Swap(o) != o {
		reason := "this process keeps up again, jobs are accepted"
		if o {
			reason = "this process is overloaded, new jobs are refused"
		}
		r.owner.logDecision(decision.Ownership, reason+": mean delay "+r.delays.Delay().Round(time.Millisecond).String(), r.token)
	}
}

// reportInterval is the time between updates of the gauges, which are scraped every few seconds.
const reportInterval = time.Second

// reportGauges updates the gauges of the whole fleet once per reportInterval.
func (r *term) reportGauges(now time.Time) {
	if now.Sub(r.reportedAt) < reportInterval {
		return
	}
	r.reportedAt = now
	t := &schema.PoolStatus{}
	for _, p := range r.Pools().Pools {
		t.Usable += p.Usable
		t.Silent += p.Silent
		t.TasksRunning += p.TasksRunning
		t.TasksWaiting += p.TasksWaiting
	}
	r.owner.setGauges(t)
	r.owner.workspaces.report(r.Workspaces().Workspaces)
	r.owner.deps.Metrics.Gauge("owner_delay_seconds", r.delays.Delay().Seconds())
	r.reportOperations()
}

// reportOperations counts what the scheduler has looked at since the last report, by kind.
func (r *term) reportOperations() {
	r.lock.Lock()
	o := r.scheduler.Operations()
	r.lock.Unlock()
	d := o.Sub(r.operations)
	r.operations = o
	for k, n := range map[string]int64{
		"passes": d.Passes, "waiting": d.Waiting, "jobs": d.Jobs, "steps": d.Steps, "tasks": d.Tasks, "servers": d.Servers, "runs": d.Runs, "comparisons": d.Comparisons, "speeds": d.Speeds,
	} {
		r.owner.deps.Metrics.TaggedCount("scheduler_operations", map[string]string{"kind": k}, n)
	}
}

// setGauges sets the gauges that only the owner reports; they are 0 at the other entries.
func (o *Owner) setGauges(t *schema.PoolStatus) {
	o.deps.Metrics.Gauge("servers_usable", float64(t.Usable))
	o.deps.Metrics.Gauge("servers_silent", float64(t.Silent))
	o.deps.Metrics.Gauge("tasks_running", float64(t.TasksRunning))
	o.deps.Metrics.Gauge("tasks_waiting", float64(t.TasksWaiting))
}
