package soak

import (
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/platform/standin"
)

// settle waits until all that was accepted is done, and checks what must hold then.
func (r *run) settle() {
	r.eventually(settleLimit, "not all entries are ready", r.allReady)
	r.eventually(settleLimit, "", func() bool { return len(r.unfinished()) == 0 })
	for _, x := range r.unfinished() {
		r.violate("job %s was accepted and is %q after all faults are over: %s", x.Request.Id, x.Phase, r.callers.Explain(r.ctx, x.Request.Id))
	}
	for _, x := range r.callers.Submissions() {
		r.checkEnd(x)
	}
	for n := 1; n <= r.waves; n++ {
		r.eventually(settleLimit, "a wave is not complete", func() bool { return r.site.Platform.WaveComplete(n) })
	}
	r.eventually(r.inForce, "the last change is not in force everywhere", r.changeInForce)
	r.settleLasting()
	for _, e := range r.site.Entries {
		if e.Broken() {
			r.violate("%s ended by itself, see its log", e.Name)
		}
	}
}

// eventually waits for a condition, and notes a violation with the text where it does not come true.
func (r *run) eventually(limit time.Duration, otherwise string, ok func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end) && r.ctx.Err() == nil; {
		if ok() {
			return
		}
		time.Sleep(settlePoll)
	}
	if otherwise != "" {
		r.violate("%s", otherwise)
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

// unfinished are the accepted jobs that end by themselves and have not.
func (r *run) unfinished() []jobsite.Submission {
	l := []jobsite.Submission{}
	for _, x := range r.callers.Submissions() {
		if x.Answer == standin.Accepted && x.Ended.IsZero() && !x.Steps[0].Lasting {
			l = append(l, x)
		}
	}
	return l
}

// checkEnd checks that an accepted job did not end otherwise than its caller asked for without a cause.
func (r *run) checkEnd(x jobsite.Submission) {
	switch {
	case x.Answer != standin.Accepted:
	case x.Phase == "cancelled" && !x.Cancelled:
		r.violate("job %s is shown as cancelled, which nobody asked for", x.Request.Id)
	case x.Phase == "failed" && r.site.Platform.Ledger.Failures(x.Request.Id) < jobsite.TaskAttempts:
		r.violate("job %s is shown as failed after %d failed runs of a task", x.Request.Id, r.site.Platform.Ledger.Failures(x.Request.Id))
	}
}

// settleLasting checks that all tasks that last are at work, cancels their jobs, and checks that they are gone.
func (r *run) settleLasting() {
	for _, x := range r.lasting {
		id := x.Request.Id
		if r.callers.Submission(id).Answer != standin.Accepted {
			continue
		}
		r.eventually(settleLimit, "tasks of the lasting job "+id+" do not run", func() bool {
			return r.site.Platform.Ledger.Live(id) == x.Steps[0].Count
		})
		r.callers.Cancel(r.ctx, x)
	}
	r.callers.Wait()
	for _, x := range r.lasting {
		id := x.Request.Id
		r.eventually(r.gone, "tasks of the cancelled job "+id+" run on", func() bool { return r.site.Platform.Ledger.Live(id) == 0 })
	}
}
