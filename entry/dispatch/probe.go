package dispatch

import (
	"context"
	"slices"
	"time"
)

// Run compares and probes VMs until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	compare := time.NewTicker(comparePeriod)
	defer compare.Stop()
	probe := time.NewTicker(probePeriod)
	defer probe.Stop()
	borrow := time.NewTicker(borrowPeriod)
	defer borrow.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-compare.C:
			d.compare()
		case <-probe.C:
			d.probe(ctx)
		case now := <-borrow.C:
			d.borrow(now)
		}
	}
}

// MoveCooldown is how long after its move a VM is left alone by its new pool. An entry that has not
// heard of the move stops using it sooner.
const MoveCooldown = 5 * time.Second

const (
	comparePeriod = 500 * time.Millisecond
	probePeriod   = 100 * time.Millisecond
	borrowPeriod  = 10 * time.Millisecond
)

// borrow has requests that have waited long enough try others' slots.
func (d *Dispatcher) borrow(now time.Time) {
	d.lock.RLock()
	defer d.lock.RUnlock()
	for _, t := range d.pools {
		if !t.queued.Load() {
			continue
		}
		t.lock.Lock()
		t.next(now)
		t.lock.Unlock()
	}
}

func (d *Dispatcher) compare() {
	for _, t := range d.tables() {
		now := time.Now()
		t.lock.Lock()
		t.release(now)
		l := t.compareLatency(now)
		t.lock.Unlock()
		for _, r := range l {
			d.log.Add(r)
		}
	}
}

func (d *Dispatcher) probe(ctx context.Context) {
	for _, t := range d.tables() {
		now := time.Now()
		t.lock.Lock()
		l := t.health.DueProbes(now)
		t.lock.Unlock()
		for _, n := range l {
			go d.probeOne(ctx, t, n)
		}
	}
}

func (d *Dispatcher) probeOne(ctx context.Context, t *table, n string) {
	t.lock.Lock()
	v, known := t.vms[n]
	path := t.probePath
	t.lock.Unlock()
	ok := known && d.prober.Probe(ctx, v, path)
	now := time.Now()
	t.lock.Lock()
	c, changed := t.health.ObserveProbe(now, n, ok)
	if changed {
		t.admission.ResetLatency(n)
		t.divide(now)
	}
	t.lock.Unlock()
	if changed {
		d.log.Add(t.describe(now, c))
		d.changed()
	}
}

func median(l []time.Duration) time.Duration {
	slices.Sort(l)
	return l[len(l)/2]
}
