package experiment

import (
	"context"
	"strconv"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/platform"
	"github.com/tarragonbank/tarragonbank/bench/site"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	waveLoad          = 0.4
	maintenancePeriod = 30 * time.Second
	drainLimit        = 2 * time.Second
	rebootLimit       = 6 * time.Second
	haltDuration      = time.Minute
	waveDuration      = 45 * time.Second
	takeoverLimit     = 10 * time.Second
	minWaveGoodput    = 0.995
	controllerPause   = 9 * time.Second
	faultInterval     = 8 * time.Second
	sustainedDuration = 20 * time.Second
	returnDuration    = 24 * time.Second
	demandMemory      = 12 * time.Second
	minStay           = 4 * time.Second
	distantPeriod     = 14 * 24 * time.Hour
	watchInterval     = 50 * time.Millisecond
	rackSize          = 4
	peakDuration      = 3 * time.Second
)

func init() {
	register("wave", "a maintenance wave over all VMs under load", waveExperiment(waveFaults{}))
	register("badwave", "a wave in which the first VM of each pool does not come back", waveExperiment(waveFaults{bad: true}))
	register("controller", "a wave while the controller is killed, paused past its lease and doubled", waveExperiment(waveFaults{controller: true}))
	register("storeoutage", "a wave while the store is away", waveExperiment(waveFaults{outage: true}))
	register("rackloss", "a wave during which a rack is lost", waveExperiment(waveFaults{rack: true}))
}

// waving is what befalls a wave.
type waveFaults struct {
	bad        bool
	controller bool
	outage     bool
	rack       bool
}

// maintained gives the site's rules hurried times.
func setMaintenanceRules(s *site.Site, period time.Duration) {
	s.Source.Rules.Maintenance = &schema.Maintenance{
		Period: durationpb.New(period), Drain: durationpb.New(drainLimit), RebootLimit: durationpb.New(rebootLimit),
		Halt: durationpb.New(haltDuration), Stay: durationpb.New(minStay),
		DemandMemory: durationpb.New(demandMemory),
	}
}

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
		if c.bad {
			for _, s := range siteServices {
				for _, n := range x.site.Pool(s) {
					x.site.Servers[n].Lose()
				}
			}
		}
		b := watchBudget(ctx, x.site)
		setMaintenanceRules(x.site, maintenancePeriod)
		if _, err := x.site.Change(ctx, x.site.Entries[0], nil); err != nil {
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
		t := x.tally.Phase(phaseWave)
		recordCounts(r, "wave", t)
		r.metric("interrupted", interrupted)
		x.checkWave(r, c, t, reboots)
		return nil
	}
}

func (x *loadRun) checkWave(r *Report, c waveFaults, t *load.Counts, reboots int) {
	if c.rack {
		r.checkTarget(float64(t.Good) >= 0.98*float64(t.Sent), "only %d of %d requests were answered well", t.Good, t.Sent)
		return
	}
	r.check(t.Unknown == 0, "%d requests have an unknown outcome", t.Unknown)
	r.checkTarget(float64(t.Good) >= minWaveGoodput*float64(t.Sent), "only %d of %d requests were answered well", t.Good, t.Sent)
	if c.bad {
		r.check(reboots <= len(siteServices), "%d VMs were lost before the halt of %d pools", reboots, len(siteServices))
		return
	}
	r.checkTarget(reboots >= len(x.site.Servers)*9/10, "only %d of %d VMs were maintained", reboots, len(x.site.Servers))
}

// befall brings about what is to happen during the wave.
func (x *loadRun) injectFaults(ctx context.Context, e Options, c waveFaults, r *Report) {
	switch {
	case c.controller:
		x.disruptController(ctx, e, r)
	case c.outage:
		sleep(ctx, e.scale(faultInterval))
		x.site.Platform.SetFaults(platform.Faults{Outage: true})
		sleep(ctx, time.Second)
		before, _ := x.countReboots()
		sleep(ctx, e.scale(faultInterval))
		after, _ := x.countReboots()
		r.check(before == after, "%d reboots began while the store was away", after-before)
		x.site.Platform.SetFaults(platform.Faults{LostAnswers: 0.1})
	case c.rack:
		sleep(ctx, e.scale(faultInterval))
		for _, v := range x.site.Source.Inventory.Vms[:rackSize] {
			x.site.Lose(v.Name)
		}
	}
}

// disturbControllers kills the holder of the lease, and pauses the next one for longer than its lease.
func (x *loadRun) disruptController(ctx context.Context, e Options, r *Report) {
	sleep(ctx, e.scale(faultInterval))
	if y := x.leaseHolder(); y != nil {
		y.Kill()
		started := time.Now()
		for time.Since(started) < 2*takeoverLimit && (x.leaseHolder() == nil || x.leaseHolder() == y) {
			sleep(ctx, watchInterval)
		}
		r.millis("takeoverMs", time.Since(started))
		r.checkTarget(time.Since(started) <= takeoverLimit, "the controller was taken over only after %s", time.Since(started))
		if err := y.Start(); err != nil {
			r.addViolation("%s", err)
		}
	}
	if y := x.leaseHolder(); y != nil {
		y.Signal(syscall.SIGSTOP)
		sleep(ctx, controllerPause)
		y.Signal(syscall.SIGCONT)
	}
}

// holder is the entry that has the controller's lease.
func (x *loadRun) leaseHolder() *site.Entry {
	b, ok := x.site.Platform.Value("controller/lease")
	for _, y := range x.site.Entries {
		if ok && y.Name == string(b) {
			return y
		}
	}
	return nil
}

// reboots counts the VMs that were rebooted, and the most reboots of one.
func (x *loadRun) countReboots() (vms, most int) {
	for n := range x.site.Servers {
		k := x.site.Platform.Reboots(n)
		vms += min(k, 1)
		most = max(most, k)
	}
	return vms, most
}

// budget watches how many VMs of each pool are down by the controller's doing.
type budgetWatch struct {
	stop     context.CancelFunc
	done     chan struct{}
	maxDown  int
	overruns []string
}

// waveView is a pool's maintenance as an entry shows it.
type maintenanceStatus struct {
	Pool    string         `json:"pool"`
	MaxDown int            `json:"maxDown"`
	Phases  map[string]int `json:"phases"`
	Waits   string         `json:"waits"`
}

func watchBudget(ctx context.Context, s *site.Site) *budgetWatch {
	ctx, stop := context.WithCancel(ctx)
	b := &budgetWatch{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for i := 0; ctx.Err() == nil; i++ {
			var l []maintenanceStatus
			if s.Entries[i%len(s.Entries)].Ask(ctx, "/v1/maintenance", &l) == nil {
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

func (b *budgetWatch) report(r *Report) {
	b.stop()
	<-b.done
	r.metric("mostDownInOnePool", b.maxDown)
	r.check(len(b.overruns) == 0, "a budget was overdrawn: %s", strings.Join(b.overruns, ", "))
}
