package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
	"github.com/tarragonbank/tarragonbank/platform/simulator"
)

// fault is a named fault. Its function injects it and returns a function that ends it, or nil if it ends by itself.
type fault struct {
	name   string
	inject func(r *run) func()
}

// faults lists all faults that a soak draws from, each with the same probability.
var faults = []fault{
	{"entryKilled", entryKilled},
	{"ownerKilled", ownerKilled},
	{"entryLeaves", entryShutsDown},
	{"entryPaused", entryPaused},
	{"ownerPaused", ownerPaused},
	{"entryHup", entryHup},
	{"storeHeldFromEntry", onStoreLink(proxy.Fault{Hold: true})},
	{"storeAnswersHeld", onStoreLink(proxy.Fault{HoldResponses: true})},
	{"storeCutFromEntry", onStoreLink(proxy.Fault{Cut: true})},
	{"storeSlowForEntry", onStoreLink(proxy.Fault{Delay: slowLink})},
	{"storeConnectionsSilent", storeConnectionsSilent},
	{"storeHeldFromOwner", storeHeldFromOwner},
	{"storeRefuses", onStore(simulator.StoreFaults{Outage: true})},
	{"storeSilent", onStore(simulator.StoreFaults{Outage: true, Silent: true})},
	{"storeSlow", onStore(simulator.StoreFaults{Delay: slowStore})},
	{"storeLosesAnswers", onStore(simulator.StoreFaults{LostResponseRate: 0.3})},
	{"storeTurnsAway", onStore(simulator.StoreFaults{ThrottleRate: 0.5})},
	{"storeForgets", storeCompacts},
	{"storeRevokes", storeRevokes},
	{"listHeld", onCloudLink(proxy.Fault{Hold: true})},
	{"listAnswersHeld", onCloudLink(proxy.Fault{HoldResponses: true})},
	{"serverHeld", onServerLink(proxy.Fault{Hold: true})},
	{"serverAnswersHeld", onServerLink(proxy.Fault{HoldResponses: true})},
	{"serverCut", onServerLink(proxy.Fault{Cut: true})},
	{"serverConnectionsReset", serverConnectionsReset},
	{"serverConnectionsSilent", serverConnectionsSilent},
	{"serverCrashes", serverCrashes},
	{"serverReborn", serverCrashesSameID},
	{"serverLeaves", serverDrains},
	{"serverFails", onServer(simulator.ServerFaults{FailTasks: true})},
	{"serverStuck", onServer(simulator.ServerFaults{NoProgress: true})},
	{"serverSlow", onServer(simulator.ServerFaults{Slowdown: 4})},
	{"serverLate", onServer(simulator.ServerFaults{OrderDelay: orderDelay})},
	{"change", configChanges},
	{"wave", waveRequested},
}

const (
	// slowLink and slowStore are about fifty times the usual duration of a call.
	slowLink  = 100 * time.Millisecond
	slowStore = 200 * time.Millisecond
	// orderDelay is longer than an order to start a task is valid.
	orderDelay = 2500 * time.Millisecond
	// shutdownTimeout bounds the graceful shutdown of an entry.
	shutdownTimeout = 8 * time.Second
	waveTimeLimit   = 20 * time.Second
)

// entry returns a random entry.
func (r *run) entry() *jobsite.Entry {
	return r.site.Entries[r.faultRandom.IntN(len(r.site.Entries))]
}

// vm returns the name of a random VM that has a running server, or of the first VM if none has one.
func (r *run) vm() string {
	l := r.site.Platform.VMsWithServer()
	if len(l) == 0 {
		return r.site.Platform.Options.VMs[0].Name
	}
	return l[r.faultRandom.IntN(len(l))]
}

// owner returns the entry that owns the fleet, or a random one if the owner is unknown.
func (r *run) owner() *jobsite.Entry {
	if o := r.callers.Owner(r.ctx); o != nil {
		return o
	}
	return r.entry()
}

func entryKilled(r *run) func() { return r.kill(r.entry()) }
func ownerKilled(r *run) func() { return r.kill(r.owner()) }

// kill kills an entry, which is restarted when the fault ends.
func (r *run) kill(e *jobsite.Entry) func() {
	if !r.reserve(e) {
		return nil
	}
	e.Kill()
	return func() { r.restart(e) }
}

func entryShutsDown(r *run) func() { return r.shutDown(r.entry()) }

// shutDown returns a function that shuts an entry down and restarts it, or nil if another fault has reserved the entry.
func (r *run) shutDown(e *jobsite.Entry) func() {
	if !r.reserve(e) {
		return nil
	}
	return func() {
		if code := e.Terminate(shutdownTimeout); code != 0 {
			r.addViolation("graceful shutdown of %s failed: exit code %d, -1 for a timeout", e.Name, code)
			e.Kill()
		}
		r.restart(e)
	}
}

func entryPaused(r *run) func() { return r.pause(r.entry()) }
func ownerPaused(r *run) func() { return r.pause(r.owner()) }

func (r *run) pause(e *jobsite.Entry) func() {
	if !r.reserve(e) {
		return nil
	}
	e.Signal(syscall.SIGSTOP)
	return func() {
		e.Signal(syscall.SIGCONT)
		r.release(e)
	}
}

func entryHup(r *run) func() {
	e := r.entry()
	if r.reserve(e) {
		e.Signal(syscall.SIGHUP)
		r.release(e)
	}
	return nil
}

func onStoreLink(f proxy.Fault) func(r *run) func() {
	return func(r *run) func() { return r.setStoreLinkFault(r.entry(), f) }
}

func onCloudLink(f proxy.Fault) func(r *run) func() {
	return func(r *run) func() { return r.setLinkFault(r.entry().CloudProxy, f) }
}

func onServerLink(f proxy.Fault) func(r *run) func() {
	return func(r *run) func() { return r.setLinkFault(r.site.ServerProxies[r.vm()], f) }
}

func (r *run) setLinkFault(p *proxy.Proxy, f proxy.Fault) func() {
	r.setUnlessPinned(p, func() { p.SetFault(f) })
	return func() { r.setUnlessPinned(p, func() { p.SetFault(proxy.Fault{}) }) }
}

// setStoreLinkFault is setLinkFault for an entry's link to the store, without which the entry is disturbed.
func (r *run) setStoreLinkFault(e *jobsite.Entry, f proxy.Fault) func() {
	steady := r.site.Platform.Checker.Disturb(e.Name)
	end := r.setLinkFault(e.StoreProxy, f)
	return func() {
		end()
		steady()
	}
}

func storeHeldFromOwner(r *run) func() {
	return r.setStoreLinkFault(r.owner(), proxy.Fault{Hold: true})
}

func storeConnectionsSilent(r *run) func() {
	r.silenceStoreConnections(r.entry())
	return nil
}

func serverConnectionsSilent(r *run) func() {
	r.site.ServerProxies[r.vm()].Blackhole()
	return nil
}

func serverConnectionsReset(r *run) func() {
	r.site.ServerProxies[r.vm()].Reset()
	return nil
}

func onStore(f simulator.StoreFaults) func(r *run) func() {
	return func(r *run) func() {
		x := r.site.Platform.Store
		steady := r.site.Platform.Checker.Disturb("")
		r.setUnlessPinned(x, func() { x.SetFaults(f) })
		return func() {
			r.setUnlessPinned(x, func() { x.SetFaults(simulator.StoreFaults{}) })
			steady()
		}
	}
}

func storeCompacts(r *run) func() {
	r.site.Platform.Store.Compact()
	return nil
}

func storeRevokes(r *run) func() {
	r.site.Platform.Store.RevokeLeases()
	return nil
}

func onServer(f simulator.ServerFaults) func(r *run) func() {
	return func(r *run) func() {
		n := r.vm()
		r.site.Platform.SetServerFaults(n, f)
		return func() { r.site.Platform.SetServerFaults(n, simulator.ServerFaults{}) }
	}
}

func serverCrashes(r *run) func() {
	r.site.Platform.CrashServer(r.vm(), r.duration(), false)
	return nil
}

func serverCrashesSameID(r *run) func() {
	r.site.Platform.CrashServer(r.vm(), r.duration(), true)
	return nil
}

func serverDrains(r *run) func() {
	r.site.Platform.DrainServer(r.vm(), r.duration())
	return nil
}

func configChanges(r *run) func() {
	if err := r.site.Reconfigure(); err != nil {
		r.addViolation("publishing a configuration change failed: %s", err)
	}
	return nil
}

// waveRequested requests a maintenance wave of a random set of VMs, at most one or two of them at a time.
func waveRequested(r *run) func() {
	l := []string{}
	for _, m := range r.site.Platform.Options.VMs {
		if r.faultRandom.IntN(2) == 0 {
			l = append(l, m.Name)
		}
	}
	if len(l) > 0 {
		r.requestWave(l, 1+r.faultRandom.IntN(2))
	}
	return nil
}

// requestWave requests a maintenance wave of VMs, with at most maxDown of them at a time.
func (r *run) requestWave(l []string, maxDown int) {
	r.lock.Lock()
	r.waves++
	n := r.waves
	r.lock.Unlock()
	if err := r.site.Platform.RequestWave(n, l, waveTimeLimit, maxDown); err != nil {
		r.addViolation("requesting a maintenance wave failed: %s", err)
	}
}

// duration draws the duration of a fault: mostly short, sometimes longer than a server's lease.
func (r *run) duration() time.Duration {
	d := minFaultDuration + time.Duration(r.faultRandom.Int64N(int64(maxFaultDuration-minFaultDuration)))
	if r.faultRandom.IntN(4) > 0 {
		d /= 3
	}
	return max(d, minFaultDuration)
}

const (
	minFaultDuration = 150 * time.Millisecond
	maxFaultDuration = 6 * time.Second
)

// injectFaults injects faults until the context ends, then waits for those that do not end by themselves. Faults may
// overlap.
func (r *run) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		n := 1
		if r.faultRandom.IntN(4) == 0 {
			n = 2 + r.faultRandom.IntN(3)
		}
		for range n {
			r.injectFault()
		}
		wait(ctx, minGap+time.Duration(r.faultRandom.Int64N(int64(maxGap-minGap))))
	}
	r.activeFaults.Wait()
}

const (
	minGap = 200 * time.Millisecond
	maxGap = 2500 * time.Millisecond
)

func (r *run) injectFault() {
	f := faults[r.faultRandom.IntN(len(faults))]
	d := r.duration()
	r.recordFault(f.name, d)
	end := f.inject(r)
	if end == nil {
		return
	}
	r.activeFaults.Add(1)
	go func() {
		defer r.activeFaults.Done()
		time.Sleep(d)
		end()
	}()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
