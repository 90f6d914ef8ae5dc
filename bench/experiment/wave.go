package experiment

import (
	"context"
	"strconv"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/platformsim"
	"github.com/tarragonbank/tarragonbank/bench/site"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// waveLoad is the load of each service as a fraction of its pool's capacity.
	waveLoad = 0.4
	// maintenancePeriod, drainLimit, rebootLimit, haltDuration, minStay and demandMemory are maintenance rules, shortened
	// so that a wave completes within an experiment.
	maintenancePeriod = 30 * time.Second
	drainLimit        = 2 * time.Second
	rebootLimit       = 6 * time.Second
	haltDuration      = time.Minute
	waveDuration      = 45 * time.Second
	// takeoverLimit bounds the time until another entry holds the controller's lease.
	takeoverLimit = 10 * time.Second
	// minWaveGoodput is the least fraction of requests answered successfully in time during a wave.
	minWaveGoodput = 0.995
	// minRackLossGoodput is the same for a wave in which a rack fails.
	minRackLossGoodput = 0.98
	// waveLostAnswers is the fraction of store writes that take effect but are not answered, after a store outage.
	waveLostAnswers = 0.1
	// controllerPause is longer than the controller's lease.
	controllerPause = 9 * time.Second
	// faultInterval is the time from the start of a wave to its fault, and the length of a store outage.
	faultInterval = 8 * time.Second
	// sustainedDuration is the length of the long phase of moves, peakDuration that of a short peak.
	sustainedDuration = 20 * time.Second
	// returnDuration is the time in which lent VMs have to return after demand fell.
	returnDuration = 24 * time.Second
	demandMemory   = 12 * time.Second
	minStay        = 4 * time.Second
	// distantPeriod is a maintenance period in which no VM becomes due during an experiment.
	distantPeriod = 14 * 24 * time.Hour
	watchInterval = 50 * time.Millisecond
	// rackSize is the number of VMs in a rack of the deployment.
	rackSize     = 4
	peakDuration = 3 * time.Second
)

func init() {
	register("wave", "a maintenance wave over all VMs under load", waveExperiment(waveFaults{}))
	register("badwave", "a wave in which the first rebooted VM of each pool does not come back", waveExperiment(waveFaults{lostVMs: true}))
	register("controller", "a wave while the controller is killed, and its successor is paused past its lease and resumed", waveExperiment(waveFaults{controllerFaults: true}))
	register("storeoutage", "a wave during an outage of the store", waveExperiment(waveFaults{storeOutage: true}))
	register("rackloss", "a wave during which a rack fails", waveExperiment(waveFaults{rackFailure: true}))
}

// waveFaults selects what goes wrong during a wave.
type waveFaults struct {
	// lostVMs has no VM come back from its reboot.
	lostVMs bool
	// controllerFaults has one controller killed and the next one paused.
	controllerFaults bool
	// storeOutage has an outage of the store, and after it lost answers.
	storeOutage bool
	// rackFailure has the first rack of the inventory fail.
	rackFailure bool
}

// setMaintenanceRules sets maintenance rules with the given period and otherwise short times.
func setMaintenanceRules(s *site.Site, period time.Duration) {
	s.Source.Rules.Maintenance = &schema.Maintenance{
		Period: durationpb.New(period), Drain: durationpb.New(drainLimit), RebootLimit: durationpb.New(rebootLimit),
		Halt: durationpb.New(haltDuration), Stay: durationpb.New(minStay),
		DemandMemory: durationpb.New(demandMemory),
	}
}

// waveExperiment returns an experiment that runs a maintenance wave with the given faults.
func waveExperiment(c waveFaults) func(context.Context, Options, *Report) error {
	return func(ctx context.Context, e Options, r *Report) error {
		kinds := []load.Kind{}
		for _, s := range siteServices {
			k := constantLoad(s, waveLoad)
			k.Idempotent = false
			kinds = append(kinds, k)
		}
		x, err := startLoad(ctx, standardPlan(e), phaseCalm, kinds, nil)
		if err != nil {
			return err
		}
		if c.lostVMs {
			for _, s := range siteServices {
				for _, n := range x.site.PoolVMs(s) {
					x.site.Servers[n].MarkLost()
				}
			}
		}
		b := watchBudget(ctx, x.site)
		setMaintenanceRules(x.site, maintenancePeriod)
		if _, err := x.site.PostSource(ctx, x.site.Entries[0], nil); err != nil {
			return err
		}
		x.tally.SetPhase(phaseWave)
		x.injectFaults(ctx, e, c, r)
		sleep(ctx, e.scale(waveDuration))
		b.report(r)
		reboots, most := x.countReboots()
		r.metric("reboots", reboots)
		r.metric("mostRebootsOfOneVm", most)
		interrupted := int64(0)
		for _, s := range x.site.Servers {
			interrupted += s.Interrupted()
		}
		x.finish(r)
		t := x.tally.SumPhase(phaseWave)
		recordCounts(r, "wave", t)
		r.metric("interrupted", interrupted)
		x.checkWave(r, c, t, reboots)
		return nil
	}
}

// checkWave checks the requests of a wave and the number of VMs rebooted, by what went wrong.
func (x *loadRun) checkWave(r *Report, c waveFaults, t *load.Counts, reboots int) {
	if c.rackFailure {
		r.checkTarget(float64(t.Good) >= minRackLossGoodput*float64(t.Sent), "only %d of %d requests were answered successfully in time", t.Good, t.Sent)
		return
	}
	r.check(t.Unknown == 0, "%d requests have an unknown outcome", t.Unknown)
	r.checkTarget(float64(t.Good) >= minWaveGoodput*float64(t.Sent), "only %d of %d requests were answered successfully in time", t.Good, t.Sent)
	if c.lostVMs {
		r.check(reboots <= len(siteServices), "%d VMs were rebooted and lost, but each of %d pools should have halted after one", reboots, len(siteServices))
		return
	}
	r.checkTarget(reboots >= len(x.site.Servers)*9/10, "only %d of %d VMs were maintained", reboots, len(x.site.Servers))
}

// injectFaults causes the selected faults while the wave runs. With a store outage it also checks that no reboot begins
// during the outage.
func (x *loadRun) injectFaults(ctx context.Context, e Options, c waveFaults, r *Report) {
	switch {
	case c.controllerFaults:
		x.disruptController(ctx, e, r)
	case c.storeOutage:
		sleep(ctx, e.scale(faultInterval))
		x.site.Platform.SetFaults(platformsim.Faults{Outage: true})
		sleep(ctx, time.Second)
		before, _ := x.countReboots()
		sleep(ctx, e.scale(faultInterval))
		after, _ := x.countReboots()
		r.check(before == after, "%d reboots began during the store outage", after-before)
		x.site.Platform.SetFaults(platformsim.Faults{LostResponseRate: waveLostAnswers})
	case c.rackFailure:
		sleep(ctx, e.scale(faultInterval))
		for _, v := range x.site.Source.Inventory.Vms[:rackSize] {
			x.site.FailVM(v.Name)
		}
	}
}

// disruptController kills the entry that holds the controller's lease, records the time until another entry holds it,
// and then pauses that one for longer than the lease, so that
// two entries act as the controller when it resumes.
func (x *loadRun) disruptController(ctx context.Context, e Options, r *Report) {
	sleep(ctx, e.scale(faultInterval))
	if y := x.leaseHolder(); y != nil {
		y.Kill()
		started := time.Now()
		for time.Since(started) < 2*takeoverLimit && (x.leaseHolder() == nil || x.leaseHolder() == y) {
			sleep(ctx, watchInterval)
		}
		r.millis("takeoverMs", time.Since(started))
		r.checkTarget(time.Since(started) <= takeoverLimit, "another entry took the controller's lease only after %s", time.Since(started))
		if err := y.Start(); err != nil {
			r.addViolation("restarting the killed controller: %s", err)
		}
	}
	if y := x.leaseHolder(); y != nil {
		y.Signal(syscall.SIGSTOP)
		sleep(ctx, controllerPause)
		y.Signal(syscall.SIGCONT)
	}
}

// leaseHolder returns the entry that holds the controller's lease, or nil.
func (x *loadRun) leaseHolder() *site.Entry {
	b, ok := x.site.Platform.Value("controller/lease")
	for _, y := range x.site.Entries {
		if ok && y.Name == string(b) {
			return y
		}
	}
	return nil
}

// countReboots returns the number of VMs that were rebooted, and the most reboots of one VM.
func (x *loadRun) countReboots() (vms, most int) {
	for n := range x.site.Servers {
		k := x.site.Platform.RebootCount(n)
		vms += min(k, 1)
		most = max(most, k)
	}
	return vms, most
}

// budgetWatch polls how many VMs of each pool the controller has down, and notes when a pool's budget is exceeded.
type budgetWatch struct {
	stop     context.CancelFunc
	done     chan struct{}
	maxDown  int
	overruns []string
}

// maintenanceStatus is the maintenance of a pool in an entry's reply to /v1/maintenance.
type maintenanceStatus struct {
	Pool    string         `json:"pool"`
	MaxDown int            `json:"maxDown"`
	Phases  map[string]int `json:"phases"`
	Waits   string         `json:"waits"`
}

// watchBudget starts to poll the entries in turn, until report is called or ctx ends.
func watchBudget(ctx context.Context, s *site.Site) *budgetWatch {
	ctx, stop := context.WithCancel(ctx)
	b := &budgetWatch{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for i := 0; ctx.Err() == nil; i++ {
			var l []maintenanceStatus
			if s.Entries[i%len(s.Entries)].GetJSON(ctx, "/v1/maintenance", &l) == nil {
				b.record(l)
			}
			sleep(ctx, watchInterval)
		}
	}()
	return b
}

func (b *budgetWatch) record(l []maintenanceStatus) {
	for _, w := range l {
		n := w.Phases["draining"] + w.Phases["rebooting"] + w.Phases["held"]
		b.maxDown = max(b.maxDown, n)
		if n > w.MaxDown {
			b.overruns = append(b.overruns, w.Pool+" had "+strconv.Itoa(n)+" VMs down")
		}
	}
}

// report stops polling and records the result.
func (b *budgetWatch) report(r *Report) {
	b.stop()
	<-b.done
	r.metric("mostDownInOnePool", b.maxDown)
	r.check(len(b.overruns) == 0, "a maintenance budget was exceeded: %s", strings.Join(b.overruns, ", "))
}
