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
	"github.com/tarragonbank/tarragonbank/fleet/wave"
)

// WavePrefix is where the progress of each wave is kept.
const WavePrefix = "tarragonbank/wave/"

// progress is what is known of a wave.
type progress struct {
	startedAt  time.Time
	maintained map[string]bool
	complete   bool
	// told is the state that the operators can read, stored the number of VMs that the store knows of.
	statusStored   bool
	storedComplete bool
	storedCount    int
}

// DecodeProgress decodes the waves' progress as the store has it under WavePrefix.
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

// loadProgress reads the waves' progress.
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
		t.logDecision(decision.Record{Kind: decision.Dependency, Reason: "progress of waves not read: " + err.Error()})
		wait.For(ctx, retryInterval)
	}
	return false
}

func (t *term) restoreProgress(l []store.Item) {
	for _, i := range l {
		m := &schema.WaveProgress{}
		if err := proto.Unmarshal(i.Value, m); err != nil {
			t.logDecision(decision.Record{Reason: "progress of a wave cannot be read: " + i.Key})
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

// recordMaintained notes that a VM's maintenance has begun.
func (t *term) recordMaintained(_ context.Context, d *order) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.waves[d.wave].maintained[d.vm] = true
}

// stepWave does what the wave asks for now.
func (t *term) stepWave(ctx context.Context, w wave.Wave, loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed, now time.Time) {
	p := t.waves[w.Number]
	if p == nil {
		p = &progress{startedAt: now, maintained: map[string]bool{}}
		t.waves[w.Number] = p
	}
	t.storeProgress(ctx, w, p)
	if p.complete {
		return
	}
	plan := wave.Decide(w, p.startedAt, now, t.waveVMs(w, p, loads, needs, now))
	if plan.Complete {
		p.complete = true
		t.logDecision(decision.Record{Attempt: w.Number, Reason: "wave is complete"})
		return
	}
	for _, n := range plan.Cordon {
		t.drain(n, w.Number)
	}
	for _, n := range plan.TakeDown {
		t.orderMaintenance(n, w.Number)
	}
	t.evacuateDraining()
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
	d := t.openOrders[name]
	load := loads[v.ServerID]
	x.Standby = t.isStandby(v.Pool)
	held := now.Before(t.leasedUntil[name])
	x.Eligible = known && v.State == vm.Up && (d == nil || d.draining) && !held
	x.Cordoned = d != nil && d.draining
	x.Empty = t.isIdle(v, load)
	x.Work = load.RemainingWork + float64(load.Lasting)
	x.Surplus = spare[v.Pool] || x.Standby
	x.LongRunning = load.Lasting > 0
	down := d != nil && !d.draining && d.targetPool == ""
	switch {
	case !known:
		x.Condition = wave.Removed
	case p.maintained[name] && (down || v.State == vm.InMaintenance):
		x.Condition = wave.InMaintenance
	case p.maintained[name]:
		x.Condition = wave.Maintained
	case down, held, v.State == vm.InMaintenance:
		// It is down for another wave, or for an order of which it is not known whether it was carried out.
		x.Condition = wave.Ordered
	}
	return x
}

func (t *term) isStandby(pool string) bool {
	c := t.controller.table()
	return c != nil && c.Pools[pool].Standby
}

// poolsWithSpareVM says which pools have at least one VM more than they need.
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

// drain keeps new work from a VM until it is empty.
func (t *term) drain(name string, number int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.openOrders[name] != nil {
		return
	}
	t.openOrders[name] = &order{vm: name, wave: number, draining: true}
	t.logDecision(decision.Record{VM: name, Attempt: number, Reason: "VM is emptied for its maintenance"})
	t.owner.Do(func(s *scheduler.Scheduler, _ time.Time) { s.Cordon(name, true) })
}

// evacuateDraining moves lasting tasks from the VMs that are being emptied.
func (t *term) evacuateDraining() {
	t.lock.Lock()
	l := []string{}
	for n, d := range t.openOrders {
		if d.draining {
			l = append(l, n)
		}
	}
	t.lock.Unlock()
	slices.Sort(l)
	for _, n := range l {
		t.owner.Do(func(s *scheduler.Scheduler, now time.Time) { s.Evacuate(n, now) })
	}
}

// orderMaintenance orders the maintenance of a VM on which nothing runs.
func (t *term) orderMaintenance(name string, number int) {
	if !t.cordonIfIdle(name) {
		return
	}
	t.lock.Lock()
	d := &order{vm: name, wave: number, serverID: t.vms[name].ServerID}
	t.openOrders[name] = d
	t.pending = append(t.pending, d)
	t.lock.Unlock()
}

// isIdle says whether nothing runs on a VM: it is off, its server has told so, or no run of an earlier owner can
// be left on a server that says nothing.
func (t *term) isIdle(v vm.PlatformStatus, l scheduler.ServerLoad) bool {
	return l.Runs == 0 && (v.ServerID == "" || l.Listed || t.settled)
}

// cordonIfIdle cordons a VM and says whether nothing runs on it.
func (t *term) cordonIfIdle(name string) bool {
	v := t.vms[name]
	is := false
	t.owner.Do(func(s *scheduler.Scheduler, now time.Time) {
		s.Cordon(name, true)
		is = t.isIdle(v, s.ServerLoads(now)[v.ServerID])
	})
	if !is && t.openOrders[name] == nil {
		t.uncordon(name)
	}
	return is
}

// storeProgress stores the progress and what the operators read.
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
