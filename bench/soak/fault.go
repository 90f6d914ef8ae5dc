package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
	"github.com/tarragonbank/tarragonbank/platform/standin"
)

// fault disturbs the site and returns what ends the disturbance, nil where it ends by itself.
type fault struct {
	name   string
	strike func(r *run) func()
}

// faults are all disturbances that a soak draws from, by name.
var faults = []fault{
	{"entryKilled", entryKilled},
	{"ownerKilled", ownerKilled},
	{"entryLeaves", entryLeaves},
	{"entryPaused", entryPaused},
	{"ownerPaused", ownerPaused},
	{"entryHup", entryHup},
	{"storeHeldFromEntry", onStoreLink(proxy.Fault{Hold: true})},
	{"storeAnswersHeld", onStoreLink(proxy.Fault{HoldResponses: true})},
	{"storeCutFromEntry", onStoreLink(proxy.Fault{Cut: true})},
	{"storeSlowForEntry", onStoreLink(proxy.Fault{Delay: slowLink})},
	{"storeConnectionsSilent", storeConnectionsSilent},
	{"storeHeldFromOwner", storeHeldFromOwner},
	{"storeRefuses", onStore(standin.Trouble{Away: true})},
	{"storeSilent", onStore(standin.Trouble{Away: true, Silent: true})},
	{"storeSlow", onStore(standin.Trouble{Delay: slowStore})},
	{"storeLosesAnswers", onStore(standin.Trouble{LostAnswers: 0.3})},
	{"storeTurnsAway", onStore(standin.Trouble{TurnedAway: 0.5})},
	{"storeForgets", storeForgets},
	{"storeRevokes", storeRevokes},
	{"listHeld", onListLink(proxy.Fault{Hold: true})},
	{"listAnswersHeld", onListLink(proxy.Fault{HoldResponses: true})},
	{"serverHeld", onServerLink(proxy.Fault{Hold: true})},
	{"serverAnswersHeld", onServerLink(proxy.Fault{HoldResponses: true})},
	{"serverCut", onServerLink(proxy.Fault{Cut: true})},
	{"serverConnectionsReset", serverConnectionsReset},
	{"serverConnectionsSilent", serverConnectionsSilent},
	{"serverCrashes", serverCrashes},
	{"serverReborn", serverReborn},
	{"serverLeaves", serverLeaves},
	{"serverFails", onServer(standin.Behaviour{Failing: true})},
	{"serverStuck", onServer(standin.Behaviour{Stuck: true})},
	{"serverSlow", onServer(standin.Behaviour{Slow: 4})},
	{"serverLate", onServer(standin.Behaviour{Late: lateOrder})},
	{"change", change},
	{"wave", wave},
}

const (
	// slowLink and slowStore are some fifty times the usual time of a call.
	slowLink  = 100 * time.Millisecond
	slowStore = 200 * time.Millisecond
	// lateOrder is longer than an order to start holds.
	lateOrder = 2500 * time.Millisecond
	// leaveLimit bounds a graceful end of an entry.
	leaveLimit = 8 * time.Second
	waveTime   = 20 * time.Second
)

func (r *run) entry() *jobsite.Entry {
	return r.site.Entries[r.random.IntN(len(r.site.Entries))]
}

func (r *run) server() string {
	l := r.site.Platform.Servers()
	if len(l) == 0 {
		return r.site.Platform.Plan.Machines[0].Name
	}
	return l[r.random.IntN(len(l))]
}

// owner is the entry that owns the fleet, or any.
func (r *run) owner() *jobsite.Entry {
	if o := r.callers.Owner(r.ctx); o != nil {
		return o
	}
	return r.entry()
}

func entryKilled(r *run) func() { return r.kill(r.entry()) }
func ownerKilled(r *run) func() { return r.kill(r.owner()) }

// kill ends an entry; it starts again when the fault ends.
func (r *run) kill(e *jobsite.Entry) func() {
	if !r.take(e) {
		return nil
	}
	e.Kill()
	return func() { r.restart(e) }
}

func entryLeaves(r *run) func() {
	e := r.entry()
	if !r.take(e) {
		return nil
	}
	return func() {
		if code := e.Terminate(leaveLimit); code != 0 {
			r.violate("%s left with code %d", e.Name, code)
			e.Kill()
		}
		r.restart(e)
	}
}

func entryPaused(r *run) func() { return r.pause(r.entry()) }
func ownerPaused(r *run) func() { return r.pause(r.owner()) }

func (r *run) pause(e *jobsite.Entry) func() {
	if !r.take(e) {
		return nil
	}
	e.Signal(syscall.SIGSTOP)
	return func() {
		e.Signal(syscall.SIGCONT)
		r.give(e)
	}
}

func entryHup(r *run) func() {
	e := r.entry()
	if r.take(e) {
		e.Signal(syscall.SIGHUP)
		r.give(e)
	}
	return nil
}

func onStoreLink(f proxy.Fault) func(r *run) func() {
	return func(r *run) func() { return disturb(r.entry().StoreProxy, f) }
}

func onListLink(f proxy.Fault) func(r *run) func() {
	return func(r *run) func() { return disturb(r.entry().ListProxy, f) }
}

func onServerLink(f proxy.Fault) func(r *run) func() {
	return func(r *run) func() { return disturb(r.site.ServerProxies[r.server()], f) }
}

func disturb(p *proxy.Proxy, f proxy.Fault) func() {
	p.SetFault(f)
	return func() { p.SetFault(proxy.Fault{}) }
}

func storeHeldFromOwner(r *run) func() { return disturb(r.owner().StoreProxy, proxy.Fault{Hold: true}) }

func storeConnectionsSilent(r *run) func() {
	r.entry().StoreProxy.Blackhole()
	return nil
}

func serverConnectionsSilent(r *run) func() {
	r.site.ServerProxies[r.server()].Blackhole()
	return nil
}

func serverConnectionsReset(r *run) func() {
	r.site.ServerProxies[r.server()].Reset()
	return nil
}

func onStore(t standin.Trouble) func(r *run) func() {
	return func(r *run) func() {
		r.site.Platform.Store.SetTrouble(t)
		return func() { r.site.Platform.Store.SetTrouble(standin.Trouble{}) }
	}
}

func storeForgets(r *run) func() {
	r.site.Platform.Store.Compact()
	return nil
}

func storeRevokes(r *run) func() {
	r.site.Platform.Store.Revoke()
	return nil
}

func onServer(b standin.Behaviour) func(r *run) func() {
	return func(r *run) func() {
		n := r.server()
		r.site.Platform.Behave(n, b)
		return func() { r.site.Platform.Behave(n, standin.Behaviour{}) }
	}
}

func serverCrashes(r *run) func() {
	r.site.Platform.Crash(r.server(), r.duration(), false)
	return nil
}

func serverReborn(r *run) func() {
	r.site.Platform.Crash(r.server(), r.duration(), true)
	return nil
}

func serverLeaves(r *run) func() {
	r.site.Platform.Leave(r.server(), r.duration())
	return nil
}

func change(r *run) func() {
	if err := r.site.Reconfigure(); err != nil {
		r.violate("a change was not accepted: %s", err)
	}
	return nil
}

// wave asks for the maintenance of some VMs, one or two at once.
func wave(r *run) func() {
	l := []string{}
	for _, m := range r.site.Platform.Plan.Machines {
		if r.random.IntN(2) == 0 {
			l = append(l, m.Name)
		}
	}
	if len(l) == 0 {
		return nil
	}
	r.waves++
	if err := r.site.Platform.Wave(r.waves, l, waveTime, 1+r.random.IntN(2)); err != nil {
		r.violate("a wave was not accepted: %s", err)
	}
	return nil
}

// duration is how long a fault lasts: mostly short, at times longer than leases.
func (r *run) duration() time.Duration {
	d := shortFault + time.Duration(r.random.Int64N(int64(longFault-shortFault)))
	if r.random.IntN(4) > 0 {
		d /= 3
	}
	return max(d, shortFault)
}

const (
	shortFault = 150 * time.Millisecond
	longFault  = 6 * time.Second
)

// strike disturbs the site until the context ends; faults come alone, in series, and overlap.
func (r *run) strike(ctx context.Context) {
	for ctx.Err() == nil {
		n := 1
		if r.random.IntN(4) == 0 {
			n = 2 + r.random.IntN(3)
		}
		for range n {
			r.strikeOnce()
		}
		wait(ctx, leastGap+time.Duration(r.random.Int64N(int64(mostGap-leastGap))))
	}
	r.faults.Wait()
}

const (
	leastGap = 200 * time.Millisecond
	mostGap  = 2500 * time.Millisecond
)

func (r *run) strikeOnce() {
	f := faults[r.random.IntN(len(faults))]
	d := r.duration()
	r.note(f.name, d)
	end := f.strike(r)
	if end == nil {
		return
	}
	r.faults.Add(1)
	go func() {
		defer r.faults.Done()
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
