package experiment

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/load"
	"github.com/tarragonbank/tarragonbank/bench/site"
)

const (
	entryCount      = 7
	serviceTime     = 200 * time.Millisecond
	requestDeadline = 2 * time.Second
	listLag         = time.Second
	// poolRate is what a pool of 80 slots serves in a second at the work time.
	poolRate = 400.0
)

// horncraft is the plan of the standard site.
func standardPlan(e Options) site.Plan {
	return site.Plan{
		Binaries: e.BinDir, Deploy: e.DeployDir, Out: e.OutDir, Seed: e.Seed,
		Entries: entryCount, Work: serviceTime, ListLag: listLag,
	}
}

// running is a site under load.
type loadRun struct {
	site     *site.Site
	tally    *load.Tally
	balancer *load.Balancer
	callers  *load.Callers
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// start starts the site and the load of the kinds.
func startLoad(ctx context.Context, p site.Plan, phase string, kinds []load.Kind, weigh func([]load.Target)) (*loadRun, error) {
	s, err := site.New(ctx, p)
	if err != nil {
		return nil, err
	}
	l := s.Targets()
	if weigh != nil {
		weigh(l)
	}
	ctx, stop := context.WithCancel(ctx)
	x := &loadRun{site: s, tally: load.NewTally(phase), balancer: load.NewBalancer(l), stop: stop}
	x.callers = load.NewCallers(x.balancer, x.tally, p.Seed)
	x.done.Add(2)
	go func() {
		defer x.done.Done()
		x.balancer.Run(ctx)
	}()
	go func() {
		defer x.done.Done()
		x.callers.Run(ctx, kinds)
	}()
	return x, nil
}

// finish ends the load, waits for the last answers and checks what must always hold.
func (x *loadRun) finish(r *Report) {
	x.stop()
	x.done.Wait()
	defer x.site.Stop()
	for _, y := range x.site.Entries {
		r.check(!y.Broken(), "%s ended by itself, see its log", y.Name)
	}
	for _, v := range x.tally.Violations() {
		r.addViolation("%s", v)
	}
	ran := 0
	for _, id := range x.tally.NotRun() {
		if x.site.Ledger.Ran(id) > 0 {
			ran++
		}
	}
	r.metric("notRunThatRan", ran)
	r.check(ran == 0, "%d requests answered as not run did run", ran)
	d := x.site.Ledger.Doubled()
	r.metric("keysRunTwice", len(d))
	r.check(len(d) == 0, "keys ran more than once: %v", d)
}

// outcomes records the counts of a phase.
func recordCounts(r *Report, prefix string, c *load.Counts) {
	r.metric(prefix+"Sent", c.Sent)
	r.metric(prefix+"Good", c.Good)
	r.metric(prefix+"NotRun", c.NotRun)
	r.metric(prefix+"Unknown", c.Unknown)
	r.metric(prefix+"Late", c.Late)
	r.metric(prefix+"Errors", c.Errors)
	r.metric(prefix+"Broken", c.Broken)
	for _, n := range slices.Sorted(maps.Keys(c.Reasons)) {
		if n != "" {
			r.metric(prefix+"Reason"+capitalize(n), c.Reasons[n])
		}
	}
	r.millis(prefix+"P50Ms", c.Latency(50))
	r.millis(prefix+"P99Ms", c.Latency(99))
}

// steady makes one kind of request for a service at a fixed part of its pool's rate.
func constantLoad(service string, part float64) load.Kind {
	return load.Kind{
		Name: service, Service: service, Path: "/" + service + "/work", Deadline: requestDeadline, Idempotent: true,
		Rate: func(time.Duration) float64 { return part * poolRate },
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
