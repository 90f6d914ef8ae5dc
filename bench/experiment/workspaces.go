package experiment

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
)

const (
	// capFloodDuration is how long one workspace submits more than its cap has room for, a job every capFloodInterval.
	capFloodDuration = 6 * time.Second
	capFloodInterval = 40 * time.Millisecond
	// quietShare is the number of jobs of the flooding workspace for each one of the other.
	quietShare = 15
	// keyTimeLimit bounds the wait for an entry to know of a change of keys.
	keyTimeLimit = 20 * time.Second
)

func init() {
	register("workspaces", "a workspace that floods its cap, and the time until entries know of changed keys", workspaces)
}

func workspaces(ctx context.Context, e Options, r *Report) error {
	s, err := jobsite.New(ctx, jobsite.Options{
		Binaries: e.BinDir, Out: e.OutDir, Seed: e.Seed, Entries: jobEntries, VMsPerPool: jobVMsPerPool, Workspaces: 2, ChecksCaps: checksCaps,
		Untimed: e.SkipTargets,
	})
	if err != nil {
		return err
	}
	defer s.Stop()
	c := jobsite.NewCallers(s, e.Seed)
	follow, stop := context.WithCancel(ctx)
	defer stop()
	go c.PollPhases(follow)
	x := &jobRun{site: s, callers: c, random: rand.New(rand.NewPCG(e.Seed, 5)), report: r}
	l := s.Workspaces()
	x.floodWorkspace(ctx, l[0], l[1], e.scale(capFloodDuration))
	if err := x.changeKeys(ctx, l[1]); err != nil {
		return err
	}
	c.Wait()
	x.awaitJobs(ctx)
	return nil
}

// floodWorkspace lets one workspace submit more than its cap has room for beside another, and reports the most that it had
// running.
func (x *jobRun) floodWorkspace(ctx context.Context, flooding, quiet string, d time.Duration) {
	most := int64(0)
	for i, end := 0, time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; i++ {
		w := flooding
		if i%quietShare == 0 {
			w = quiet
		}
		x.callers.SubmitFor(ctx, w, jobsite.TwoStep(x.callers.NewJobID(), jobsite.Pools[x.random.IntN(len(jobsite.Pools))], x.random))
		most = max(most, x.site.Platform.Checker.Used(flooding).CPU)
		sleep(ctx, capFloodInterval)
	}
	x.report.metric("capMilliCores", jobsite.WorkspaceCap.CPU)
	x.report.metric("mostRunningMilliCores", most)
}

// changeKeys adds a key to a workspace, then withdraws the others, and reports the times until all entries go by it.
func (x *jobRun) changeKeys(ctx context.Context, workspace string) error {
	if err := x.site.AddKey(workspace); err != nil {
		return err
	}
	l, _ := x.site.Keys(workspace)
	added := x.awaitAnswer(ctx, l[len(l)-1], func(status int) bool { return status == http.StatusOK })
	if err := x.site.WithdrawKeys(workspace, 1); err != nil {
		return err
	}
	withdrawn := x.awaitAnswer(ctx, l[0], func(status int) bool { return status == http.StatusUnauthorized })
	x.report.millis("keyAddedMs", added)
	x.report.millis("keyWithdrawnMs", withdrawn)
	x.report.checkTarget(max(added, withdrawn) <= jobsite.ConfigApplyTime, "entries took %s to accept an added key and %s to reject a withdrawn one", added, withdrawn)
	return nil
}

// awaitAnswer returns the time until all entries answer a request about the queue with a key in the expected way, or
// keyTimeLimit.
func (x *jobRun) awaitAnswer(ctx context.Context, key string, expected func(status int) bool) time.Duration {
	began := time.Now()
	for _, e := range x.site.Entries {
		for !expected(x.callers.ProbeQueue(ctx, e, jobsite.Pools[0], key)) && time.Since(began) < keyTimeLimit && ctx.Err() == nil {
			sleep(ctx, jobPollInterval)
		}
	}
	return time.Since(began)
}
