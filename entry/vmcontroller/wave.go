package vmcontroller

import (
	"context"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/wait"
	"github.com/tarragonbank/tarragonbank/fleet/rebalance"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
	"github.com/tarragonbank/tarragonbank/fleet/vmorder"
	"github.com/tarragonbank/tarragonbank/fleet/wave"
)

// WavePrefix is the store's prefix of the waves' progress; the wave's number follows.
const WavePrefix = "tarragonbank/wave/"

// progress is the state of a wave: the VMs whose maintenance has begun, and what of it is stored.
type progress struct {
	startedAt  time.Time
	maintained map[string]bool
	complete   bool
	// statusStored is true once the operators' status exists, storedComplete and storedCount are the stored completion and
	// number of maintained VMs.
	statusStored   bool
	storedComplete bool
	storedCount    int
}

// DecodeProgress decodes the items under WavePrefix. It fails if one of them is malformed.
func DecodeProgress(l []store.Item) ([]*schema.WaveProgress, error) {
	r := []*schema.WaveProgress{}
	for _, i := range l {
		m := &schema.WaveProgress{}
		if err := proto.Unmarshal(i.Value, m); err != nil {
			return nil, err
		}
		r = append(r, m)
	}
	return r, nil
}

// loadProgress reads the waves' progress and the latest orders, and retries until it succeeds. It reports false if the
// context ended before.
func (t *term) loadProgress(ctx context.Context) bool {
	for ctx.Err() == nil {
		l, err := t.owner.Read(ctx, WavePrefix)
		if err == nil {
			t.restoreProgress(l)
			err = t.loadOrders(ctx)
		}
		if err == nil {
			return true
		}
		t.logDecision(decision.Record{Kind: decision.Dependency, Reason: "waves and orders not read from the store: " + err.Error()})
		wait.For(ctx, retryInterval)
	}
	return false
}

func (t *term) restoreProgress(l []store.Item) {
	for _, i := range l {
		m := &schema.WaveProgress{}
		if err := proto.Unmarshal(i.Value, m); err != nil {
			t.logDecision(decision.Record{Reason: "stored progress of a wave cannot be decoded: " + i.Key})
			continue
		}
		p := &progress{
			startedAt: time.UnixMilli(m.BeganMs), maintained: map[string]bool{}, complete: m.Complete,
			statusStored: true, storedComplete: m.Complete, storedCount: len(m.Maintained),
		}
		for _, n := range m.Maintained {
			p.maintained[n] = true
		}
		t.waves[int(m.Number)] = p
	}
}

// recordMaintained records that a VM's maintenance for its wave has begun.
func (t *term) recordMaintained(_ context.Context, o *order) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.waves[o.wave].maintained[o.vm] = true
}

// stepWave stores the wave's progress and carries out what package wave decides for it now.
func (t *term) stepWave(ctx context.Context, w wave.Wave, loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed, now time.Time) {
	p := t.progressOf(w.Number, now)
	t.storeProgress(ctx, w, p)
	if p.complete {
		return
	}
	plan := wave.Decide(w, p.startedAt, now, t.controller.timing.MaintenanceDowntime, t.waveVMs(w, p, loads, needs, now))
	if plan.Complete {
		p.complete = true
		t.logDecision(decision.Record{Attempt: w.Number, Reason: "wave complete"})
		return
	}
	for _, n := range plan.Cordon {
		t.drain(n, w.Number)
	}
	for _, n := range plan.TakeDown {
		t.orderMaintenance(n, w.Number, now)
	}
	t.evacuateDraining()
}

// progressOf returns the progress of a wave, which starts now if it is new.
func (t *term) progressOf(number int, now time.Time) *progress {
	t.lock.Lock()
	defer t.lock.Unlock()
	p := t.waves[number]
	if p == nil {
		p = &progress{startedAt: now, maintained: map[string]bool{}}
		t.waves[number] = p
	}
	return p
}

func (t *term) waveVMs(w wave.Wave, p *progress, loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed, now time.Time) []wave.VM {
	t.lock.Lock()
	defer t.lock.Unlock()
	spare := t.poolsWithSpareVM(loads, needs)
	l := []wave.VM{}
	for _, n := range w.VMs {
		l = append(l, t.waveVM(n, p, loads, spare, now))
	}
	return l
}

func (t *term) waveVM(name string, p *progress, loads map[string]scheduler.ServerLoad, spare map[string]bool, now time.Time) wave.VM {
	v, known := t.vms[name]
	x := wave.VM{Name: name, Pool: v.Pool}
	o := t.openOrders[name]
	load := loads[v.ServerID]
	x.Standby = t.isStandby(v.Pool)
	leased := now.Before(t.leasedUntil[name])
	x.Eligible = known && v.State == vm.Up && (o == nil || o.draining) && !leased
	x.Cordoned = o != nil && o.draining
	x.Empty = t.isIdle(v, load)
	x.Work = load.RemainingWork + float64(load.LongRunning)
	x.Spare = spare[v.Pool] || x.Standby
	x.LongRunning = load.LongRunning > 0
	down := o != nil && !o.draining && o.targetPool == ""
	switch {
	case t.isRemoved(name):
		x.Condition = wave.Removed
	case p.maintained[name] && (down || v.State == vm.InMaintenance):
		x.Condition = wave.InMaintenance
	case p.maintained[name]:
		x.Condition = wave.Maintained
	case down, leased, v.State == vm.InMaintenance:
		// The VM is down for another wave, or may be down for an order of unknown outcome.
		x.Condition = wave.Ordered
	}
	return x
}

func (t *term) isStandby(pool string) bool {
	c := t.controller.table()
	return c != nil && c.Pools[pool].Standby
}

// poolsWithSpareVM returns the pools that meet their demand in cores and VMs without their largest VM.
func (t *term) poolsWithSpareVM(loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed) map[string]bool {
	have := map[string]float64{}
	largest := map[string]float64{}
	count := map[string]int{}
	for n, v := range t.vms {
		l := loads[v.ServerID]
		if t.openOrders[n] != nil || !l.Usable {
			continue
		}
		c := float64(v.Capacity.CPU) / 1000
		have[l.Pool] += c
		count[l.Pool]++
		largest[l.Pool] = max(largest[l.Pool], c)
	}
	m := map[string]bool{}
	for p, c := range have {
		m[p] = c-largest[p] >= rebalance.RequiredCores(t.controller.policy, needs[p].Cores) && count[p] > needs[p].Servers
	}
	return m
}

// drain cordons a VM until it is idle and its maintenance can be ordered.
func (t *term) drain(name string, number int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.openOrders[name] != nil {
		return
	}
	t.openOrders[name] = &order{vm: name, wave: number, draining: true}
	t.logDecision(decision.Record{VM: name, Attempt: number, Reason: "draining VM for maintenance"})
	t.owner.Update(func(s *scheduler.Scheduler, _ time.Time) { s.Cordon(name, true) })
}

// evacuateDraining moves long-running tasks away from the VMs that are being drained.
func (t *term) evacuateDraining() {
	t.lock.Lock()
	l := []string{}
	for n, o := range t.openOrders {
		if o.draining {
			l = append(l, n)
		}
	}
	t.lock.Unlock()
	slices.Sort(l)
	for _, n := range l {
		t.owner.Update(func(s *scheduler.Scheduler, now time.Time) { s.Evacuate(n, now) })
	}
}

// orderMaintenance plans the order for a VM's maintenance if the budget allows it and the VM is idle.
func (t *term) orderMaintenance(name string, number int, now time.Time) {
	t.lock.Lock()
	ok := t.mayOrder(vmorder.Needed, now)
	t.lock.Unlock()
	if ok && t.cordonIfIdle(name) {
		t.plan(&order{vm: name, wave: number})
	}
}

// plan opens an order for a VM, which is sent at the end of the step.
func (t *term) plan(o *order) {
	t.lock.Lock()
	defer t.lock.Unlock()
	o.serverID = t.vms[o.vm].ServerID
	t.owner.Update(func(s *scheduler.Scheduler, now time.Time) { o.startedAt = s.ServerLoad(o.serverID, now).StartedAt })
	t.openOrders[o.vm] = o
	t.pending = append(t.pending, o)
}

// isIdle reports whether nothing runs on a VM: it is switched off, its server has listed no runs, or its server has sent no
// listing but no run of a previous owner can be left.
func (t *term) isIdle(v vm.PlatformStatus, l scheduler.ServerLoad) bool {
	return l.Runs == 0 && (v.ServerID == "" || l.Listed || t.previousLeasesExpired)
}

// cordonIfIdle cordons a VM and reports whether it is idle. If it is not, it is uncordoned again unless it has an open order.
func (t *term) cordonIfIdle(name string) bool {
	v := t.vms[name]
	idle := false
	t.owner.Update(func(s *scheduler.Scheduler, now time.Time) {
		s.Cordon(name, true)
		idle = t.isIdle(v, s.ServerLoad(v.ServerID, now))
	})
	t.lock.Lock()
	defer t.lock.Unlock()
	if !idle && t.openOrders[name] == nil {
		t.uncordon(name)
	}
	return idle
}

// storeProgress stores the progress if it has changed, and with it the operators' status.
func (t *term) storeProgress(ctx context.Context, w wave.Wave, p *progress) {
	t.lock.Lock()
	m := &schema.WaveProgress{Number: int32(w.Number), BeganMs: p.startedAt.UnixMilli(), Complete: p.complete}
	for n := range p.maintained {
		m.Maintained = append(m.Maintained, n)
	}
	t.lock.Unlock()
	slices.Sort(m.Maintained)
	if p.statusStored && p.storedCount == len(m.Maintained) && p.storedComplete == p.complete {
		return
	}
	b, err := proto.Marshal(m)
	if err != nil {
		t.logDecision(decision.Record{Reason: "progress of a wave cannot be encoded: " + err.Error()})
		return
	}
	l := []store.Write{{Key: WavePrefix + strconv.Itoa(w.Number), Value: b}}
	if !p.statusStored || p.storedComplete != p.complete {
		l = append(l, t.controller.statuses.Status(w.Number, p.complete))
	}
	if err := t.owner.Write(ctx, l); err != nil {
		t.logDecision(decision.Record{Kind: decision.Dependency, Reason: "progress of a wave not stored: " + err.Error()})
		return
	}
	p.statusStored, p.storedComplete, p.storedCount = true, p.complete, len(m.Maintained)
}
