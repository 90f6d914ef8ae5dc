package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/platform/standin"
)

const (
	jobEntries = 3
	jobVMs     = 3
	// jobsEvery is between submissions.
	jobsEvery = 200 * time.Millisecond
	// jobsLimit bounds the time until all accepted jobs are done, once the last was submitted.
	jobsLimit = 20 * time.Second
	// waveTime is how long the operators give a wave of maintenance.
	waveTime = 30 * time.Second
)

func init() {
	register("jobs", "jobs through a change, a wave of maintenance and the loss of the owner", jobs)
}

func jobs(ctx context.Context, e Environment, r *Report) error {
	s, err := jobsite.New(ctx, jobsite.Options{Binaries: e.Binaries, Out: e.Out, Seed: e.Seed, Entries: jobEntries, PerPool: jobVMs})
	if err != nil {
		return err
	}
	defer s.Stop()
	c := jobsite.NewCallers(s, e.Seed)
	follow, stop := context.WithCancel(ctx)
	defer stop()
	go c.PollPhases(follow)
	x := &jobRun{site: s, callers: c, random: rand.New(rand.NewPCG(e.Seed, 4)), report: r}
	watch := c.Submit(ctx, jobsite.LongRunning(c.ID(), jobsite.Pools[0]))
	for _, part := range []func(context.Context) error{x.calm, x.change, x.maintain, x.takeover} {
		x.offer(ctx, e.scaled(3*time.Second))
		if err := part(ctx); err != nil {
			return err
		}
	}
	x.offer(ctx, e.scaled(3*time.Second))
	c.Wait()
	c.Cancel(ctx, watch)
	c.Wait()
	x.settle(ctx)
	return nil
}

// jobRun is a run of the experiment.
type jobRun struct {
	site    *jobsite.Site
	callers *jobsite.Callers
	random  *rand.Rand
	report  *Report
}

// offer submits jobs at a steady rate.
func (x *jobRun) offer(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		x.callers.Submit(ctx, jobsite.TwoStep(x.callers.ID(), jobsite.Pools[x.random.IntN(len(jobsite.Pools))], x.random))
		pause(ctx, jobsEvery)
	}
}

func (x *jobRun) calm(context.Context) error {
	return nil
}

func (x *jobRun) change(context.Context) error {
	return x.site.Reconfigure()
}

// maintain asks for the maintenance of all VMs, two at once.
func (x *jobRun) maintain(context.Context) error {
	l := []string{}
	for _, m := range x.site.Platform.Plan.Machines {
		l = append(l, m.Name)
	}
	return x.site.Platform.Wave(1, l, waveTime, 2)
}

// takeover kills the owner and measures the time until another entry owns the fleet.
func (x *jobRun) takeover(ctx context.Context) error {
	o := x.callers.Owner(ctx)
	if o == nil {
		return fmt.Errorf("no entry owns the fleet")
	}
	began := time.Now()
	o.Signal(syscall.SIGKILL)
	<-o.Done()
	for ctx.Err() == nil {
		if n := x.callers.Owner(ctx); n != nil && n != o {
			break
		}
		pause(ctx, jobPoll)
	}
	x.report.ms("takeoverMs", time.Since(began))
	return o.Start()
}

// jobPoll is between looks at what should come true.
const jobPoll = 20 * time.Millisecond

// settle waits until all is done and checks what must hold.
func (x *jobRun) settle(ctx context.Context) {
	began := time.Now()
	for time.Since(began) < jobsLimit && ctx.Err() == nil && !(x.open() == 0 && x.site.Platform.WaveComplete(1)) {
		pause(ctx, jobPoll)
	}
	x.report.expect(x.site.Platform.WaveComplete(1), "the wave is not complete")
	x.report.expect(x.open() == 0, "%d accepted jobs have not ended", x.open())
	for _, v := range x.site.Platform.Ledger.Violations() {
		x.report.violate("%s", v)
	}
	for _, err := range x.site.Platform.Errors() {
		x.report.violate("the stand-in failed: %s", err)
	}
	m := map[standin.Answer]int{}
	for _, j := range x.callers.Submissions() {
		m[j.Answer]++
	}
	x.report.figure("jobsAccepted", m[standin.Accepted])
	x.report.figure("jobsRefused", m[standin.Refused])
	x.report.figure("jobsUnsure", m[standin.Unsure])
	x.report.figure("tasksStarted", x.site.Platform.Ledger.Starts())
	x.report.expect(m[standin.Accepted] > 0, "no job was accepted")
}

// open counts the accepted jobs that have not ended.
func (x *jobRun) open() int {
	n := 0
	for _, j := range x.callers.Submissions() {
		if j.Answer == standin.Accepted && j.Ended.IsZero() {
			n++
		}
	}
	return n
}
