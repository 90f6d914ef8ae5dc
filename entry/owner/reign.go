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

// reign is one time that this entry owns the fleet.
type reign struct {
	owner *Owner
	epoch store.Revision
	lease store.LeaseID

	// lock guards the scheduler; orders are carried out after it is released.
	lock      sync.Mutex
	scheduler *scheduler.Scheduler
	ready     atomic.Bool
	// contact is when the store last confirmed the ownership.
	contact atomic.Pointer[time.Time]
	began   time.Time
	keepers map[string]bool
	work    sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
	dirty   chan struct{}
	// pace and failing belong to the committing goroutine; away says that no jobs are accepted for want of the store.
	pace    pace
	failing bool
	away    atomic.Bool
	// ordering follows how long servers take for an order.
	ordering pace
	// reported belongs to the ticking goroutine.
	reported time.Time
}

const (
	// holdWithout is for how long servers are held without word from the store; package scheduler waits as long.
	holdWithout = 5 * time.Second
	// tickEvery is how often what only the time decides is looked at.
	tickEvery = 100 * time.Millisecond
	// actWithin is how old the store's word may be for orders that cannot be fenced.
	actWithin = time.Second
)

// endedBefore says whether nobody can have held servers since now: the earlier owner was an earlier process of this
// entry, which listened where this one does, and it had owned them for longer than one before it could go on holding.
func (o *Owner) endedBefore(earlier Record, now time.Time) bool {
	return earlier.Name == o.self.Name && earlier.Address == o.self.Address && now.Sub(earlier.TakenAt) > 2*holdWithout
}

// newReign begins a reign after that of the earlier owner.
func newReign(o *Owner, earlier Record, epoch store.Revision, l store.LeaseID) *reign {
	now := time.Now()
	options := []scheduler.Option{}
	if o.endedBefore(earlier, now) {
		options = append(options, scheduler.WithPreviousOwnerEnded())
	}
	r := &reign{
		owner: o, epoch: epoch, lease: l, began: now,
		scheduler: scheduler.New(o.bounds, now, options...), keepers: map[string]bool{}, dirty: make(chan struct{}, 1),
		pace: pace{least: commitLeast, most: storeLimit}, ordering: pace{least: orderLeast, most: orderMost},
	}
	r.confirm()
	return r
}

func (r *reign) confirm() {
	t := time.Now()
	r.contact.Store(&t)
}

// since is how long ago the store confirmed the ownership. The steady clock stands still while the machine is
// suspended, the time of day may be set: the longer of the two counts.
func (r *reign) since() time.Duration {
	t := *r.contact.Load()
	return max(time.Since(t), time.Now().Round(0).Sub(t.Round(0)))
}

func (r *reign) open() bool {
	return r.ready.Load() && r.ctx.Err() == nil
}

// run owns the fleet until another entry does, the lease is lost or the context ends.
func (r *reign) run(ctx context.Context) {
	r.ctx, r.stop = context.WithCancel(ctx)
	defer r.work.Wait()
	defer r.stop()
	o := r.owner
	o.lock.Lock()
	if o.left {
		o.lock.Unlock()
		return
	}
	o.reign = r
	table := o.table
	o.lock.Unlock()
	r.scheduler.SetTable(table)
	r.spawn(r.renew)
	mark, err := r.load(r.ctx)
	if err != nil {
		o.note(decision.Ownership, "given up, the jobs cannot be read: "+err.Error(), r.epoch)
		return
	}
	r.spawn(func() { mirror.New(o.ports.Store, o.ports.Registry.Prefix(), registrySink{r}).Run(r.ctx) })
	r.ready.Store(true)
	o.ports.Metrics.Gauge("owns", 1)
	defer o.gauges(&schema.PoolStatus{})
	defer o.ports.Metrics.Gauge("owns", 0)
	o.note(decision.Ownership, "in office", r.epoch)
	if o.ports.Worker != nil {
		r.spawn(func() { o.ports.Worker.Run(r.ctx, office{r}) })
	}
	r.spawn(r.tick)
	r.commit(r.ctx, mark)
}

func (r *reign) spawn(f func()) {
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		f()
	}()
}

// depose ends the reign.
func (r *reign) depose(reason string) {
	if r.ctx == nil || r.ctx.Err() != nil {
		return
	}
	r.owner.note(decision.Ownership, "deposed: "+reason, r.epoch)
	r.stop()
}

// renew keeps the ownership's lease.
func (r *reign) renew() {
	t := time.NewTicker(renewEvery)
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

func (r *reign) renewOnce() {
	c, stop := context.WithTimeout(r.ctx, storeLimit)
	defer stop()
	err := r.owner.ports.Store.Keep(c, r.lease)
	var lapsed *store.LapsedError
	switch {
	case err == nil:
		r.confirm()
	case errors.As(err, &lapsed):
		r.depose("the lease has lapsed")
	case r.ctx.Err() == nil:
		r.owner.note(decision.Dependency, "ownership not renewed: "+err.Error(), r.epoch)
	}
}

// do changes the scheduler's state and carries out what it asks for.
func (r *reign) do(f func(s *scheduler.Scheduler, now time.Time)) {
	r.lock.Lock()
	now := time.Now()
	f(r.scheduler, now)
	orders := r.scheduler.TakeOrders()
	r.lock.Unlock()
	r.carryOut(orders)
	r.kick()
}

func (r *reign) kick() {
	select {
	case r.dirty <- struct{}{}:
	default:
	}
}

func (r *reign) tick() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-t.C:
			r.do(func(s *scheduler.Scheduler, now time.Time) { s.Tick(now) })
			r.yield(time.Now())
			r.report(time.Now())
		}
	}
}

// reportEvery is between updates of the gauges, which are scraped every few seconds.
const reportEvery = time.Second

// report shows the fleet's figures on the metrics address.
func (r *reign) report(now time.Time) {
	if now.Sub(r.reported) < reportEvery {
		return
	}
	r.reported = now
	t := &schema.PoolStatus{}
	for _, p := range r.Pools().Pools {
		t.Usable += p.Usable
		t.Silent += p.Silent
		t.TasksRunning += p.TasksRunning
		t.TasksWaiting += p.TasksWaiting
	}
	r.owner.gauges(t)
}

// gauges shows figures that only the owner has; the others show none.
func (o *Owner) gauges(t *schema.PoolStatus) {
	o.ports.Metrics.Gauge("servers_usable", float64(t.Usable))
	o.ports.Metrics.Gauge("servers_silent", float64(t.Silent))
	o.ports.Metrics.Gauge("tasks_running", float64(t.TasksRunning))
	o.ports.Metrics.Gauge("tasks_waiting", float64(t.TasksWaiting))
}

// Submit takes a job and answers once it is stored or refused.
func (r *reign) Submit(ctx context.Context, m *schema.JobRecord) scheduler.Reply {
	if r.away.Load() && r.JobPhase(m.Id).Result == scheduler.NotFound {
		return scheduler.Reply{Result: scheduler.Refused, Reason: storeAway, RetryAfter: awayRetry}
	}
	return r.ask(ctx, func(s *scheduler.Scheduler, now time.Time, reply func(scheduler.Reply)) {
		s.Submit(m, now, reply)
	})
}

// Cancel ends a job and answers once that is stored.
func (r *reign) Cancel(ctx context.Context, id string) scheduler.Reply {
	return r.ask(ctx, func(s *scheduler.Scheduler, now time.Time, reply func(scheduler.Reply)) {
		s.Cancel(id, now, reply)
	})
}

func (r *reign) ask(ctx context.Context, f func(*scheduler.Scheduler, time.Time, func(scheduler.Reply))) scheduler.Reply {
	c := make(chan scheduler.Reply, 1)
	r.do(func(s *scheduler.Scheduler, now time.Time) {
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
func (r *reign) JobPhase(id string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.JobPhase(id)
}

// PendingJobs counts a queue's jobs that have not begun.
func (r *reign) PendingJobs(queue string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.PendingJobs(queue)
}

// List tells where the jobs of a queue stand, those of all queues for an empty name.
func (r *reign) List(queue string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.List(queue)
}

// Explain tells where a job's tasks stand and what they wait for.
func (r *reign) Explain(id string) scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.Explain(id, time.Now())
}

// Pools tells what each pool has and what its work asks for.
func (r *reign) Pools() scheduler.Reply {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.scheduler.Pools(time.Now())
}
