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
	entryCount = 7
	workTime   = 200 * time.Millisecond
	deadline   = 2 * time.Second
	listLag    = time.Second
	// poolRate is what a pool of 80 slots serves in a second at the work time.
	poolRate = 400.0
)

// horncraft is the plan of the standard site.
func horncraft(e Environment) site.Options {
	return site.Options{
		Binaries: e.Binaries, Deploy: e.Deploy, Out: e.Out, Seed: e.Seed,
		Entries: entryCount, ServiceTime: workTime, ListLag: listLag,
	}
}

// running is a site under load.
type running struct {
	site     *site.Site
	tally    *load.Tally
	balancer *load.Balancer
	callers  *load.Callers
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// start starts the site and the load of the kinds.
func start(ctx context.Context, p site.Options, phase string, kinds []load.Kind, weigh func([]load.Target)) (*running, error) {
	s, err := site.New(ctx, p)
	if err != nil {
		return nil, err
	}
	l := s.Targets()
	if weigh != nil {
		weigh(l)
	}
	ctx, stop := context.WithCancel(ctx)
	x := &running{site: s, tally: load.NewTally(phase), balancer: load.NewBalancer(l), stop: stop}
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
func (x *running) finish(r *Report) {
	x.stop()
	x.done.Wait()
	defer x.site.Stop()
	for _, y := range x.site.Entries {
		r.expect(!y.Broken(), "%s ended by itself, see its log", y.Name)
	}
	for _, v := range x.tally.Violations() {
		r.violate("%s", v)
	}
	ran := 0
	for _, id := range x.tally.NotRun() {
		if x.site.Recorder.Executions(id) > 0 {
			ran++
		}
	}
	r.figure("notRunThatRan", ran)
	r.expect(ran == 0, "%d requests answered as not run did run", ran)
	d := x.site.Recorder.DuplicateKeys()
	r.figure("keysRunTwice", len(d))
	r.expect(len(d) == 0, "keys ran more than once: %v", d)
}

// outcomes records the counts of a phase.
func outcomes(r *Report, prefix string, c *load.Counts) {
	r.figure(prefix+"Sent", c.Sent)
	r.figure(prefix+"Good", c.Good)
	r.figure(prefix+"NotRun", c.NotRun)
	r.figure(prefix+"Unknown", c.Unknown)
	r.figure(prefix+"Late", c.Late)
	r.figure(prefix+"Errors", c.Errors)
	r.figure(prefix+"Broken", c.Broken)
	for _, n := range slices.Sorted(maps.Keys(c.Reasons)) {
		if n != "" {
			r.figure(prefix+"Reason"+title(n), c.Reasons[n])
		}
	}
	r.ms(prefix+"P50Ms", c.Latency(50))
	r.ms(prefix+"P99Ms", c.Latency(99))
}

// steady makes one kind of request for a service at a fixed part of its pool's rate.
func steady(service string, part float64) load.Kind {
	return load.Kind{
		Name: service, Service: service, Path: "/" + service + "/work", Deadline: deadline, Idempotent: true,
		Rate: func(time.Duration) float64 { return part * poolRate },
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
