package dispatch

import (
	"context"
	"slices"
	"time"
)

// Run checks latencies, probes unhealthy VMs and dispatches queued requests at fixed intervals until the
// context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	latency := time.NewTicker(latencyCheckInterval)
	defer latency.Stop()
	probe := time.NewTicker(probeCheckInterval)
	defer probe.Stop()
	borrow := time.NewTicker(borrowInterval)
	defer borrow.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-latency.C:
			d.checkLatencies()
		case <-probe.C:
			d.startDueProbes(ctx)
		case now := <-borrow.C:
			d.dispatchQueued(now)
		}
	}
}

// MoveCooldown is how long a VM that was moved to another pool receives no requests of the new pool.
// An entry that has not heard of the move stops using the VM in less time.
const MoveCooldown = 5 * time.Second

const (
	latencyCheckInterval = 500 * time.Millisecond
	probeCheckInterval   = 100 * time.Millisecond
	borrowInterval       = 10 * time.Millisecond
)

// dispatchQueued dispatches the pools with queued requests, so that requests that have waited long enough
// borrow slots granted to other entries.
func (d *Dispatcher) dispatchQueued(now time.Time) {
	d.lock.RLock()
	defer d.lock.RUnlock()
	for _, p := range d.pools {
		if !p.hasQueued.Load() {
			continue
		}
		p.lock.Lock()
		p.dispatch(now)
		p.lock.Unlock()
	}
}

// checkLatencies reports high latencies to the health checks and ends the cooldowns that have expired.
func (d *Dispatcher) checkLatencies() {
	for _, p := range d.sortedPools() {
		now := time.Now()
		p.lock.Lock()
		p.endCooldowns(now)
		l := p.detectHighLatency(now)
		p.lock.Unlock()
		for _, r := range l {
			d.log.Add(r)
		}
	}
}

// startDueProbes probes each VM whose probe is due in a goroutine of its own.
func (d *Dispatcher) startDueProbes(ctx context.Context) {
	for _, p := range d.sortedPools() {
		now := time.Now()
		p.lock.Lock()
		l := p.health.DueProbes(now)
		p.lock.Unlock()
		for _, n := range l {
			go d.probeVM(ctx, p, n)
		}
	}
}

// probeVM probes one VM; if its state changes, the slots of the pool are reallocated and the change is logged.
func (d *Dispatcher) probeVM(ctx context.Context, p *poolDispatcher, n string) {
	p.lock.Lock()
	v, known := p.vms[n]
	path := p.probePath
	p.lock.Unlock()
	ok := known && d.prober.Probe(ctx, v, path)
	now := time.Now()
	p.lock.Lock()
	c, changed := p.health.ObserveProbe(now, n, ok)
	if changed {
		p.admission.ResetLatency(n)
		p.reallocate(now)
	}
	p.lock.Unlock()
	if changed {
		d.log.Add(p.healthDecision(now, c))
		d.onChange()
	}
}

// median returns the upper median of l, which it sorts.
func median(l []time.Duration) time.Duration {
	slices.Sort(l)
	return l[len(l)/2]
}
