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
	// listLag is the delay with which changes appear in the platform's list of machines.
	listLag = time.Second
	// poolRate is the capacity of a pool in requests a second: 80 slots at serviceTime.
	poolRate = 400.0
)

// standardPlan returns the plan of the site that most experiments use.
func standardPlan(e Options) site.Options {
	return site.Options{
		Binaries: e.BinDir, Deploy: e.DeployDir, Out: e.OutDir, Seed: e.Seed,
		Entries: entryCount, ServiceTime: serviceTime, ListLag: listLag,
	}
}

// loadRun is a running site together with the load on it.
type loadRun struct {
	site     *site.Site
	tally    *load.Tally
	balancer *load.Balancer
	callers  *load.Callers
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// startLoad starts the site and sends requests of the given kinds through a balancer. If setWeights is not nil, it may
// change the weights of the entries before the balancer starts.
func startLoad(ctx context.Context, p site.Options, phase string, kinds []load.Kind, setWeights func([]load.Target)) (*loadRun, error) {
	s, err := site.New(ctx, p)
	if err != nil {
		return nil, err
	}
	l := s.Targets()
	if setWeights != nil {
		setWeights(l)
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

// finish stops the load, waits for outstanding answers, checks the invariants of request execution and stops the site.
func (x *loadRun) finish(r *Report) {
	x.stop()
	x.done.Wait()
	defer x.site.Stop()
	for _, y := range x.site.Entries {
		r.check(!y.ExitedWithError(), "entry %s exited unexpectedly, see its log", y.Name)
	}
	for _, v := range x.tally.Violations() {
		r.addViolation("%s", v)
	}
	ran := 0
	for _, id := range x.tally.NotRun() {
		if x.site.Recorder.Executions(id) > 0 {
			ran++
		}
	}
	r.metric("notRunThatRan", ran)
	r.check(ran == 0, "%d requests were answered as not run, but a backend server ran them", ran)
	d := x.site.Recorder.DuplicateKeys()
	r.metric("keysRunTwice", len(d))
	r.check(len(d) == 0, "idempotency keys ran more than once: %v", d)
}

// recordCounts records the outcomes, reasons and latencies in c as metrics whose names start with prefix.
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

// constantLoad returns idempotent requests for a service, sent at a constant rate of fraction times poolRate.
func constantLoad(service string, fraction float64) load.Kind {
	return load.Kind{
		Name: service, Service: service, Path: "/" + service + "/work", Deadline: requestDeadline, Idempotent: true,
		Rate: func(time.Duration) float64 { return fraction * poolRate },
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
