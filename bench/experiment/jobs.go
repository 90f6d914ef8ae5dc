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
	jobEntries    = 3
	jobVMsPerPool = 3
	// jobsEvery is between submissions.
	submitInterval = 200 * time.Millisecond
	// jobsLimit bounds the time until all accepted jobs are done, once the last was submitted.
	completionTimeout = 20 * time.Second
	// waveTime is how long the operators give a wave of maintenance.
	waveTimeLimit = 30 * time.Second
)

func init() {
	register("jobs", "jobs through a change, a wave of maintenance and the loss of the owner", jobs)
}

func jobs(ctx context.Context, e Options, r *Report) error {
	s, err := jobsite.New(ctx, jobsite.Plan{Binaries: e.BinDir, Out: e.OutDir, Seed: e.Seed, Entries: jobEntries, PerPool: jobVMsPerPool})
	if err != nil {
		return err
	}
	defer s.Stop()
	c := jobsite.NewCallers(s, e.Seed)
	follow, stop := context.WithCancel(ctx)
	defer stop()
	go c.Follow(follow)
	x := &jobRun{site: s, callers: c, random: rand.New(rand.NewPCG(e.Seed, 4)), report: r}
	watch := c.Submit(ctx, jobsite.Lasting(c.ID(), jobsite.Pools[0]))
	for _, part := range []func(context.Context) error{x.undisturbed, x.changeConfig, x.startWave, x.killOwner} {
		x.submitJobs(ctx, e.scale(3*time.Second))
		if err := part(ctx); err != nil {
			return err
		}
	}
	x.submitJobs(ctx, e.scale(3*time.Second))
	c.Wait()
	c.Cancel(ctx, watch)
	c.Wait()
	x.awaitCompletion(ctx)
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
func (x *jobRun) submitJobs(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		x.callers.Submit(ctx, jobsite.Ordinary(x.callers.ID(), jobsite.Pools[x.random.IntN(len(jobsite.Pools))], x.random))
		sleep(ctx, submitInterval)
	}
}

func (x *jobRun) undisturbed(context.Context) error {
	return nil
}

func (x *jobRun) changeConfig(context.Context) error {
	return x.site.Change()
}

// maintain asks for the maintenance of all VMs, two at once.
func (x *jobRun) startWave(context.Context) error {
	l := []string{}
	for _, m := range x.site.StandIn.Plan.Machines {
		l = append(l, m.Name)
	}
	return x.site.StandIn.Wave(1, l, waveTimeLimit, 2)
}

// takeover kills the owner and measures the time until another entry owns the fleet.
func (x *jobRun) killOwner(ctx context.Context) error {
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
		sleep(ctx, jobPollInterval)
	}
	x.report.millis("takeoverMs", time.Since(began))
	return o.Start()
}

// jobPoll is between looks at what should come true.
const jobPollInterval = 20 * time.Millisecond

// settle waits until all is done and checks what must hold.
func (x *jobRun) awaitCompletion(ctx context.Context) {
	began := time.Now()
	for time.Since(began) < completionTimeout && ctx.Err() == nil && !(x.countUnfinished() == 0 && x.site.StandIn.WaveComplete(1)) {
		sleep(ctx, jobPollInterval)
	}
	x.report.check(x.site.StandIn.WaveComplete(1), "the wave is not complete")
	x.report.check(x.countUnfinished() == 0, "%d accepted jobs have not ended", x.countUnfinished())
	for _, v := range x.site.StandIn.Ledger.Violations() {
		x.report.addViolation("%s", v)
	}
	for _, err := range x.site.StandIn.Errors() {
		x.report.addViolation("the stand-in failed: %s", err)
	}
	m := map[standin.Answer]int{}
	for _, j := range x.callers.Jobs() {
		m[j.Answer]++
	}
	x.report.metric("jobsAccepted", m[standin.Accepted])
	x.report.metric("jobsRefused", m[standin.Refused])
	x.report.metric("jobsUnsure", m[standin.Unsure])
	x.report.metric("tasksStarted", x.site.StandIn.Ledger.Starts())
	x.report.check(m[standin.Accepted] > 0, "no job was accepted")
}

// open counts the accepted jobs that have not ended.
func (x *jobRun) countUnfinished() int {
	n := 0
	for _, j := range x.callers.Jobs() {
		if j.Answer == standin.Accepted && j.Ended.IsZero() {
			n++
		}
	}
	return n
}
