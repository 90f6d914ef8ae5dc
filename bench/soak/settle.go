package soak

import (
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/platform/simulator"
)

// settle waits until all accepted jobs have ended and checks the guarantees that hold after recovery.
func (r *run) settle() {
	r.eventually(settleLimit, "not all entries are ready", r.allReady)
	r.eventually(settleLimit, "", func() bool { return len(r.unfinished()) == 0 })
	for _, x := range r.unfinished() {
		r.addViolation("accepted job %s is still %q after all faults have ended: %s", x.Request.Id, x.Phase, r.callers.Explain(r.ctx, x.Request.Id))
	}
	for _, x := range r.callers.Submissions() {
		r.checkEnd(x)
	}
	for n := 1; n <= r.waves; n++ {
		r.eventually(settleLimit, "a maintenance wave is not complete", func() bool { return r.site.Platform.WaveComplete(n) })
	}
	r.eventually(r.changeLimit, "the last configuration change is not in force at all entries", r.changeInForce)
	r.settleLongRunning()
	r.checkLeaks()
	for _, e := range r.site.Entries {
		if e.ExitedWithError() {
			r.addViolation("%s exited with an error, see its log", e.Name)
		}
		if found, err := e.HasReportedRace(); found || err != nil {
			r.addViolation("%s has reported a data race, see its log (error: %v)", e.Name, err)
		}
	}
}

// eventually polls a condition until the limit and records a violation with the text if it does not hold by then. An empty
// text records nothing.
func (r *run) eventually(limit time.Duration, otherwise string, ok func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end) && r.ctx.Err() == nil; {
		if ok() {
			return
		}
		time.Sleep(settlePollInterval)
	}
	if otherwise != "" {
		r.addViolation("%s", otherwise)
	}
}

func (r *run) allReady() bool {
	for _, e := range r.site.Entries {
		if !e.Ready(r.ctx) {
			return false
		}
	}
	return true
}

func (r *run) changeInForce() bool {
	for _, e := range r.site.Entries {
		if r.callers.ConfigVersion(r.ctx, e) != r.site.Table.Version {
			return false
		}
	}
	return true
}

// unfinished returns the accepted jobs that have not ended, long-running ones excepted.
func (r *run) unfinished() []jobsite.Submission {
	l := []jobsite.Submission{}
	for _, x := range r.callers.Submissions() {
		if x.Answer == simulator.Accepted && x.Ended.IsZero() && !x.Steps[0].LongRunning {
			l = append(l, x)
		}
	}
	return l
}

// checkEnd verifies that no accepted job is cancelled without a request. The callers check failed and completed jobs.
func (r *run) checkEnd(x jobsite.Submission) {
	if x.Answer == simulator.Accepted && x.Phase == "cancelled" && !x.Cancelled {
		r.addViolation("job %s is reported as cancelled without a cancellation request", x.Request.Id)
	}
}

// settleLongRunning verifies that all tasks of accepted long-running jobs run, cancels these and those of unknown outcome, and
// verifies that the tasks of all end.
func (r *run) settleLongRunning() {
	for _, x := range r.longRunning {
		id := x.Request.Id
		if r.callers.Submission(id).Answer == simulator.Accepted {
			r.eventually(settleLimit, "not all tasks of the long-running job "+id+" are running", func() bool {
				return r.site.Platform.Checker.RunningCount(id) == x.Steps[0].Count
			})
		}
		r.callers.CancelUnlessRefused(r.ctx, x)
	}
	r.callers.Wait()
	for _, x := range r.longRunning {
		id := x.Request.Id
		r.eventually(r.cancelLimit, "tasks of the cancelled job "+id+" are still running", func() bool { return r.site.Platform.Checker.RunningCount(id) == 0 })
	}
}
