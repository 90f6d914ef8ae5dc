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
	wavePart       = 0.4
	wavePeriod     = 30 * time.Second
	waveDrain      = 2 * time.Second
	waveReboot     = 6 * time.Second
	waveHalt       = time.Minute
	waveLength     = 45 * time.Second
	takeover       = 10 * time.Second
	waveGoodput    = 0.995
	wavePausedFor  = 9 * time.Second
	outageOfStore  = 8 * time.Second
	movesFlood     = 20 * time.Second
	movesSettle    = 24 * time.Second
	movesMemory    = 12 * time.Second
	movesStay      = 4 * time.Second
	longPeriod     = 14 * 24 * time.Hour
	watchPeriod    = 50 * time.Millisecond
	rackSize       = 4
	movesShortPeak = 3 * time.Second
)

func init() {
	register("wave", "a maintenance wave over all VMs under load", waveRun(waving{}))
	register("badwave", "a wave in which the first VM of each pool does not come back", waveRun(waving{bad: true}))
	register("controller", "a wave while the controller is killed, paused past its lease and doubled", waveRun(waving{controller: true}))
	register("storeoutage", "a wave while the store is away", waveRun(waving{outage: true}))
	register("rackloss", "a wave during which a rack is lost", waveRun(waving{rack: true}))
}

// waving is what befalls a wave.
type waving struct {
	bad        bool
	controller bool
	outage     bool
	rack       bool
}

// maintained gives the site's rules hurried times.
func maintained(s *site.Site, period time.Duration) {
	s.Source.Rules.Maintenance = &schema.Maintenance{
		Period: durationpb.New(period), Drain: durationpb.New(waveDrain), RebootLimit: durationpb.New(waveReboot),
		Halt: durationpb.New(waveHalt), Stay: durationpb.New(movesStay),
		DemandMemory: durationpb.New(movesMemory),
	}
}

func waveRun(c waving) func(context.Context, Environment, *Report) error {
	return func(ctx context.Context, e Environment, r *Report) error {
		kinds := []load.Kind{}
		for _, s := range horncraftServices {
			k := steady(s, wavePart)
			k.Idempotent = false
			kinds = append(kinds, k)
		}
		x, err := start(ctx, horncraft(e), calm, kinds, nil)
		if err != nil {
			return err
		}
		if c.bad {
			for _, s := range horncraftServices {
				for _, n := range x.site.Pool(s) {
					x.site.Servers[n].MarkLost()
				}
			}
		}
		b := watchBudget(ctx, x.site)
		maintained(x.site, wavePeriod)
		if _, err := x.site.PostSource(ctx, x.site.Entries[0], nil); err != nil {
			return err
		}
		x.tally.SetPhase(wave)
		x.befall(ctx, e, c, r)
		pause(ctx, e.scaled(waveLength))
		b.report(r)
		reboots, most := x.reboots()
		r.figure("reboots", reboots)
		r.figure("mostRebootsOfOneVm", most)
		interrupted := int64(0)
		for _, s := range x.site.Servers {
			interrupted += s.Interrupted()
		}
		x.finish(r)
		t := x.tally.SumPhase(wave)
		outcomes(r, "wave", t)
		r.figure("interrupted", interrupted)
		x.judge(r, c, t, reboots)
		return nil
	}
}

func (x *running) judge(r *Report, c waving, t *load.Counts, reboots int) {
	if c.rack {
		r.target(float64(t.Good) >= 0.98*float64(t.Sent), "only %d of %d requests were answered well", t.Good, t.Sent)
		return
	}
	r.expect(t.Unknown == 0, "%d requests have an unknown outcome", t.Unknown)
	r.target(float64(t.Good) >= waveGoodput*float64(t.Sent), "only %d of %d requests were answered well", t.Good, t.Sent)
	if c.bad {
		r.expect(reboots <= len(horncraftServices), "%d VMs were lost before the halt of %d pools", reboots, len(horncraftServices))
		return
	}
	r.target(reboots >= len(x.site.Servers)*9/10, "only %d of %d VMs were maintained", reboots, len(x.site.Servers))
}

// befall brings about what is to happen during the wave.
func (x *running) befall(ctx context.Context, e Environment, c waving, r *Report) {
	switch {
	case c.controller:
		x.disturbControllers(ctx, e, r)
	case c.outage:
		pause(ctx, e.scaled(outageOfStore))
		x.site.Platform.SetFaults(platformsim.Faults{Outage: true})
		pause(ctx, time.Second)
		before, _ := x.reboots()
		pause(ctx, e.scaled(outageOfStore))
		after, _ := x.reboots()
		r.expect(before == after, "%d reboots began while the store was away", after-before)
		x.site.Platform.SetFaults(platformsim.Faults{LostResponseRate: 0.1})
	case c.rack:
		pause(ctx, e.scaled(outageOfStore))
		for _, v := range x.site.Source.Inventory.Vms[:rackSize] {
			x.site.FailVM(v.Name)
		}
	}
}

// disturbControllers kills the holder of the lease, and pauses the next one for longer than its lease.
func (x *running) disturbControllers(ctx context.Context, e Environment, r *Report) {
	pause(ctx, e.scaled(outageOfStore))
	if y := x.holder(); y != nil {
		y.Kill()
		started := time.Now()
		for time.Since(started) < 2*takeover && (x.holder() == nil || x.holder() == y) {
			pause(ctx, watchPeriod)
		}
		r.ms("takeoverMs", time.Since(started))
		r.target(time.Since(started) <= takeover, "the controller was taken over only after %s", time.Since(started))
		if err := y.Start(); err != nil {
			r.violate("%s", err)
		}
	}
	if y := x.holder(); y != nil {
		y.Signal(syscall.SIGSTOP)
		pause(ctx, wavePausedFor)
		y.Signal(syscall.SIGCONT)
	}
}

// holder is the entry that has the controller's lease.
func (x *running) holder() *site.Entry {
	b, ok := x.site.Platform.Value("controller/lease")
	for _, y := range x.site.Entries {
		if ok && y.Name == string(b) {
			return y
		}
	}
	return nil
}

// reboots counts the VMs that were rebooted, and the most reboots of one.
func (x *running) reboots() (vms, most int) {
	for n := range x.site.Servers {
		k := x.site.Platform.RebootCount(n)
		vms += min(k, 1)
		most = max(most, k)
	}
	return vms, most
}

// budget watches how many VMs of each pool are down by the controller's doing.
type budget struct {
	stop  context.CancelFunc
	done  chan struct{}
	most  int
	drawn []string
}

// waveView is a pool's maintenance as an entry shows it.
type waveView struct {
	Pool    string         `json:"pool"`
	MaxDown int            `json:"maxDown"`
	Phases  map[string]int `json:"phases"`
	Waits   string         `json:"waits"`
}

func watchBudget(ctx context.Context, s *site.Site) *budget {
	ctx, stop := context.WithCancel(ctx)
	b := &budget{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for i := 0; ctx.Err() == nil; i++ {
			var l []waveView
			if s.Entries[i%len(s.Entries)].GetJSON(ctx, "/v1/maintenance", &l) == nil {
				b.note(l)
			}
			pause(ctx, watchPeriod)
		}
	}()
	return b
}

func (b *budget) note(l []waveView) {
	for _, w := range l {
		n := w.Phases["draining"] + w.Phases["rebooting"] + w.Phases["held"]
		b.most = max(b.most, n)
		if n > w.MaxDown {
			b.drawn = append(b.drawn, w.Pool+" had "+strconv.Itoa(n)+" VMs down")
		}
	}
}

func (b *budget) report(r *Report) {
	b.stop()
	<-b.done
	r.figure("mostDownInOnePool", b.most)
	r.expect(len(b.drawn) == 0, "a budget was overdrawn: %s", strings.Join(b.drawn, ", "))
}
