package soak

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/platform/simulator"
)

const (
	workspaceCount = 4
	// minWorkspaceGap and maxWorkspaceGap bound the time between changes of workspaces.
	minWorkspaceGap = 300 * time.Millisecond
	maxWorkspaceGap = 2 * time.Second
	// isolation is how long an entry does not learn of a withdrawn key, or longer by up to isolationSpread. It is longer
	// than a withdrawn key may be accepted, with time left to see what the entry does then.
	isolation       = jobsite.RevokeTime + 500*time.Millisecond
	isolationSpread = 1500 * time.Millisecond
	// lateProbes is the number of requests with a withdrawn key, lateProbeInterval apart, when the key must be rejected.
	lateProbes        = 20
	lateProbeInterval = 50 * time.Millisecond
	// floodJobs is what a workspace submits in a flood, floodInterval apart: about seven times its usual load.
	floodJobs     = 35
	floodInterval = 150 * time.Millisecond
	// lowCap is the share of its cap, one in so many parts, that a workspace keeps when it is lowered: still room for
	// each job.
	lowCap  = 3
	highCap = 2
)

// countWorkspaces returns the number of workspaces of a soak: two of five seeds have them.
func countWorkspaces(seed uint64) int {
	if n := seed % 5; n == 2 || n == 4 {
		return workspaceCount
	}
	return 0
}

// workspaceChange is a named change of a workspace.
type workspaceChange struct {
	name   string
	change func(ctx context.Context, r *run, workspace string) error
}

// workspaceChanges lists the changes that a soak draws from, each with the same probability.
var workspaceChanges = []workspaceChange{
	{"keyReplaced", func(_ context.Context, r *run, w string) error { return r.replaceKeys(w) }},
	{"allKeysWithdrawn", withdrawAllKeys},
	{"keyWithdrawnFromCutEntry", withdrawFromCutEntry},
	{"keyWithdrawnFromDeafEntry", withdrawFromDeafEntry},
	{"keyWithdrawnFromPausedEntry", withdrawFromPausedEntry},
	{"keyWithdrawnInStoreOutage", withdrawInStoreOutage},
	{"capLowered", func(_ context.Context, r *run, w string) error { return r.site.SetCap(w, scaledCap(1, lowCap)) }},
	{"capRaised", func(_ context.Context, r *run, w string) error { return r.site.SetCap(w, scaledCap(highCap, 1)) }},
	{"weight", func(_ context.Context, r *run, w string) error {
		return r.site.SetWeight(w, float64(1+r.workspaceRandom.IntN(workspaceCount)))
	}},
	{"flood", flood},
}

// changeWorkspaces changes workspaces until the context ends. It draws from a stream of its own so that the other faults of
// a seed do not depend on it.
func (r *run) changeWorkspaces(ctx context.Context) {
	defer r.withdrawals.Wait()
	l := r.site.Workspaces()
	for len(l) > 0 {
		wait(ctx, minWorkspaceGap+time.Duration(r.workspaceRandom.Int64N(int64(maxWorkspaceGap-minWorkspaceGap))))
		if ctx.Err() != nil {
			return
		}
		c, w := workspaceChanges[r.workspaceRandom.IntN(len(workspaceChanges))], l[r.workspaceRandom.IntN(len(l))]
		r.recordFault(c.name+" "+w, 0)
		if err := c.change(ctx, r, w); err != nil {
			r.addViolation("changing a workspace failed: %s", err)
		}
	}
}

// probeKeys probes keys until the context ends if workspaces are in use.
func (r *run) probeKeys(ctx context.Context) {
	if len(r.site.Workspaces()) > 0 {
		r.callers.ProbeKeys(ctx)
	}
}

// replaceKeys gives a workspace a new key and withdraws all others.
func (r *run) replaceKeys(w string) error {
	if err := r.site.AddKey(w); err != nil {
		return err
	}
	return r.site.WithdrawKeys(w, 1)
}

// withdrawAllKeys withdraws all keys of a workspace, whose accepted jobs must go on, and gives it a new one later.
func withdrawAllKeys(ctx context.Context, r *run, w string) error {
	if err := r.site.WithdrawKeys(w, 0); err != nil {
		return err
	}
	wait(ctx, isolation)
	return r.site.AddKey(w)
}

// withdrawWhile replaces the keys of a workspace while an entry does not learn of it, and asks that entry with a withdrawn
// key when it must reject it, before and after the function end ends the fault. It returns once the keys are replaced.
func (r *run) withdrawWhile(w string, e *jobsite.Entry, end func()) error {
	r.recordFault("withdrawal from "+e.Name, 0)
	d := isolation + time.Duration(r.workspaceRandom.Int64N(int64(isolationSpread)))
	err := r.replaceKeys(w)
	r.withdrawals.Add(1)
	go func() {
		defer r.withdrawals.Done()
		time.Sleep(d)
		time.AfterFunc(lateProbes/2*lateProbeInterval, end)
		r.probeWithdrawn(w, e)
	}()
	return err
}

// probeWithdrawn sends an entry requests about an accepted job and a queue with the key of a workspace that was withdrawn
// last, without waiting for the answers in between.
func (r *run) probeWithdrawn(w string, e *jobsite.Entry) {
	_, withdrawn := r.site.Keys(w)
	key, requests := withdrawn[len(withdrawn)-1], []*schema.JobRequest{{Queue: jobsite.Pools[0]}}
	for _, x := range r.callers.Submissions() {
		if x.Workspace == w && x.Answer == simulator.Accepted {
			requests = append(requests, x.Request)
			break
		}
	}
	for i := range lateProbes {
		r.withdrawals.Add(1)
		go func() {
			defer r.withdrawals.Done()
			r.callers.Probe(r.ctx, e, requests[i%len(requests)], key)
		}()
		time.Sleep(lateProbeInterval)
	}
}

func withdrawFromCutEntry(_ context.Context, r *run, w string) error {
	return r.withdrawBehind(w, r.workspaceEntry(), proxy.Fault{Hold: true})
}

// withdrawFromDeafEntry cuts one direction: the entry's calls reach the store, the responses do not reach the entry.
func withdrawFromDeafEntry(_ context.Context, r *run, w string) error {
	return r.withdrawBehind(w, r.workspaceEntry(), proxy.Fault{HoldResponses: true})
}

// withdrawFromPausedEntry pauses an entry that does not reach the store either, so that it cannot learn of the withdrawal
// first when it is resumed.
func withdrawFromPausedEntry(_ context.Context, r *run, w string) error {
	e := r.workspaceEntry()
	if !r.reserve(e) {
		return nil
	}
	e.Signal(syscall.SIGSTOP)
	// The link is still held for a while after that.
	time.AfterFunc(isolation, func() {
		e.Signal(syscall.SIGCONT)
		r.release(e)
	})
	return r.withdrawBehind(w, e, proxy.Fault{Hold: true})
}

// withdrawBehind is withdrawWhile with a fault of the entry's link to the store.
func (r *run) withdrawBehind(w string, e *jobsite.Entry, f proxy.Fault) error {
	end := r.setStoreLinkFault(e, f)
	return r.withdrawPinned(w, e, e.StoreProxy, end)
}

func withdrawInStoreOutage(_ context.Context, r *run, w string) error {
	f := simulator.StoreFaults{Outage: true, Silent: r.workspaceRandom.IntN(2) == 0}
	return r.withdrawPinned(w, r.workspaceEntry(), r.site.Platform.Store, onStore(f)(r))
}

// withdrawPinned is withdrawWhile with a fault of a link or the store that no other fault may replace.
func (r *run) withdrawPinned(w string, e *jobsite.Entry, faulty any, end func()) error {
	if !r.pin(faulty) {
		end()
		return nil
	}
	return r.withdrawWhile(w, e, func() {
		r.unpin(faulty)
		end()
	})
}

func (r *run) workspaceEntry() *jobsite.Entry {
	return r.site.Entries[r.workspaceRandom.IntN(len(r.site.Entries))]
}

// flood lets a workspace submit several times its usual load.
func flood(ctx context.Context, r *run, w string) error {
	for i := 0; i < floodJobs && ctx.Err() == nil; i++ {
		q := jobsite.Pools[r.workspaceRandom.IntN(len(jobsite.Pools))]
		r.callers.SubmitFor(r.ctx, w, jobsite.TwoStep(r.callers.NewJobID(), q, r.workspaceRandom))
		wait(ctx, floodInterval)
	}
	return nil
}

// scaledCap returns the cap of a workspace at the start times a fraction.
func scaledCap(numerator, denominator int64) job.Size {
	c := jobsite.WorkspaceCap
	return job.Size{CPU: c.CPU * numerator / denominator, MemoryMB: c.MemoryMB * numerator / denominator}
}

// restoreCaps gives all workspaces their first caps, so that all accepted jobs have room.
func (r *run) restoreCaps() {
	for _, w := range r.site.Workspaces() {
		if err := r.site.SetCap(w, scaledCap(1, 1)); err != nil {
			r.addViolation("restoring a cap failed: %s", err)
		}
	}
}

// checkLeaks adds a violation for each log of an entry and each stored record, apart from the configuration, that holds a
// key.
func (r *run) checkLeaks() {
	for _, w := range r.site.Workspaces() {
		current, withdrawn := r.site.Keys(w)
		for _, key := range append(current, withdrawn...) {
			for _, e := range r.site.Entries {
				b, err := os.ReadFile(filepath.Join(r.site.Options.Out, e.Name+".log"))
				if err != nil {
					r.addViolation("the log of %s cannot be read: %s", e.Name, err)
				}
				if bytes.Contains(b, []byte(key)) {
					r.addViolation("the log of %s holds a key of %s", e.Name, w)
				}
			}
			if l := r.site.Platform.KeysHolding(key); len(l) > 0 {
				r.addViolation("the stored records %v hold a key of %s", l, w)
			}
		}
	}
}
