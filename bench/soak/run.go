package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
	"github.com/tarragonbank/tarragonbank/platform/standin"
)

// Options says what a soak is made of.
type Options struct {
	Binaries string
	Out      string
	Seed     uint64
	// FaultDuration is for how long faults strike.
	FaultDuration time.Duration
	// Untimed gives all that must come true at last the same long time, for machines that are busy.
	Untimed bool
}

// Result is what a soak found.
type Result struct {
	Violations []string
	Faults     []string
	Accepted   int
	Refused    int
	Unsure     int
	TaskStarts int
}

// run is one soak.
type run struct {
	ctx     context.Context
	site    *jobsite.Site
	callers *jobsite.Callers
	// random belongs to the goroutine that strikes, load to the one that submits.
	random *rand.Rand
	load   *rand.Rand
	faults sync.WaitGroup
	waves  int
	began  time.Time
	// gone and inForce are the times within which the tasks of a cancelled job are gone and a change is in force.
	gone    time.Duration
	inForce time.Duration

	lock       sync.Mutex
	taken      map[*jobsite.Entry]bool
	violations []string
	struck     []string
	lasting    []*jobsite.Submission
}

const (
	leastEntries = 3
	mostEntries  = 5
	leastVMs     = 3
	mostVMs      = 4
	// settleLimit bounds the time after the last fault until all is done: faults that last, leases and a full queue.
	settleLimit = 30 * time.Second
	settlePoll  = 100 * time.Millisecond
	// goneLimit is within which the tasks of a cancelled job are gone: the time to cancel and to stop.
	goneLimit = 3400 * time.Millisecond
	// changeLimit is within which a change is in force at entries that are not disturbed.
	changeLimit = 3 * time.Second
)

// Run soaks a site; it fails where the site cannot be started.
func Run(ctx context.Context, p Options) (*Result, error) {
	random := rand.New(rand.NewPCG(p.Seed, 11))
	s, err := jobsite.New(ctx, jobsite.Options{
		Binaries: p.Binaries, Out: filepath.Join(p.Out, fmt.Sprintf("soak-%d", p.Seed)), Seed: p.Seed,
		Entries: leastEntries + random.IntN(mostEntries-leastEntries+1), PerPool: leastVMs + random.IntN(mostVMs-leastVMs+1),
		Untimed: p.Untimed,
	})
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	r := &run{
		ctx: ctx, site: s, callers: jobsite.NewCallers(s, p.Seed), random: random, load: rand.New(rand.NewPCG(p.Seed, 12)),
		taken: map[*jobsite.Entry]bool{}, began: time.Now(), gone: goneLimit, inForce: changeLimit,
	}
	if p.Untimed {
		r.gone, r.inForce = settleLimit, settleLimit
	}
	follow, stop := context.WithCancel(ctx)
	defer stop()
	go r.callers.PollPhases(follow)
	disturbed, calm := context.WithTimeout(ctx, p.FaultDuration)
	defer calm()
	var work sync.WaitGroup
	work.Add(1)
	go func() {
		defer work.Done()
		r.offer(disturbed)
	}()
	r.strike(disturbed)
	work.Wait()
	r.heal()
	r.settle()
	stop()
	return r.result(), nil
}

// take reserves an entry for a fault that ends or stops its process; it says false where another fault has it.
func (r *run) take(e *jobsite.Entry) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.taken[e] {
		return false
	}
	r.taken[e] = true
	return true
}

func (r *run) give(e *jobsite.Entry) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.taken, e)
}

func (r *run) restart(e *jobsite.Entry) {
	if err := e.Start(); err != nil {
		r.violate("%s did not start again: %s", e.Name, err)
	}
	r.give(e)
}

func (r *run) violate(format string, v ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, v...))
}

func (r *run) note(name string, d time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.struck = append(r.struck, fmt.Sprintf("%6.2fs %s for %.2fs", time.Since(r.began).Seconds(), name, d.Seconds()))
}

// heal ends all disturbances.
func (r *run) heal() {
	for _, e := range r.site.Entries {
		e.StoreProxy.SetFault(proxy.Fault{})
		e.ListProxy.SetFault(proxy.Fault{})
	}
	for n, p := range r.site.ServerProxies {
		p.SetFault(proxy.Fault{})
		r.site.Platform.Behave(n, standin.Behaviour{})
	}
	r.site.Platform.Store.SetTrouble(standin.Trouble{})
}

func (r *run) result() *Result {
	x := &Result{TaskStarts: r.site.Platform.Ledger.Starts()}
	for _, j := range r.callers.Submissions() {
		switch j.Answer {
		case standin.Accepted:
			x.Accepted++
		case standin.Refused:
			x.Refused++
		default:
			x.Unsure++
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	x.Faults = r.struck
	x.Violations = append(r.violations, r.site.Platform.Ledger.Violations()...)
	for _, err := range r.site.Platform.Errors() {
		x.Violations = append(x.Violations, "the stand-in failed: "+err.Error())
	}
	return x
}
