package steward

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
	began      time.Time
	maintained map[string]bool
	complete   bool
	// told is the state that the operators can read, stored the number of VMs that the store knows of.
	toldRunning  bool
	toldComplete bool
	stored       int
}

// Waves decodes the waves' progress as the store has it under WavePrefix.
func Waves(l []store.Item) ([]*schema.WaveProgress, error) {
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

// load reads the waves' progress.
func (t *term) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		l, err := t.office.Read(ctx, WavePrefix)
		if err == nil {
			t.restore(l)
			err = t.loadOrders(ctx)
		}
		if err == nil {
			return true
		}
		t.note(decision.Record{Kind: decision.Dependency, Reason: "progress of waves not read: " + err.Error()})
		wait.For(ctx, orderAgain)
	}
	return false
}

func (t *term) restore(l []store.Item) {
	for _, i := range l {
		m := &schema.WaveProgress{}
		if err := proto.Unmarshal(i.Value, m); err != nil {
			t.note(decision.Record{Reason: "progress of a wave cannot be read: " + i.Key})
			continue
		}
		p := &progress{
			began: time.UnixMilli(m.BeganMs), maintained: map[string]bool{}, complete: m.Complete,
			toldRunning: true, toldComplete: m.Complete, stored: len(m.Maintained),
		}
		for _, n := range m.Maintained {
			p.maintained[n] = true
		}
		t.done[int(m.Number)] = p
	}
}

// maintained notes that a VM's maintenance has begun.
func (t *term) maintained(_ context.Context, d *duty) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.done[d.wave].maintained[d.vm] = true
}

// stepWave does what the wave asks for now.
func (t *term) stepWave(ctx context.Context, w wave.Wave, loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed, now time.Time) {
	p := t.done[w.Number]
	if p == nil {
		p = &progress{began: now, maintained: map[string]bool{}}
		t.done[w.Number] = p
	}
	t.tell(ctx, w, p)
	if p.complete {
		return
	}
	plan := wave.Decide(w, p.began, now, t.waveVMs(w, p, loads, needs, now))
	if plan.Complete {
		p.complete = true
		t.note(decision.Record{Attempt: w.Number, Reason: "wave is complete"})
		return
	}
	for _, n := range plan.Cordon {
		t.prepare(n, w.Number)
	}
	for _, n := range plan.TakeDown {
		t.takeDown(n, w.Number)
	}
	t.evacuate()
}

func (t *term) waveVMs(w wave.Wave, p *progress, loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed, now time.Time) []wave.VM {
	t.lock.Lock()
	defer t.lock.Unlock()
	spare := t.spare(loads, needs)
	l := []wave.VM{}
	for _, n := range w.VMs {
		l = append(l, t.waveVM(n, p, loads, spare, now))
	}
	return l
}

func (t *term) waveVM(name string, p *progress, loads map[string]scheduler.ServerLoad, spare map[string]bool, now time.Time) wave.VM {
	v, known := t.vms[name]
	x := wave.VM{Name: name, Pool: v.Pool}
	d := t.duties[name]
	load := loads[v.ServerID]
	x.Standby = t.standby(v.Pool)
	held := now.Before(t.embargo[name])
	x.Eligible = known && v.State == vm.Up && (d == nil || d.prepared) && !held
	x.Cordoned = d != nil && d.prepared
	x.Empty = t.vacant(v, load)
	x.Work = load.RemainingWork + float64(load.Lasting)
	x.Surplus = spare[v.Pool] || x.Standby
	x.LongRunning = load.Lasting > 0
	down := d != nil && !d.prepared && d.pool == ""
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

func (t *term) standby(pool string) bool {
	c := t.steward.table()
	return c != nil && c.Pools[pool].Standby
}

// spare says which pools have at least one VM more than they need.
func (t *term) spare(loads map[string]scheduler.ServerLoad, needs map[string]scheduler.PoolNeed) map[string]bool {
	have := map[string]float64{}
	largest := map[string]float64{}
	count := map[string]int{}
	for n, v := range t.vms {
		l := loads[v.ServerID]
		if t.duties[n] != nil || !l.Usable {
			continue
		}
		c := float64(v.Capacity.CPU) / 1000
		have[l.Pool] += c
		count[l.Pool]++
		largest[l.Pool] = max(largest[l.Pool], c)
	}
	m := map[string]bool{}
	for p, c := range have {
		m[p] = c-largest[p] >= rebalance.RequiredCores(t.steward.policy, needs[p].Cores) && count[p] > needs[p].Servers
	}
	return m
}

// prepare keeps new work from a VM until it is empty.
func (t *term) prepare(name string, number int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.duties[name] != nil {
		return
	}
	t.duties[name] = &duty{vm: name, wave: number, prepared: true}
	t.note(decision.Record{VM: name, Attempt: number, Reason: "VM is emptied for its maintenance"})
	t.office.Do(func(s *scheduler.Scheduler, _ time.Time) { s.Cordon(name, true) })
}

// evacuate moves lasting tasks from the VMs that are being emptied.
func (t *term) evacuate() {
	t.lock.Lock()
	l := []string{}
	for n, d := range t.duties {
		if d.prepared {
			l = append(l, n)
		}
	}
	t.lock.Unlock()
	slices.Sort(l)
	for _, n := range l {
		t.office.Do(func(s *scheduler.Scheduler, now time.Time) { s.Evacuate(n, now) })
	}
}

// takeDown orders the maintenance of a VM on which nothing runs.
func (t *term) takeDown(name string, number int) {
	if !t.empty(name) {
		return
	}
	t.lock.Lock()
	d := &duty{vm: name, wave: number, server: t.vms[name].ServerID}
	t.duties[name] = d
	t.wanted = append(t.wanted, d)
	t.lock.Unlock()
}

// vacant says whether nothing runs on a VM: it is off, its server has told so, or no run of an earlier owner can
// be left on a server that says nothing.
func (t *term) vacant(v vm.PlatformStatus, l scheduler.ServerLoad) bool {
	return l.Runs == 0 && (v.ServerID == "" || l.Listed || t.settled)
}

// empty cordons a VM and says whether nothing runs on it.
func (t *term) empty(name string) bool {
	v := t.vms[name]
	is := false
	t.office.Do(func(s *scheduler.Scheduler, now time.Time) {
		s.Cordon(name, true)
		is = t.vacant(v, s.ServerLoads(now)[v.ServerID])
	})
	if !is && t.duties[name] == nil {
		t.uncordon(name)
	}
	return is
}

// tell stores the progress and what the operators read.
func (t *term) tell(ctx context.Context, w wave.Wave, p *progress) {
	t.lock.Lock()
	m := &schema.WaveProgress{Number: int32(w.Number), BeganMs: p.began.UnixMilli(), Complete: p.complete}
	for n := range p.maintained {
		m.Maintained = append(m.Maintained, n)
	}
	t.lock.Unlock()
	slices.Sort(m.Maintained)
	if p.toldRunning && p.stored == len(m.Maintained) && p.toldComplete == p.complete {
		return
	}
	b, err := proto.Marshal(m)
	if err != nil {
		t.note(decision.Record{Reason: "progress of a wave cannot be encoded: " + err.Error()})
		return
	}
	l := []store.Write{{Key: WavePrefix + strconv.Itoa(w.Number), Value: b}}
	if !p.toldRunning || p.toldComplete != p.complete {
		l = append(l, t.steward.board.Status(w.Number, p.complete))
	}
	if err := t.office.Write(ctx, l); err != nil {
		t.note(decision.Record{Kind: decision.Dependency, Reason: "progress of a wave not stored: " + err.Error()})
		return
	}
	p.toldRunning, p.toldComplete, p.stored = true, p.complete, len(m.Maintained)
}
