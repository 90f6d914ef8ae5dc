package steward

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// term is the steward's state for one reign.
type term struct {
	steward *Steward
	office  owner.Term
	// orders counts those that are out.
	orders sync.WaitGroup

	// lock guards what follows; orders that are answered change it.
	lock   sync.Mutex
	vms    map[string]vm.PlatformStatus
	listed time.Time
	logged time.Time
	// settled says that no run of an earlier owner can be left unknown.
	settled bool
	duties  map[string]*duty
	done    map[int]*progress
	surplus map[string]time.Time
	barred  map[[2]string]bool
	// ordered is when each VM was last given an order, by any entry; embargo is until when it obeys another one.
	ordered map[string]time.Time
	embargo map[string]time.Time
	// wanted are the orders of this step, which are stored before they are given.
	wanted []*duty
}

// duty is an order for a VM until the VM is back.
type duty struct {
	vm   string
	wave int
	// pool is where the VM goes; empty for maintenance.
	pool     string
	server   string
	sent     time.Time
	answered bool
	inFlight bool
	accepted time.Time
	// seenAway says that the list has shown the VM as away since.
	seenAway bool
	// prepared says that the VM is only being emptied so far.
	prepared bool
}

func newTerm(s *Steward, o owner.Term) *term {
	return &term{
		steward: s, office: o, vms: map[string]vm.PlatformStatus{}, duties: map[string]*duty{}, done: map[int]*progress{},
		surplus: map[string]time.Time{}, barred: map[[2]string]bool{},
		ordered: map[string]time.Time{}, embargo: map[string]time.Time{},
	}
}

func (t *term) step(ctx context.Context) {
	if _, fresh := t.office.FencingToken(); !fresh {
		return
	}
	now := time.Now()
	if now.Sub(t.listed) > listEvery && !t.list(ctx) {
		return
	}
	t.review(now)
	var loads map[string]scheduler.ServerLoad
	var needs map[string]scheduler.PoolNeed
	t.office.Do(func(x *scheduler.Scheduler, now time.Time) {
		loads = x.ServerLoads(now)
		t.settled = x.Settled(now)
		needs = x.PoolNeeds(now)
	})
	t.repeat(ctx, now)
	for _, w := range t.steward.openWaves() {
		t.stepWave(ctx, w, loads, needs, now)
	}
	t.stepMoves(loads, needs, now)
	t.giveWanted(ctx)
}

// list reads the list of VMs.
func (t *term) list(ctx context.Context) bool {
	c, stop := context.WithTimeout(ctx, listLimit)
	defer stop()
	l, err := t.steward.fleet.List(c)
	if err != nil {
		if ctx.Err() == nil {
			t.note(decision.Record{Kind: decision.Dependency, Reason: "list of VMs not read: " + err.Error()})
		}
		return false
	}
	m := map[string]vm.PlatformStatus{}
	for _, v := range l {
		m[v.Name] = v
	}
	t.vms = m
	t.listed = time.Now()
	return true
}

// review ends the duties of VMs that are back.
func (t *term) review(now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for n, d := range t.duties {
		v, known := t.vms[n]
		if !known {
			t.end(d, "VM is gone")
			continue
		}
		if d.prepared || d.inFlight || !d.answered {
			continue
		}
		if v.State != vm.Up {
			d.seenAway = true
			continue
		}
		if t.stayed(d, v) {
			t.end(d, "VM has stayed: the order was carried out before")
			t.office.Do(func(s *scheduler.Scheduler, _ time.Time) { s.TerminationFailed(d.server) })
			continue
		}
		back := d.seenAway || now.Sub(d.accepted) > t.away(d)
		moved := d.pool == "" || v.Pool == d.pool
		served := v.ServerID != d.server || t.standby(v.Pool)
		if back && moved && served && t.listed.After(d.accepted.Add(t.away(d))) {
			t.end(d, "VM is back")
		}
	}
}

// stayed says whether a VM goes on as it was, though the order was accepted: an earlier owner's order has had its
// effect, which this one did not know.
func (t *term) stayed(d *duty, v vm.PlatformStatus) bool {
	return !d.seenAway && v.ServerID != "" && v.ServerID == d.server && t.listed.After(d.accepted.Add(t.away(d)+stayedMargin))
}

// stayedMargin is how much longer than its order takes a VM may seem to stay: the list is read each half second.
const stayedMargin = time.Second

// away is how long a VM is away for the duty.
func (t *term) away(d *duty) time.Duration {
	if d.pool != "" {
		return t.steward.bounds.Move
	}
	return t.steward.bounds.Maintenance
}

// end forgets a duty; the caller holds the lock.
func (t *term) end(d *duty, reason string) {
	delete(t.duties, d.vm)
	t.note(decision.Record{VM: d.vm, Pool: d.pool, Attempt: d.wave, Reason: reason})
	t.uncordon(d.vm)
}

func (t *term) note(r decision.Record) {
	r.Time = time.Now()
	if r.Kind == 0 {
		r.Kind = decision.Maintenance
	}
	t.steward.log.Add(r)
}

// repeat gives orders that were not answered again.
func (t *term) repeat(ctx context.Context, now time.Time) {
	t.lock.Lock()
	l := []*duty{}
	for _, d := range t.duties {
		if !d.prepared && !d.answered && !d.inFlight && now.Sub(d.sent) > orderAgain {
			l = append(l, d)
		}
	}
	t.lock.Unlock()
	for _, d := range l {
		t.give(ctx, d)
	}
}

// give sends the order of a duty.
func (t *term) give(ctx context.Context, d *duty) {
	fence, fresh := t.office.FencingToken()
	if !fresh {
		return
	}
	t.lock.Lock()
	d.inFlight = true
	d.prepared = false
	d.sent = time.Now()
	t.lock.Unlock()
	t.orders.Add(1)
	go func() {
		defer t.orders.Done()
		c, stop := context.WithTimeout(ctx, orderLimit)
		defer stop()
		a, err := t.send(c, d, Stamp{Holder: t.steward.name, Fence: fence})
		t.answered(ctx, d, a, err)
	}()
}

func (t *term) send(ctx context.Context, d *duty, s Stamp) (Answer, error) {
	if d.pool != "" {
		return t.steward.fleet.Move(ctx, d.vm, d.pool, s)
	}
	return t.steward.fleet.Maintain(ctx, d.vm, d.wave, s)
}

// answered takes the platform's answer to an order.
func (t *term) answered(ctx context.Context, d *duty, a Answer, err error) {
	r := decision.Record{VM: d.vm, Pool: d.pool, Attempt: d.wave, Reason: "order " + a.String(), Duration: time.Since(d.sent)}
	if err != nil {
		r.Reason += ": " + err.Error()
	}
	t.note(r)
	t.lock.Lock()
	d.inFlight = false
	switch a {
	case Accepted:
		d.answered = true
		d.accepted = time.Now()
	case Unanswered:
	case Impossible:
		if d.pool != "" {
			v := t.vms[d.vm]
			t.barred[[2]string{v.Kind(), d.pool}] = true
		}
		t.end(d, "order is impossible")
	default:
		t.end(d, "order was turned away")
	}
	t.lock.Unlock()
	if a != Accepted {
		return
	}
	t.office.Do(func(s *scheduler.Scheduler, now time.Time) { s.ServerTerminated(d.server, now) })
	if d.wave > 0 && d.pool == "" {
		t.maintained(ctx, d)
	}
}
