package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/platform/simulator"
)

const (
	jobEntries    = 3
	jobVMsPerPool = 3
	// submitInterval is the time between submissions.
	submitInterval = 200 * time.Millisecond
	// completionTimeout bounds the time from the last submission until all accepted jobs have ended.
	completionTimeout = 20 * time.Second
	// waveTimeLimit is the time that operators allow for a maintenance wave.
	waveTimeLimit = 30 * time.Second
)

func init() {
	register("jobs", "jobs during a configuration change, a maintenance wave and the loss of the owner", jobs)
}

func jobs(ctx context.Context, e Options, r *Report) error {
	s, err := jobsite.New(ctx, jobsite.Options{Binaries: e.BinDir, Out: e.OutDir, Seed: e.Seed, Entries: jobEntries, VMsPerPool: jobVMsPerPool})
	if err != nil {
		return err
	}
	defer s.Stop()
	c := jobsite.NewCallers(s, e.Seed)
	follow, stop := context.WithCancel(ctx)
	defer stop()
	go c.PollPhases(follow)
	x := &jobRun{site: s, callers: c, random: rand.New(rand.NewPCG(e.Seed, 4)), report: r}
	watch := c.Submit(ctx, jobsite.LongRunning(c.NewJobID(), jobsite.Pools[0]))
	for _, step := range []func(context.Context) error{x.undisturbed, x.changeConfig, x.startWave, x.killOwner} {
		x.submitJobs(ctx, e.scale(3*time.Second))
		if err := step(ctx); err != nil {
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

// jobRun is one run of the jobs experiment.
type jobRun struct {
	site    *jobsite.Site
	callers *jobsite.Callers
	random  *rand.Rand
	report  *Report
}

// submitJobs submits ordinary jobs to random queues for d, one every submitInterval.
func (x *jobRun) submitJobs(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		x.callers.Submit(ctx, jobsite.TwoStep(x.callers.NewJobID(), jobsite.Pools[x.random.IntN(len(jobsite.Pools))], x.random))
		sleep(ctx, submitInterval)
	}
}

// undisturbed is the step without an event.
func (x *jobRun) undisturbed(context.Context) error {
	return nil
}

func (x *jobRun) changeConfig(context.Context) error {
	return x.site.Reconfigure()
}

// startWave requests maintenance of all VMs, at most two at once.
func (x *jobRun) startWave(context.Context) error {
	l := []string{}
	for _, m := range x.site.Platform.Options.VMs {
		l = append(l, m.Name)
	}
	return x.site.Platform.RequestWave(1, l, waveTimeLimit, 2)
}

// killOwner kills the owner, records the time until another entry owns the fleet, and restarts the killed entry.
func (x *jobRun) killOwner(ctx context.Context) error {
	o := x.callers.Owner(ctx)
	if o == nil {
		return fmt.Errorf("no entry owns the fleet, so none can be killed")
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

// jobPollInterval is the time between checks of an awaited condition.
const jobPollInterval = 20 * time.Millisecond

// awaitCompletion waits until the wave is complete and all accepted jobs have ended, and then checks the invariants.
func (x *jobRun) awaitCompletion(ctx context.Context) {
	began := time.Now()
	for time.Since(began) < completionTimeout && ctx.Err() == nil && !(x.countUnfinished() == 0 && x.site.Platform.WaveComplete(1)) {
		sleep(ctx, jobPollInterval)
	}
	x.report.check(x.site.Platform.WaveComplete(1), "the maintenance wave did not complete")
	x.checkJobs()
}

// awaitJobs waits until all accepted jobs have ended, and then checks the invariants.
func (x *jobRun) awaitJobs(ctx context.Context) {
	for began := time.Now(); time.Since(began) < completionTimeout && ctx.Err() == nil && x.countUnfinished() > 0; {
		sleep(ctx, jobPollInterval)
	}
	x.checkJobs()
}

// checkJobs checks the invariants after all jobs should have ended.
func (x *jobRun) checkJobs() {
	x.report.check(x.countUnfinished() == 0, "%d accepted jobs did not end", x.countUnfinished())
	for _, v := range x.site.Platform.Checker.Violations() {
		x.report.addViolation("%s", v)
	}
	for _, err := range x.site.Platform.Errors() {
		x.report.addViolation("platform stand-in: %s", err)
	}
	m := map[simulator.Answer]int{}
	for _, j := range x.callers.Submissions() {
		m[j.Answer]++
	}
	x.report.metric("jobsAccepted", m[simulator.Accepted])
	x.report.metric("jobsRefused", m[simulator.Refused])
	x.report.metric("jobsUnsure", m[simulator.OutcomeUnknown])
	x.report.metric("tasksStarted", x.site.Platform.Checker.StartCount())
	x.report.check(m[simulator.Accepted] > 0, "no job was accepted")
}

// countUnfinished returns the number of accepted jobs that have not ended.
func (x *jobRun) countUnfinished() int {
	n := 0
	for _, j := range x.callers.Submissions() {
		if j.Answer == simulator.Accepted && j.Ended.IsZero() {
			n++
		}
	}
	return n
}
