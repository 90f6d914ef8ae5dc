package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/mirror"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// JobService takes callers' calls at the entry that owns the fleet.
type JobService interface {
	Submit(ctx context.Context, m *schema.JobRecord) scheduler.Reply
	Cancel(ctx context.Context, id string) scheduler.Reply
	JobPhase(id string) scheduler.Reply
	PendingJobs(queue string) scheduler.Reply
	List(queue string) scheduler.Reply
	Explain(id string) scheduler.Reply
	Pools() scheduler.Reply
}

// term is one time that this entry owns the fleet.
type term struct {
	owner *Owner
	token store.Revision
	lease store.LeaseID

	// lock guards the scheduler; orders are carried out after it is released.
	lock      sync.Mutex
	scheduler *scheduler.Scheduler
	ready     atomic.Bool
	// confirmedAt is when the store last confirmed the ownership.
	confirmedAt    atomic.Pointer[time.Time]
	startedAt      time.Time
	pollers        map[string]bool
	goroutines     sync.WaitGroup
	ctx            context.Context
	stop           context.CancelFunc
	commitRequests chan struct{}
	// commitTimeout and failing belong to the committing goroutine; away says that no jobs are accepted for want of the store.
	commitTimeout    adaptiveTimeout
	commitsFailing   bool
	storeUnavailable atomic.Bool
	// orderTimeout follows how long servers take for an order.
	orderTimeout adaptiveTimeout
	// reportedAt belongs to the ticking goroutine.
	reportedAt time.Time
}

const (
	// maxUnconfirmedRenewal is for how long servers are held without word from the store; package scheduler waits as long.
	maxUnconfirmedRenewal = 5 * time.Second
	// tickInterval is how often what only the time decides is looked at.
	tickInterval = 100 * time.Millisecond
	// maxConfirmationAge is how old the store's word may be for orders that cannot be fenced.
	maxConfirmationAge = time.Second
)

// previousOwnerEnded says whether nobody can have held servers since now: the earlier owner was an earlier process of this
// entry, which listened where this one does, and it had owned them for longer than one before it could go on holding.
func (o *Owner) previousOwnerEnded(previous Record, now time.Time) bool {
	return previous.Name == o.self.Name && previous.Address == o.self.Address && now.Sub(previous.TakenAt) > 2*maxUnconfirmedRenewal
}

// newTerm begins a reign after that of the earlier owner.
func newTerm(o *Owner, previous Record, token store.Revision, l store.LeaseID) *term {
	now := time.Now()
	options := []scheduler.Option{}
	if o.previousOwnerEnded(previous, now) {
		options = append(options, scheduler.WithPreviousOwnerEnded())
	}
	r := &term{
		owner: o, token: token, lease: l, startedAt: now,
		scheduler: scheduler.New(o.limits, now, options...), pollers: map[string]bool{}, commitRequests: make(chan struct{}, 1),
		commitTimeout: adaptiveTimeout{minimum: minCommitTimeout, maximum: storeTimeout}, orderTimeout: adaptiveTimeout{minimum: minOrderTimeout, maximum: maxOrderTimeout},
	}
	r.confirmOwnership()
	return r
}

func (r *term) confirmOwnership() {
	t := time.Now()
	r.confirmedAt.Store(&t)
}

// confirmationAge is how long ago the store confirmed the ownership. The steady clock stands still while the machine is
// suspended, the time of day may be set: the longer of the two counts.
func (r *term) confirmationAge() time.Duration {
	t := *r.confirmedAt.Load()
	return max(time.Since(t), time.Now().Round(0).Sub(t.Round(0)))
}

func (r *term) accepting() bool {
	return r.ready.Load() && r.ctx.Err() == nil
}

// run owns the fleet until another entry does, the lease is lost or the context ends.
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
		o.logDecision(decision.Ownership, "given up, the jobs cannot be read: "+err.Error(), r.token)
		return
	}
	r.spawn(func() { mirror.New(o.deps.Store, o.deps.Registry.Prefix(), registrationSink{r}).Run(r.ctx) })
	r.ready.Store(true)
	o.deps.Metrics.Gauge("owns", 1)
	defer o.setGauges(&schema.PoolStatus{})
	defer o.deps.Metrics.Gauge("owns", 0)
	o.logDecision(decision.Ownership, "in office", r.token)
	if o.deps.Worker != nil {
		r.spawn(func() { o.deps.Worker.Run(r.ctx, workerTerm{r}) })
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

// stepDown ends the reign.
func (r *term) stepDown(reason string) {
	if r.ctx == nil || r.ctx.Err() != nil {
		return
	}
	r.owner.logDecision(decision.Ownership, "deposed: "+reason, r.token)
	r.stop()
}

// renew keeps the ownership's lease.
func (r *term) renew() {
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-t.C:
			r.renewOnce()
		}
	}
}

func (r *term) renewOnce() {
	c, stop := context.WithTimeout(r.ctx, storeTimeout)
	defer stop()
	err := r.owner.deps.Store.Keep(c, r.lease)
	var lapsed *store.LapsedError
	switch {
	case err == nil:
		r.confirmOwnership()
	case errors.As(err, &lapsed):
		r.stepDown("the lease has lapsed")
	case r.ctx.Err() == nil:
		r.owner.logDecision(decision.Dependency, "ownership not renewed: "+err.Error(), r.token)
	}
}

// update changes the scheduler's state and carries out what it asks for.
func (r *term) update(f func(s *scheduler.Scheduler, now time.Time)) {
	r.lock.Lock()
	now := time.Now()
	f(r.scheduler, now)
	orders := r.scheduler.TakeOrders()
	r.lock.Unlock()
	r.sendOrders(orders)
	r.requestCommit()
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
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-t.C:
			r.update(func(s *scheduler.Scheduler, now time.Time) { s.Tick(now) })
			r.handOverToLarger(time.Now())
			r.reportGauges(time.Now())
		}
	}
}

// reportInterval is between updates of the gauges, which are scraped every few seconds.
const reportInterval = time.Second

// reportGauges shows the fleet's figures on the metrics address.
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
}

// setGauges shows figures that only the owner has; the others show none.
func (o *Owner) setGauges(t *schema.PoolStatus) {
	o.deps.Metrics.Gauge("servers_usable", float64(t.Usable))
	o.deps.Metrics.Gauge("servers_silent", float64(t.Silent))
	o.deps.Metrics.Gauge("tasks_running", float64(t.TasksRunning))
	o.deps.Metrics.Gauge("tasks_waiting", float64(t.TasksWaiting))
}

// Submit takes a job and answers once it is stored or refused.
func (r *term) Submit(ctx context.Context, m *schema.JobRecord) scheduler.Reply {
	if r.storeUnavailable.Load() && r.JobPhase(m.Id).Result == scheduler.NotFound {
		return scheduler.Reply{Result: scheduler.Refused, Reason: storeUnavailableReason, RetryAfter: storeUnavailableRetry}
	}
	return r.callScheduler(ctx, func(s *scheduler.Scheduler, now time.Time, reply func(scheduler.Reply)) {
		s.Submit(m, now, reply)
	})
}

// Cancel ends a job and answers once that is stored.
func (r *term) Cancel(ctx context.Context, id string) scheduler.Reply {
	return r.callScheduler(ctx, func(s *scheduler.Scheduler, now time.Time, reply func(scheduler.Reply)) {
		s.Cancel(id, now, reply)
	})
}

func (r *term) callScheduler(ctx context.Context, f func(*scheduler.Scheduler, time.Time, func(scheduler.Reply))) scheduler.Reply {
	c := make(chan scheduler.Reply, 1)
	r.update(func(s *scheduler.Scheduler, now time.Time) {
		f(s, now, func(x scheduler.Reply) { c <- x })
	})
	select {
	case x := <-c:
		return x
	default:
	}
	select {
	case x := <-c:
		return x
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	return scheduler.Reply{Result: scheduler.OutcomeUnknown, Reason: "not known to be stored"}
}

// JobPhase tells where a job stands.
func (r *term) JobPhase(id string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.JobPhase(id)
}

// PendingJobs counts a queue's jobs that have not begun.
func (r *term) PendingJobs(queue string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.PendingJobs(queue)
}

// List tells where the jobs of a queue stand, those of all queues for an empty name.
func (r *term) List(queue string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.List(queue)
}

// Explain tells where a job's tasks stand and what they wait for.
func (r *term) Explain(id string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.Explain(id, time.Now())
}

// Pools tells what each pool has and what its work asks for.
func (r *term) Pools() scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.Pools(time.Now())
}
